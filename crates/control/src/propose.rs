//! Commands for the leader, from whichever instance was asked.

use std::time::Duration;
use std::time::Instant;
use std::time::UNIX_EPOCH;

use clock::Clock;
use ledger::LedgerCommand;
use ledger::LedgerOutcome;
use model::admin::ChangeSubmission;
use model::change::ChangeStatus;
use model::ids::InstanceId;
use model::once::ClaimOutcome;
use model::once::OnceClaim;
use model::once::OnceKey;
use model::once::OnceSettle;
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

/// Pause before a leader is looked for again, in milliseconds.
const LEADER_PAUSE_MS: u64 = 10;

impl<L: ControlLog, C: Clock> ControlCore<L, C> {
    /// Claims the right to run a request for the first time.
    ///
    /// # Errors
    ///
    /// Fails when no leader committed the claim before `deadline`; it may yet
    /// be committed.
    pub async fn claim(
        &self,
        claim: OnceClaim,
        deadline: Instant,
    ) -> Result<ClaimOutcome, ControlError> {
        let wall_ms = self.wall_ms();
        let command = LedgerCommand::Claim { claim, wall_ms };
        match self.propose(&command, deadline).await? {
            LedgerOutcome::Claim(outcome) => Ok(outcome),
            other => Err(unexpected(&other)),
        }
    }

    /// Ends an attempt.
    ///
    /// # Errors
    ///
    /// As [`ControlCore::claim`].
    pub async fn settle(&self, settle: OnceSettle, deadline: Instant) -> Result<(), ControlError> {
        let wall_ms = self.wall_ms();
        let command = LedgerCommand::Settle { settle, wall_ms };
        match self.propose(&command, deadline).await? {
            LedgerOutcome::Done => Ok(()),
            other => Err(unexpected(&other)),
        }
    }

    /// Tells whether a request that must run at most once may have run.
    ///
    /// # Errors
    ///
    /// Fails when no quorum confirmed the leader in time.
    pub async fn may_have_run(&self, key: &OnceKey) -> Result<bool, ControlError> {
        if !self.confirmed().await {
            return Err(ControlError::NoQuorum);
        }
        Ok(self.log.read(|state| state.once().may_have_run(key)))
    }

    /// Submits a change with the signatures at hand.
    ///
    /// # Errors
    ///
    /// As [`ControlCore::claim`], and when the group is not founded in time.
    pub async fn submit(
        &self,
        submission: ChangeSubmission,
        deadline: Instant,
    ) -> Result<ChangeStatus, ControlError> {
        self.founded(deadline).await?;
        let command = LedgerCommand::Submit {
            change: submission.change,
            signatures: submission.signatures,
        };
        match self.propose(&command, deadline).await? {
            LedgerOutcome::Change(status) => Ok(status),
            other => Err(unexpected(&other)),
        }
    }

    /// Returns whether the first owners of the group are known here.
    pub(crate) fn is_founded(&self) -> bool {
        self.log
            .read(|state| !state.config().declaration().owners.is_empty())
    }

    /// Waits until the first owners are known here, since nobody can sign before.
    async fn founded(&self, deadline: Instant) -> Result<(), ControlError> {
        while !self.is_founded() {
            if Instant::now() >= deadline {
                return Err(ControlError::NoQuorum);
            }
            sleep(Duration::from_millis(LEADER_PAUSE_MS)).await;
        }
        Ok(())
    }

    /// Commits a command at the leader, wherever that is, until `deadline`.
    ///
    /// It is repeated until an outcome arrives: committing any command twice
    /// has the effect of committing it once.
    ///
    /// # Errors
    ///
    /// Fails when no leader committed it in time; it may yet be committed.
    pub async fn propose(
        &self,
        command: &LedgerCommand,
        deadline: Instant,
    ) -> Result<LedgerOutcome, ControlError> {
        while !self.stop.is_cancelled() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ControlError::NoQuorum);
            }
            match timeout(left, self.attempt(command, left)).await {
                Ok(Ok(outcome)) => return Ok(outcome),
                Ok(Err(error)) => debug!(event = "proposal-repeated", %error),
                Err(_) => return Err(ControlError::NoQuorum),
            }
            sleep(Duration::from_millis(LEADER_PAUSE_MS)).await;
        }
        Err(ControlError::Stopping)
    }

    /// Proposes here, or at the leader that this instance knows.
    async fn attempt(
        &self,
        command: &LedgerCommand,
        limit: Duration,
    ) -> Result<LedgerOutcome, ForwardError> {
        match self.log.propose(command).await {
            Ok(outcome) => Ok(outcome),
            Err(ProposeError::NotLeader {
                leader: Some(leader),
            }) if leader != self.own => self.forward(command, leader, limit).await,
            Err(error) => Err(forward_error(error)),
        }
    }

    async fn forward(
        &self,
        command: &LedgerCommand,
        leader: InstanceId,
        limit: Duration,
    ) -> Result<LedgerOutcome, ForwardError> {
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

    /// Commits a command that another instance forwards; only on the leader.
    ///
    /// # Errors
    ///
    /// Fails when the command is malformed, this instance does not lead or
    /// the outcome is not known.
    pub async fn propose_forwarded(&self, entry: &[u8]) -> Result<Vec<u8>, ForwardError> {
        let command = LedgerCommand::decode(entry).map_err(|error| {
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

fn decode_outcome(outcome: &[u8]) -> Result<LedgerOutcome, ForwardError> {
    LedgerOutcome::decode(outcome).map_err(|error| {
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

fn unexpected(outcome: &LedgerOutcome) -> ControlError {
    warn!(event = "outcome-unexpected", outcome = ?outcome);
    ControlError::NoQuorum
}
