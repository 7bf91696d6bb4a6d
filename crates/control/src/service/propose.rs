//! Proposals to the leader, from whichever instance was asked.

use std::future::Future;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::admin::ChangeSubmission;
use model::change::ChangeStatus;
use model::ids::InstanceId;
use model::once::ClaimOutcome;
use model::once::OnceClaim;
use model::once::OnceSettle;
use replica::ProposeError;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::time::sleep;
use tokio::time::timeout;
use tracing::debug;
use wire::peer::PeerClient;
use wire::rpc::call_context;
use wire::service::ControlError;
use wire::service::ForwardError;

use crate::core::ControlCore;
use crate::log::ControlLog;

/// Pause before a leader is looked for again, in milliseconds.
const LEADER_PAUSE_MS: u64 = 10;

/// Something that the leader commits; committing it twice does no harm.
pub trait LogProposal: Clone + Send + 'static {
    /// What the state answers.
    type Answer: Send;

    /// Commits it here.
    fn commit<L: ControlLog>(
        self,
        log: &L,
    ) -> impl Future<Output = Result<Self::Answer, ProposeError>> + Send;

    /// Hands it to another instance.
    fn forward(
        self,
        client: &PeerClient,
        context: Context,
    ) -> impl Future<Output = Result<Result<Self::Answer, ForwardError>, RpcError>> + Send;
}

impl LogProposal for OnceClaim {
    type Answer = ClaimOutcome;

    async fn commit<L: ControlLog>(self, log: &L) -> Result<ClaimOutcome, ProposeError> {
        log.claim(self).await
    }

    async fn forward(
        self,
        client: &PeerClient,
        context: Context,
    ) -> Result<Result<ClaimOutcome, ForwardError>, RpcError> {
        client.propose_claim(context, self).await
    }
}

impl LogProposal for OnceSettle {
    type Answer = ();

    async fn commit<L: ControlLog>(self, log: &L) -> Result<(), ProposeError> {
        log.settle(self).await
    }

    async fn forward(
        self,
        client: &PeerClient,
        context: Context,
    ) -> Result<Result<(), ForwardError>, RpcError> {
        client.propose_settle(context, self).await
    }
}

impl LogProposal for ChangeSubmission {
    type Answer = ChangeStatus;

    async fn commit<L: ControlLog>(self, log: &L) -> Result<ChangeStatus, ProposeError> {
        log.submit(self).await
    }

    async fn forward(
        self,
        client: &PeerClient,
        context: Context,
    ) -> Result<Result<ChangeStatus, ForwardError>, RpcError> {
        client.propose_change(context, self).await
    }
}

impl<L: ControlLog, C: Clock> ControlCore<L, C> {
    /// Commits a proposal at the leader, wherever that is, until `deadline`.
    ///
    /// # Errors
    ///
    /// Fails when no leader committed it in time; it may yet be committed.
    pub async fn propose<P: LogProposal>(
        &self,
        proposal: P,
        deadline: Instant,
    ) -> Result<P::Answer, ControlError> {
        let mut target = None;
        while !self.stop.is_cancelled() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ControlError::NoQuorum);
            }
            let attempt = self.attempt(proposal.clone(), target, left);
            match timeout(left, attempt).await {
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err(ForwardError::NotLeader { leader })) => {
                    let unchanged = leader.is_none() || leader == target;
                    target = leader.filter(|leader| *leader != self.own && !unchanged);
                    if unchanged {
                        sleep(Duration::from_millis(LEADER_PAUSE_MS)).await;
                    }
                }
                Ok(Err(ForwardError::Unknown)) => {
                    target = None;
                    sleep(Duration::from_millis(LEADER_PAUSE_MS)).await;
                }
                Err(_) => return Err(ControlError::NoQuorum),
            }
        }
        Err(ControlError::Stopping)
    }

    /// Tries one instance, or this one without a target.
    async fn attempt<P: LogProposal>(
        &self,
        proposal: P,
        target: Option<InstanceId>,
        limit: Duration,
    ) -> Result<P::Answer, ForwardError> {
        let Some(target) = target else {
            let outcome = proposal.commit(&self.log).await;
            return outcome.map_err(super::forward_error);
        };
        let client = self.mesh.client(target, limit).await;
        let client = client.map_err(|_| ForwardError::NotLeader { leader: None })?;
        match proposal.forward(&client, call_context(limit)).await {
            Ok(outcome) => outcome,
            Err(error) => {
                debug!(event = "forward-failed", target, %error);
                self.mesh.reset(target);
                Err(ForwardError::Unknown)
            }
        }
    }
}
