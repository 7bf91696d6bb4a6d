//! What the control instance needs of the replicated log and its state.

use std::future::Future;

use ledger::LedgerCommand;
use ledger::LedgerOutcome;
use ledger::LedgerState;
use model::hex;
use model::ids::InstanceId;
use model::ids::LogIndex;
use quorum::ChangeError;
use quorum::MemberChange;
use replica::ConfirmError;
use replica::ProposeError;
use replica::ReplicaHandle;
use replica::ReplicatedState;
use tracing::error;

/// Where this instance stands in the group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogPosition {
    /// `leader`, `follower`, `candidate` or `learner`.
    pub role: String,
    /// Current term.
    pub term: u64,
    /// Leader known, if any.
    pub leader: Option<InstanceId>,
    /// Members that vote.
    pub voters: Vec<InstanceId>,
    /// Last index committed.
    pub committed: LogIndex,
    /// Last index applied.
    pub applied: LogIndex,
}

/// The replicated log with the ledger on top of it.
pub trait ControlLog: Clone + Send + Sync + 'static {
    /// Waits until a quorum confirmed, after this call began, who leads, and
    /// everything committed by then is applied here.
    fn confirm(&self) -> impl Future<Output = Result<LogIndex, ConfirmError>> + Send;

    /// Commits a command and returns what it answered; only on the leader.
    fn propose(
        &self,
        command: &LedgerCommand,
    ) -> impl Future<Output = Result<LedgerOutcome, ProposeError>> + Send;

    /// Reads the state applied here.
    fn read<R>(&self, reader: impl FnOnce(&LedgerState) -> R) -> R;

    /// Returns where this instance stands.
    fn position(&self) -> LogPosition;

    /// Removes a member of the group; only on the leader.
    fn remove_member(
        &self,
        instance: InstanceId,
    ) -> impl Future<Output = Result<LogIndex, ChangeError>> + Send;

    /// Hands in a message of another member.
    fn receive(&self, from: InstanceId, message: Vec<u8>);

    /// Returns the digest of the applied state in hexadecimal.
    fn digest(&self) -> String {
        self.read(|state| hex::encode(&state.digest()))
    }
}

/// The ledger on a replica.
#[derive(Clone, Debug)]
pub struct ReplicaLog {
    replica: ReplicaHandle<LedgerState>,
}

impl ReplicaLog {
    /// Uses a running replica.
    #[must_use]
    pub fn new(replica: ReplicaHandle<LedgerState>) -> Self {
        Self { replica }
    }

    /// Returns the replica.
    #[must_use]
    pub fn replica(&self) -> &ReplicaHandle<LedgerState> {
        &self.replica
    }
}

impl ControlLog for ReplicaLog {
    async fn confirm(&self) -> Result<LogIndex, ConfirmError> {
        self.replica.confirm().await
    }

    async fn propose(&self, command: &LedgerCommand) -> Result<LedgerOutcome, ProposeError> {
        match command.encode() {
            Ok(entry) => self.replica.propose(entry).await,
            Err(error) => {
                error!(event = "command-not-encoded", %error);
                Err(ProposeError::Unknown)
            }
        }
    }

    fn read<R>(&self, reader: impl FnOnce(&LedgerState) -> R) -> R {
        self.replica.read(reader)
    }

    fn position(&self) -> LogPosition {
        let status = self.replica.status();
        LogPosition {
            role: status.duty.to_string(),
            term: status.term,
            leader: status.leader,
            voters: status.membership.voters().collect(),
            committed: status.committed,
            applied: status.applied,
        }
    }

    async fn remove_member(&self, instance: InstanceId) -> Result<LogIndex, ChangeError> {
        let change = MemberChange::Remove(instance);
        self.replica.change_members(change).await
    }

    fn receive(&self, from: InstanceId, message: Vec<u8>) {
        self.replica.receive(from, message);
    }
}
