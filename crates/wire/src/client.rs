//! What a node holds to talk to the control instances.

mod message;

use std::iter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use model::exchange::ExchangeReply;
use model::exchange::ExchangeRequest;
use model::ids::InstanceId;
use model::once::ClaimOutcome;
use model::once::OnceClaim;
use model::once::OnceKey;
use model::once::OnceSettle;
use settings::ControlAddress;
use tarpc::client::RpcError;
use tokio::time::sleep;
use tracing::info;

use crate::client::message::NodeClient;
use crate::client::message::OnceMessage;
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

/// Time that one control instance has for an answer, in milliseconds.
///
/// Several instances are tried within a lease of 2.4 s.
pub const ATTEMPT_TIMEOUT_MS: u64 = 300;
/// Pause after all instances failed once, in milliseconds.
const ROUND_PAUSE_MS: u64 = 50;

/// Calls one control instance and switches to another when it fails; clones share that choice.
#[derive(Clone, Debug)]
pub struct ControlClient {
    targets: Arc<[ControlTarget]>,
    chosen: Arc<AtomicUsize>,
}

#[derive(Debug)]
struct ControlTarget {
    instance: InstanceId,
    channel: RpcChannel<NodeControlRequest, NodeControlResponse>,
}

/// The instance that a call goes to, with its client.
struct ChosenTarget {
    position: usize,
    address: SocketAddr,
    client: NodeClient,
}

impl ControlClient {
    /// Creates a client of these instances, tried in an order that `spread` decides.
    ///
    /// Nodes with different values, such as their ids, spread evenly over the
    /// instances, and again over the others when one is lost. The instance at
    /// `spread` modulo their number comes first. Connects nothing yet.
    ///
    /// # Panics
    ///
    /// Panics when `addresses` is empty, which the settings refuse, and outside
    /// a runtime: the one in which it is created drives its connections.
    #[must_use]
    pub fn new(endpoint: &QuicEndpoint, addresses: &[ControlAddress], spread: u64) -> Self {
        assert!(!addresses.is_empty(), "a node needs a control instance");
        let targets = permuted(addresses, spread).map(|address| ControlTarget {
            instance: address.instance,
            channel: RpcChannel::new(endpoint.clone(), address.address, PeerRole::Control),
        });
        Self {
            targets: targets.collect(),
            chosen: Arc::default(),
        }
    }

    /// Returns the instance that calls go to now.
    #[must_use]
    pub fn instance(&self) -> InstanceId {
        self.targets[self.position()].instance
    }

    /// Returns the traffic of the connection in use.
    #[must_use]
    pub fn traffic(&self) -> ConnectionTraffic {
        let channel = &self.targets[self.position()].channel;
        channel
            .connection()
            .map(|connection| connection.traffic())
            .unwrap_or_default()
    }

    /// Renews the lease; asks each instance once until one grants a lease.
    ///
    /// A lease counts from before this call. A reply without a lease is
    /// returned when no instance grants one.
    ///
    /// # Errors
    ///
    /// Fails when no instance answers.
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
                later => outcome = later,
            }
        }
        outcome
    }

    /// Claims the right to run a request, at one instance after the other until `limit`.
    ///
    /// Repeating the same claim is safe: its attempt number is recognised.
    ///
    /// # Errors
    ///
    /// Fails when no instance could commit the claim in time. It may then
    /// still be committed.
    pub async fn claim(
        &self,
        claim: &OnceClaim,
        limit: Duration,
    ) -> Result<ClaimOutcome, ClientError> {
        self.repeat(limit, claim).await
    }

    /// Ends an attempt, at one instance after the other until `limit`.
    ///
    /// # Errors
    ///
    /// As [`ControlClient::claim`].
    pub async fn settle(&self, settle: &OnceSettle, limit: Duration) -> Result<(), ClientError> {
        self.repeat(limit, settle).await
    }

    /// Asks whether a request that must run at most once may have run.
    ///
    /// # Errors
    ///
    /// Fails when no instance could tell in time.
    pub async fn may_have_run(&self, key: &OnceKey, limit: Duration) -> Result<bool, ClientError> {
        self.repeat(limit, key).await
    }

    async fn try_exchange(
        &self,
        request: &ExchangeRequest,
        limit: Duration,
    ) -> Result<ExchangeReply, ClientError> {
        let target = self.connect(limit).await?;
        let answer = target
            .client
            .exchange(call_context(limit), request.clone())
            .await;
        let reply = self.judge(&target, answer)?;
        if reply.lease.is_none() && !request.leaving {
            self.switch(target.position, &"no lease");
        }
        Ok(reply)
    }

    /// Calls until an answer arrives or `limit` has passed.
    async fn repeat<M: OnceMessage>(
        &self,
        limit: Duration,
        message: &M,
    ) -> Result<M::Answer, ClientError> {
        let end = Instant::now() + limit;
        let mut failures = 0;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let attempt = left.min(Duration::from_millis(ATTEMPT_TIMEOUT_MS));
            let outcome = match self.connect(attempt).await {
                Ok(target) => {
                    let context = call_context(attempt);
                    let answer = message.clone().send(&target.client, context).await;
                    self.judge(&target, answer)
                }
                Err(error) => Err(error),
            };
            failures += 1;
            let pause = Duration::from_millis(ROUND_PAUSE_MS);
            match outcome {
                Ok(answer) => return Ok(answer),
                Err(error) if is_final(&error) || end <= Instant::now() + pause => {
                    return Err(error);
                }
                Err(_) if failures % self.targets.len() == 0 => sleep(pause).await,
                Err(_) => {}
            }
        }
    }

    async fn connect(&self, limit: Duration) -> Result<ChosenTarget, ClientError> {
        let position = self.position();
        let channel = &self.targets[position].channel;
        match channel.channel(limit).await {
            Ok(open) => Ok(ChosenTarget {
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

    /// Turns the outcome of a call into an answer, or switches to another instance.
    fn judge<T>(
        &self,
        target: &ChosenTarget,
        answer: Result<Result<T, ControlError>, RpcError>,
    ) -> Result<T, ClientError> {
        let address = target.address;
        match answer {
            Ok(Ok(answer)) => Ok(answer),
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
        self.chosen.load(Ordering::Relaxed)
    }

    /// Moves on to the next instance, unless another call already did.
    fn switch(&self, from: usize, reason: &impl ToString) {
        let next = (from + 1) % self.targets.len();
        let moved = self
            .chosen
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

/// Returns the addresses in the permutation with the number `spread`.
fn permuted(addresses: &[ControlAddress], spread: u64) -> impl Iterator<Item = ControlAddress> {
    let mut left = addresses.to_vec();
    let mut number = spread;
    iter::from_fn(move || {
        let count = left.len() as u64;
        let position = number.checked_rem(count)?;
        number /= count;
        Some(left.remove(usize::try_from(position).ok()?))
    })
}

/// Returns whether another instance would answer the same.
fn is_final(error: &ClientError) -> bool {
    let ClientError::ErrorResponse { error, .. } = error else {
        return false;
    };
    matches!(error, ControlError::ProtocolVersion { .. })
}
