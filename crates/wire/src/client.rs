//! Client with which a node calls the control instances.

mod call;

use std::iter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use model::exchange::ExchangeReply;
use model::exchange::ExchangeRequest;
use model::idempotency::ClaimOutcome;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use model::idempotency::IdempotencySettlement;
use model::ids::InstanceId;
use settings::ControlAddress;
use tarpc::client::RpcError;
use tokio::time::sleep;
use tracing::info;

use crate::client::call::ControlInstanceClient;
use crate::client::call::RepeatableCall;
use crate::error::ClientError;
use crate::quic::ConnectionTraffic;
use crate::quic::QuicEndpoint;
use crate::role::PeerRole;
use crate::rpc::RpcChannel;
use crate::rpc::call_context;
use crate::rpc::is_connection_failure;
use crate::service::ControlError;
use crate::service::NodeControlClient;
use crate::service::NodeControlRequest;
use crate::service::NodeControlResponse;

/// Timeout for one control instance, in milliseconds.
///
/// Short enough to try several instances within a lease of 2.4 s.
pub const ATTEMPT_TIMEOUT_MS: u64 = 300;
/// Pause after each round in which all instances failed, in milliseconds.
const RETRY_PAUSE_MS: u64 = 50;

/// Calls one control instance and switches to another when it fails.
///
/// Clones share the choice of the instance.
#[derive(Clone, Debug)]
pub struct ControlClient {
    targets: Arc<[ControlTarget]>,
    current: Arc<AtomicUsize>,
}

#[derive(Debug)]
struct ControlTarget {
    instance: InstanceId,
    channel: RpcChannel<NodeControlRequest, NodeControlResponse>,
}

/// The instance that handles a call, with an open connection.
struct ConnectedTarget {
    position: usize,
    address: SocketAddr,
    client: ControlInstanceClient,
}

impl ControlClient {
    /// Creates a client that tries these instances in the order that `permutation` selects.
    ///
    /// Nodes with different values, such as their ids, spread evenly over the
    /// instances, and over the others when one is lost. The instance at
    /// `permutation` modulo their number comes first. Opens no connection.
    ///
    /// # Panics
    ///
    /// Panics when `addresses` is empty, which the validation of settings
    /// prevents, and outside a tokio runtime. The runtime in which the client
    /// is created drives its connections.
    #[must_use]
    pub fn new(endpoint: &QuicEndpoint, addresses: &[ControlAddress], permutation: u64) -> Self {
        assert!(!addresses.is_empty(), "a node needs a control instance");
        let targets = permute(addresses, permutation).map(|address| ControlTarget {
            instance: address.instance,
            channel: RpcChannel::new(endpoint.clone(), address.address, PeerRole::Control),
        });
        Self {
            targets: targets.collect(),
            current: Arc::default(),
        }
    }

    /// Returns the instance that currently receives calls.
    #[must_use]
    pub fn instance(&self) -> InstanceId {
        self.targets[self.position()].instance
    }

    /// Returns the traffic of the current connection, or zeros without a connection.
    #[must_use]
    pub fn traffic(&self) -> ConnectionTraffic {
        let channel = &self.targets[self.position()].channel;
        channel
            .connection()
            .map(|connection| connection.traffic())
            .unwrap_or_default()
    }

    /// Renews the lease; calls each instance once until one grants a lease.
    ///
    /// The duration of a lease counts from before this call. Without a grant,
    /// a reply without a lease is returned.
    ///
    /// # Errors
    ///
    /// Fails when no instance returns a reply.
    pub async fn exchange(&self, request: &ExchangeRequest) -> Result<ExchangeReply, ClientError> {
        let limit = Duration::from_millis(ATTEMPT_TIMEOUT_MS);
        let mut outcome = self.try_exchange(request, limit).await;
        for _ in 1..self.targets.len() {
            let done = outcome
                .as_ref()
                .is_ok_and(|reply| reply.lease.is_some() || request.leaving);
            if done {
                break;
            }
            match self.try_exchange(request, limit).await {
                Err(_) if outcome.is_ok() => {}
                next_outcome => outcome = next_outcome,
            }
        }
        outcome
    }

    /// Claims the right to run a request, trying one instance after another for up to `limit`.
    ///
    /// Repeating the same claim is safe, because its attempt number identifies it.
    ///
    /// # Errors
    ///
    /// Fails when no instance could commit the claim in time. The claim may
    /// still be committed later.
    pub async fn claim(
        &self,
        claim: &IdempotencyClaim,
        limit: Duration,
    ) -> Result<ClaimOutcome, ClientError> {
        self.call_with_retries(limit, claim).await
    }

    /// Records the end of an attempt, trying one instance after another for up to `limit`.
    ///
    /// # Errors
    ///
    /// As [`ControlClient::claim`].
    pub async fn settle(
        &self,
        settle: &IdempotencySettlement,
        limit: Duration,
    ) -> Result<(), ClientError> {
        self.call_with_retries(limit, settle).await
    }

    /// Returns whether a request that must run at most once may have run.
    ///
    /// # Errors
    ///
    /// Fails when no instance gave the information in time.
    pub async fn may_have_run(
        &self,
        key: &IdempotencyKey,
        limit: Duration,
    ) -> Result<bool, ClientError> {
        self.call_with_retries(limit, key).await
    }

    async fn try_exchange(
        &self,
        request: &ExchangeRequest,
        limit: Duration,
    ) -> Result<ExchangeReply, ClientError> {
        let target = self.connect(limit).await?;
        let response = target
            .client
            .exchange(call_context(limit), request.clone())
            .await;
        let reply = self.handle_response(&target, response)?;
        if reply.lease.is_none() && !request.leaving {
            self.switch(target.position, &"no lease");
        }
        Ok(reply)
    }

    /// Retries a call at other instances until one responds or `limit` has passed.
    async fn call_with_retries<M: RepeatableCall>(
        &self,
        limit: Duration,
        message: &M,
    ) -> Result<M::Response, ClientError> {
        let end = Instant::now() + limit;
        let mut failures = 0;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let attempt_limit = left.min(Duration::from_millis(ATTEMPT_TIMEOUT_MS));
            let outcome = match self.connect(attempt_limit).await {
                Ok(target) => {
                    let context = call_context(attempt_limit);
                    let response = message.clone().send(&target.client, context).await;
                    self.handle_response(&target, response)
                }
                Err(error) => Err(error),
            };
            failures += 1;
            let pause = Duration::from_millis(RETRY_PAUSE_MS);
            match outcome {
                Ok(response) => return Ok(response),
                Err(error) if is_final(&error) || end <= Instant::now() + pause => {
                    return Err(error);
                }
                Err(_) if failures % self.targets.len() == 0 => sleep(pause).await,
                Err(_) => {}
            }
        }
    }

    async fn connect(&self, limit: Duration) -> Result<ConnectedTarget, ClientError> {
        let position = self.position();
        let channel = &self.targets[position].channel;
        match channel.channel(limit).await {
            Ok(open) => Ok(ConnectedTarget {
                position,
                address: channel.address(),
                client: NodeControlClient::from(open),
            }),
            Err(error) => {
                self.switch(position, &error);
                Err(ClientError::Unreachable(error))
            }
        }
    }

    /// Returns the response of a call; switches to another instance if the call failed.
    fn handle_response<T>(
        &self,
        target: &ConnectedTarget,
        response: Result<Result<T, ControlError>, RpcError>,
    ) -> Result<T, ClientError> {
        let address = target.address;
        match response {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) => {
                self.switch(target.position, &error);
                Err(ClientError::ErrorResponse { address, error })
            }
            Err(error) => {
                if is_connection_failure(&error) {
                    self.targets[target.position].channel.reset();
                }
                self.switch(target.position, &error);
                Err(ClientError::NoResponse { address })
            }
        }
    }

    fn position(&self) -> usize {
        self.current.load(Ordering::Relaxed)
    }

    /// Switches to the next instance, unless another call already did.
    fn switch(&self, from: usize, reason: &impl ToString) {
        let next = (from + 1) % self.targets.len();
        let moved = self
            .current
            .compare_exchange(from, next, Ordering::Relaxed, Ordering::Relaxed);
        if moved.is_ok() && from != next {
            info!(
                event = "control-switched",
                from = self.targets[from].instance,
                to = self.targets[next].instance,
                reason = reason.to_string()
            );
        }
    }
}

/// Returns the addresses in the permutation with the number `permutation`.
fn permute(addresses: &[ControlAddress], permutation: u64) -> impl Iterator<Item = ControlAddress> {
    let mut left = addresses.to_vec();
    let mut number = permutation;
    iter::from_fn(move || {
        let count = left.len() as u64;
        let position = number.checked_rem(count)?;
        number /= count;
        Some(left.remove(usize::try_from(position).ok()?))
    })
}

/// Returns whether every other instance would return the same error.
fn is_final(error: &ClientError) -> bool {
    let ClientError::ErrorResponse { error, .. } = error else {
        return false;
    };
    matches!(error, ControlError::ProtocolVersion { .. })
}
