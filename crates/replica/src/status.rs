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
pub enum ReplicaError {
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
    OtherFolder {
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

impl From<FatalError> for ReplicaError {
    fn from(fault: FatalError) -> Self {
        match fault {
            FatalError::OtherFolder { instance } => Self::OtherFolder { instance },
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
    pub role: MemberRole,
    /// Whether the group accepted the data folder; before that the instance does not vote.
    pub registered: bool,
    /// Current term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<InstanceId>,
    /// Members in force.
    pub membership: Membership,
    /// Last index committed.
    pub commit_index: LogIndex,
    /// Last index applied.
    pub applied_index: LogIndex,
    /// Index that the last snapshot includes.
    pub snapshot_index: LogIndex,
    /// Why the replica stopped by itself, if it did.
    pub fatal_error: Option<ReplicaError>,
}

impl ReplicaStatus {
    /// Returns whether anything that observers wait for has changed.
    pub(crate) fn differs_from(&self, other: &Self) -> bool {
        self.role != other.role
            || self.registered != other.registered
            || self.term != other.term
            || self.leader != other.leader
            || self.membership != other.membership
            || self.commit_index != other.commit_index
            || self.applied_index != other.applied_index
            || self.snapshot_index != other.snapshot_index
            || self.fatal_error.is_some() != other.fatal_error.is_some()
    }
}
