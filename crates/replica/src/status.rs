//! What a replica reports about itself.

use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;
use quorum::FatalError;
use quorum::MemberRole;
use quorum::Membership;
use quorum::Term;

use crate::InstanceId;
use crate::LogIndex;
use crate::storage::StorageError;

/// Why a replica stopped by itself.
#[derive(Clone, Debug, Display, Error)]
pub enum ReplicaFault {
    /// A leader contradicts a committed entry.
    #[display("a leader contradicts the committed entry {index}")]
    CommittedConflict {
        /// Index of the entry.
        #[error(not(source))]
        index: LogIndex,
    },
    /// The disk failed or holds something that must not be used.
    #[display("{_0}")]
    Storage(#[error(not(source))] Arc<StorageError>),
    /// The group remembers this identity with another data folder.
    #[display(
        "the group knows instance {instance} with another data folder; join under a new identity"
    )]
    WipedFolder {
        /// Identity of this instance.
        #[error(not(source))]
        instance: InstanceId,
    },
    /// The snapshot of a leader could not be restored.
    #[display("a snapshot could not be restored: {reason}")]
    Restore {
        /// What the state machine said.
        #[error(not(source))]
        reason: Arc<str>,
    },
}

impl From<FatalError> for ReplicaFault {
    fn from(fault: FatalError) -> Self {
        match fault {
            FatalError::OtherFolder { instance } => Self::WipedFolder { instance },
            FatalError::CommittedConflict { index } => Self::CommittedConflict { index },
        }
    }
}

/// State of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// Identity in the group.
    pub instance: InstanceId,
    /// What the instance does.
    pub duty: MemberRole,
    /// Whether the group accepted the data folder; before that the instance does not vote.
    pub admitted: bool,
    /// Current term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<InstanceId>,
    /// Members in force.
    pub membership: Membership,
    /// Last index committed.
    pub committed: LogIndex,
    /// Last index applied.
    pub applied: LogIndex,
    /// Index that the last snapshot includes.
    pub snapshot: LogIndex,
    /// Why the replica stopped by itself, if it did.
    pub fault: Option<ReplicaFault>,
}

impl ReplicaStatus {
    /// Returns whether anything that observers wait for has changed.
    pub(crate) fn differs_from(&self, other: &Self) -> bool {
        self.duty != other.duty
            || self.admitted != other.admitted
            || self.term != other.term
            || self.leader != other.leader
            || self.membership != other.membership
            || self.committed != other.committed
            || self.applied != other.applied
            || self.snapshot != other.snapshot
            || self.fault.is_some() != other.fault.is_some()
    }
}
