//! State and fatal errors that a replica reports.

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

/// Error after which a replica stops.
#[derive(Clone, Debug, Display, Error)]
pub enum ReplicaError {
    /// A leader sent an entry that differs from the committed one at the same index.
    #[display("a leader sent an entry that differs from the committed entry {index}")]
    CommittedConflict {
        /// Index of the entry.
        #[error(not(source))]
        index: LogIndex,
    },
    /// The disk failed, or a file on it must not be used.
    #[display("{_0}")]
    Storage(#[error(not(source))] Arc<StorageError>),
    /// The group knows this ID with another data folder: the disk was wiped.
    #[display("instance {instance} belongs to another data folder; join under a new ID")]
    OtherFolder {
        /// ID of this instance.
        #[error(not(source))]
        instance: InstanceId,
    },
    /// The snapshot of a leader could not be restored.
    #[display("a snapshot could not be restored: {reason}")]
    Restore {
        /// Error of the state machine.
        #[error(not(source))]
        reason: Arc<str>,
    },
}

impl ReplicaError {
    /// Returns whether the replica stopped since its disk had no room.
    #[must_use]
    pub fn is_disk_full(&self) -> bool {
        matches!(self, Self::Storage(error) if error.is_disk_full())
    }
}

impl From<FatalError> for ReplicaError {
    fn from(error: FatalError) -> Self {
        match error {
            FatalError::OtherFolder { instance } => Self::OtherFolder { instance },
            FatalError::CommittedConflict { index } => Self::CommittedConflict { index },
        }
    }
}

/// State of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    /// ID in the group.
    pub instance: InstanceId,
    /// Role in the current term.
    pub role: MemberRole,
    /// Whether enough members registered the data folder; the instance does not vote before.
    pub registered: bool,
    /// Current term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<InstanceId>,
    /// Membership in force, committed or not.
    pub membership: Membership,
    /// Index of the entry that the membership is in force from.
    pub membership_index: LogIndex,
    /// Membership that still counts beside it, while a change of the voters is under way.
    pub outgoing_membership: Option<Membership>,
    /// Voters whose disk is known to be lost.
    pub lost_voters: Vec<InstanceId>,
    /// Last index committed.
    pub commit_index: LogIndex,
    /// Last index applied.
    pub applied_index: LogIndex,
    /// Index that the last snapshot includes.
    pub snapshot_index: LogIndex,
    /// Error that stopped the replica, if any.
    pub fatal_error: Option<ReplicaError>,
}

impl ReplicaStatus {
    /// Returns whether the membership is committed, so that no other can come into force unless
    /// a quorum of it agrees.
    #[must_use]
    pub const fn is_membership_committed(&self) -> bool {
        self.commit_index >= self.membership_index
    }

    /// Returns the voters of all memberships in force.
    pub fn voters_in_force(&self) -> impl Iterator<Item = InstanceId> {
        let outgoing = self.outgoing_membership.iter();
        let memberships = outgoing.chain([&self.membership]);
        memberships.flat_map(Membership::voters)
    }

    /// Returns whether observers must be notified of the difference.
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
