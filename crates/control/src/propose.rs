//! Proposes commands to the leader, from any instance.

use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use clock::Clock;
use ledger::CommandOutcome;
use ledger::ControlCommand;
use model::admin::ChangeSubmission;
use model::change::ChangeStatus;
use model::idempotency::ClaimOutcome;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use model::idempotency::IdempotencySettlement;
use model::ids::InstanceId;
use replica::ProposeError;
use tokio::time::sleep;
use tokio::time::timeout;
use tracing::debug;
use tracing::warn;
use wire::rpc::call_context;
use wire::service::ControlError;
use wire::service::ForwardError;

use crate::core::ControlCore;
use crate::log::ControlLog;

/// Delay before a proposal is retried while no leader accepts it, in milliseconds.
const LEADER_RETRY_MS: u64 = 10;

impl<L: ControlLog, C: Clock> ControlCore<L, C> {
    /// Claims the right to run a request for the first time.
    ///
    /// # Errors
    ///
    /// Fails when no leader committed the claim before `deadline`; it may still
    /// be committed later.
    pub async fn claim(
        &self,
        claim: IdempotencyClaim,
        deadline: Instant,
    ) -> Result<ClaimOutcome, ControlError> {
        let wall_ms = self.wall_ms();
        let command = ControlCommand::Claim { claim, wall_ms };
        match self.propose(&command, deadline).await? {
            CommandOutcome::Claim(outcome) => Ok(outcome),
            other => Err(unexpected_outcome(&other)),
        }
    }

    /// Reports the end of a claimed attempt.
    ///
    /// # Errors
    ///
    /// As [`ControlCore::claim`].
    pub async fn settle(
        &self,
        settle: IdempotencySettlement,
        deadline: Instant,
    ) -> Result<(), ControlError> {
        let wall_ms = self.wall_ms();
        let command = ControlCommand::Settle { settle, wall_ms };
        match self.propose(&command, deadline).await? {
            CommandOutcome::Done => Ok(()),
            other => Err(unexpected_outcome(&other)),
        }
    }

    /// Returns whether a request that must run at most once may have run.
    ///
    /// # Errors
    ///
    /// Fails when no quorum confirmed the leader in time.
    pub async fn may_have_run(&self, key: &IdempotencyKey) -> Result<bool, ControlError> {
        if !self.confirm_leader().await {
            return Err(ControlError::NoQuorum);
        }
        Ok(self
            .log
            .read(|state| state.idempotency_table().may_have_run(key)))
    }

    /// Submits a change with one or both signatures.
    ///
    /// # Errors
    ///
    /// As [`ControlCore::claim`], and when the initial owners are not set in time.
    pub async fn submit(
        &self,
        submission: ChangeSubmission,
        deadline: Instant,
    ) -> Result<ChangeStatus, ControlError> {
        self.wait_for_initial_owners(deadline).await?;
        let command = ControlCommand::SubmitChange {
            change: submission.change,
            signatures: submission.signatures,
        };
        match self.propose(&command, deadline).await? {
            CommandOutcome::Change(status) => Ok(status),
            other => Err(unexpected_outcome(&other)),
        }
    }

    /// Returns whether the initial owners of the group are applied at this instance.
    pub(crate) fn has_initial_owners(&self) -> bool {
        self.log
            .read(|state| !state.config().declaration().owners.is_empty())
    }

    /// Waits until the initial owners are applied here; no signature is valid before.
    async fn wait_for_initial_owners(&self, deadline: Instant) -> Result<(), ControlError> {
        while !self.has_initial_owners() {
            if Instant::now() >= deadline {
                return Err(ControlError::NoQuorum);
            }
            sleep(Duration::from_millis(LEADER_RETRY_MS)).await;
        }
        Ok(())
    }

    /// Commits a command through the current leader before `deadline`.
    ///
    /// The proposal is retried until an outcome arrives, since all commands are
    /// idempotent: committing one twice has the effect of committing it once.
    ///
    /// # Errors
    ///
    /// Fails when no leader committed it in time; it may still be committed later.
    pub async fn propose(
        &self,
        command: &ControlCommand,
        deadline: Instant,
    ) -> Result<CommandOutcome, ControlError> {
        while !self.stop.is_cancelled() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ControlError::NoQuorum);
            }
            match timeout(left, self.propose_once(command, left)).await {
                Ok(Ok(outcome)) => return Ok(outcome),
                Ok(Err(error)) => debug!(event = "proposal-repeated", %error),
                Err(_) => return Err(ControlError::NoQuorum),
            }
            sleep(Duration::from_millis(LEADER_RETRY_MS)).await;
        }
        Err(ControlError::Stopping)
    }

    /// Proposes at this instance, or at the leader known to it.
    async fn propose_once(
        &self,
        command: &ControlCommand,
        limit: Duration,
    ) -> Result<CommandOutcome, ForwardError> {
        match self.log.propose(command).await {
            Ok(outcome) => Ok(outcome),
            Err(ProposeError::NotLeader {
                leader: Some(leader),
            }) if leader != self.instance => self.forward_to_leader(command, leader, limit).await,
            Err(error) => Err(forward_error(error)),
        }
    }

    async fn forward_to_leader(
        &self,
        command: &ControlCommand,
        leader: InstanceId,
        limit: Duration,
    ) -> Result<CommandOutcome, ForwardError> {
        let entry = command.encode().map_err(|_| ForwardError::Unknown)?;
        let client = self.mesh.client(leader, limit).await;
        let client = client.map_err(|_| ForwardError::NotLeader { leader: None })?;
        match client.propose(call_context(limit), entry).await {
            Ok(outcome) => decode_outcome(&outcome?),
            Err(error) => {
                debug!(event = "forward-failed", leader, %error);
                self.mesh.handle_call_failure(leader, &error);
                Err(ForwardError::Unknown)
            }
        }
    }

    /// Commits a command forwarded by another instance; only on the leader.
    ///
    /// # Errors
    ///
    /// Fails when the command is malformed, this instance does not lead or
    /// the outcome is not known.
    pub async fn propose_forwarded(&self, entry: &[u8]) -> Result<Vec<u8>, ForwardError> {
        let command = ControlCommand::decode(entry).map_err(|error| {
            warn!(event = "command-refused", %error);
            ForwardError::Unknown
        })?;
        let outcome = self.log.propose(&command).await.map_err(forward_error)?;
        outcome.encode().map_err(|_| ForwardError::Unknown)
    }

    /// Returns wall time in milliseconds since the epoch.
    #[must_use]
    pub fn wall_ms(&self) -> u64 {
        let wall = self.clock.wall().duration_since(UNIX_EPOCH);
        wall.map_or(0, |wall| {
            u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
        })
    }
}

fn decode_outcome(outcome: &[u8]) -> Result<CommandOutcome, ForwardError> {
    CommandOutcome::decode(outcome).map_err(|error| {
        warn!(event = "outcome-refused", %error);
        ForwardError::Unknown
    })
}

fn forward_error(error: ProposeError) -> ForwardError {
    match error {
        ProposeError::NotLeader { leader } => ForwardError::NotLeader { leader },
        ProposeError::Unknown => ForwardError::Unknown,
    }
}

fn unexpected_outcome(outcome: &CommandOutcome) -> ControlError {
    warn!(event = "outcome-unexpected", outcome = ?outcome);
    ControlError::NoQuorum
}
