//! Interface of a control instance to the replicated log and its state machine.

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

/// Raft status of this instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogStatus {
    /// Raft role: `leader`, `follower`, `candidate` or `learner`.
    pub role: String,
    /// Current term.
    pub term: u64,
    /// Leader, if known.
    pub leader: Option<InstanceId>,
    /// Voting members.
    pub voters: Vec<InstanceId>,
    /// Last index committed.
    pub commit_index: LogIndex,
    /// Last index applied.
    pub applied_index: LogIndex,
}

/// The replicated log with its state machine.
pub trait ControlLog: Clone + Send + Sync + 'static {
    /// Waits until a quorum has confirmed the leader after this call started, and
    /// everything committed by then is applied here.
    fn read_index(&self) -> impl Future<Output = Result<LogIndex, ReadIndexError>> + Send;

    /// Commits a command and returns its outcome; only on the leader.
    fn propose(
        &self,
        command: &ControlCommand,
    ) -> impl Future<Output = Result<CommandOutcome, ProposeError>> + Send;

    /// Reads the applied state of this instance.
    fn read<R>(&self, reader: impl FnOnce(&ControlState) -> R) -> R;

    /// Returns the Raft status of this instance.
    fn status(&self) -> LogStatus;

    /// Removes a member of the group; only on the leader.
    fn remove_member(
        &self,
        instance: InstanceId,
    ) -> impl Future<Output = Result<LogIndex, MemberChangeError>> + Send;

    /// Passes a message of another member to the log.
    fn receive(&self, from: InstanceId, message: Vec<u8>);

    /// Returns the digest of the applied state in hexadecimal.
    fn digest(&self) -> String {
        self.read(|state| hex::encode(&state.digest()))
    }
}

/// The log of a running replica.
#[derive(Clone, Debug)]
pub struct ReplicaLog {
    replica: ReplicaHandle<ControlState>,
}

impl ReplicaLog {
    /// Wraps a running replica.
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

impl ControlLog for ReplicaLog {
    async fn read_index(&self) -> Result<LogIndex, ReadIndexError> {
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

    fn status(&self) -> LogStatus {
        let status = self.replica.status();
        LogStatus {
            role: status.role.to_string(),
            term: status.term,
            leader: status.leader,
            voters: status.membership.voters().collect(),
            commit_index: status.commit_index,
            applied_index: status.applied_index,
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
