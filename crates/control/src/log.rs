//! What the control instance needs of the replicated log and its state.

use std::future::Future;

use ledger::CommandOutcome;
use ledger::ControlCommand;
use ledger::ControlState;
use model::hex;
use model::ids::InstanceId;
use model::ids::LogIndex;
use quorum::MemberChange;
use quorum::MemberChangeError;
use replica::ProposeError;
use replica::ReadIndexError;
use replica::ReplicaHandle;
use replica::ReplicatedState;
use tracing::error;

/// Where this instance stands in the group.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogPosition {
    /// `leader`, `follower`, `candidate` or `learner`.
    pub duty: String,
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
    fn confirm(&self) -> impl Future<Output = Result<LogIndex, ReadIndexError>> + Send;

    /// Commits a command and returns what it answered; only on the leader.
    fn propose(
        &self,
        command: &ControlCommand,
    ) -> impl Future<Output = Result<CommandOutcome, ProposeError>> + Send;

    /// Reads the state applied here.
    fn read<R>(&self, reader: impl FnOnce(&ControlState) -> R) -> R;

    /// Returns where this instance stands.
    fn position(&self) -> LogPosition;

    /// Removes a member of the group; only on the leader.
    fn remove_member(
        &self,
        instance: InstanceId,
    ) -> impl Future<Output = Result<LogIndex, MemberChangeError>> + Send;

    /// Hands in a message of another member.
    fn receive(&self, from: InstanceId, message: Vec<u8>);

    /// Returns the digest of the applied state in hexadecimal.
    fn digest(&self) -> String {
        self.read(|state| hex::encode(&state.digest()))
    }
}

/// The ledger on a replica.
#[derive(Clone, Debug)]
pub struct LedgerLog {
    replica: ReplicaHandle<ControlState>,
}

impl LedgerLog {
    /// Uses a running replica.
    #[must_use]
    pub fn new(replica: ReplicaHandle<ControlState>) -> Self {
        Self { replica }
    }

    /// Returns the replica.
    #[must_use]
    pub fn replica(&self) -> &ReplicaHandle<ControlState> {
        &self.replica
    }
}

impl ControlLog for LedgerLog {
    async fn confirm(&self) -> Result<LogIndex, ReadIndexError> {
        self.replica.read_index().await
    }

    async fn propose(&self, command: &ControlCommand) -> Result<CommandOutcome, ProposeError> {
        match command.encode() {
            Ok(entry) => self.replica.propose(entry).await,
            Err(error) => {
                error!(event = "command-not-encoded", %error);
                Err(ProposeError::Unknown)
            }
        }
    }

    fn read<R>(&self, reader: impl FnOnce(&ControlState) -> R) -> R {
        self.replica.read(reader)
    }

    fn position(&self) -> LogPosition {
        let status = self.replica.status();
        LogPosition {
            duty: status.role.to_string(),
            term: status.term,
            leader: status.leader,
            voters: status.membership.voters().collect(),
            committed: status.commit_index,
            applied: status.applied_index,
        }
    }

    async fn remove_member(&self, instance: InstanceId) -> Result<LogIndex, MemberChangeError> {
        let change = MemberChange::Remove(instance);
        self.replica.change_members(change).await
    }

    fn receive(&self, from: InstanceId, message: Vec<u8>) {
        self.replica.receive(from, message);
    }
}
