//! Members of the Raft group and the changes to them.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::FolderId;
use crate::InstanceId;

/// Data folder ID of the members that the group was first started with.
pub const INITIAL_FOLDER: FolderId = 0;

/// Member of the group.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GroupMember {
    /// ID of the instance.
    pub instance: InstanceId,
    /// Data folder that the ID belongs to.
    pub folder: FolderId,
    /// Whether the member votes; a learner only receives the log.
    pub voter: bool,
}

/// Change of a single member.
///
/// The quorums before and after the change overlap, because it moves at most one voter.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a member that receives the log but does not vote.
    AddLearner {
        /// ID of the instance.
        instance: InstanceId,
        /// Data folder of the instance.
        folder: FolderId,
    },
    /// Makes a learner that has caught up a voter.
    Promote(InstanceId),
    /// Makes a voter a learner; it keeps its ID and its log.
    Demote(InstanceId),
    /// Removes a member; its ID cannot join again.
    Remove(InstanceId),
}

/// Reason why a membership change was not appended to the log.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum MemberChangeError {
    /// This instance is not the leader.
    #[display("not the leader, try {leader:?}")]
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// An earlier change or the leader's first entry is not committed yet.
    #[display("an earlier change is not committed yet")]
    InFlight,
    /// The instance is already a member.
    #[display("the instance is already a member")]
    AlreadyMember,
    /// The ID was used with another data folder, because the disk was wiped, or was removed.
    #[display("the instance ID belongs to another data folder; join under a new ID")]
    OtherFolder,
    /// The instance is not a member of the kind that the change is about.
    #[display("the instance is not a member, or already is what it would become")]
    NotMember,
    /// The learner lags too many entries behind the leader.
    #[display("the learner has not caught up")]
    NotCaughtUp,
    /// The voters that answered recently are no quorum of the voters after the change.
    #[display("no quorum of the voters after the change has answered recently")]
    NoQuorum,
    /// The last voter can be neither removed nor demoted.
    #[display("the last voter can be neither removed nor demoted")]
    LastVoter,
}

/// Members of the group, sorted by ID.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Membership {
    members: Vec<GroupMember>,
    /// IDs of removed members, which must not join again.
    removed: Vec<InstanceId>,
}

impl Membership {
    /// Creates the membership that a group is first started with; all members are voters.
    #[must_use]
    pub fn initial(instances: &[InstanceId]) -> Self {
        let mut members: Vec<GroupMember> = instances
            .iter()
            .map(|&instance| GroupMember {
                instance,
                folder: INITIAL_FOLDER,
                voter: true,
            })
            .collect();
        members.sort_by_key(|member| member.instance);
        members.dedup_by_key(|member| member.instance);
        Self {
            members,
            removed: Vec::new(),
        }
    }

    /// Returns all members, voters and learners.
    #[must_use]
    pub fn members(&self) -> &[GroupMember] {
        &self.members
    }

    /// Returns the member with the given ID.
    #[must_use]
    pub fn member(&self, instance: InstanceId) -> Option<&GroupMember> {
        self.members
            .iter()
            .find(|member| member.instance == instance)
    }

    /// Returns whether the instance was a member and has been removed.
    #[must_use]
    pub fn has_removed(&self, instance: InstanceId) -> bool {
        self.removed.contains(&instance)
    }

    /// Returns the IDs of the voters.
    pub fn voters(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.members
            .iter()
            .filter(|member| member.voter)
            .map(|member| member.instance)
    }

    /// Returns whether the instance is a voter.
    #[must_use]
    pub fn is_voter(&self, instance: InstanceId) -> bool {
        self.member(instance).is_some_and(|member| member.voter)
    }

    /// Returns whether both memberships have the same voters.
    #[must_use]
    pub fn has_voters_of(&self, other: &Self) -> bool {
        self.voters().eq(other.voters())
    }

    /// Returns the membership after a change.
    ///
    /// # Errors
    ///
    /// Fails if the change is not possible with the current members.
    pub fn with_change(&self, change: MemberChange) -> Result<Self, MemberChangeError> {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner { instance, folder } => next.add(instance, folder)?,
            MemberChange::Promote(instance) => next.set_voter(instance, true)?,
            MemberChange::Demote(instance) => next.set_voter(instance, false)?,
            MemberChange::Remove(instance) => next.remove(instance)?,
        }
        Ok(next)
    }

    fn add(&mut self, instance: InstanceId, folder: FolderId) -> Result<(), MemberChangeError> {
        if let Some(member) = self.member(instance) {
            return Err(if member.folder == folder {
                MemberChangeError::AlreadyMember
            } else {
                MemberChangeError::OtherFolder
            });
        }
        if self.removed.contains(&instance) {
            return Err(MemberChangeError::OtherFolder);
        }
        self.members.push(GroupMember {
            instance,
            folder,
            voter: false,
        });
        self.members.sort_by_key(|member| member.instance);
        Ok(())
    }

    fn set_voter(&mut self, instance: InstanceId, voter: bool) -> Result<(), MemberChangeError> {
        if !voter && self.is_last_voter(instance) {
            return Err(MemberChangeError::LastVoter);
        }
        let member = self
            .members
            .iter_mut()
            .find(|member| member.instance == instance && member.voter != voter)
            .ok_or(MemberChangeError::NotMember)?;
        member.voter = voter;
        Ok(())
    }

    fn is_last_voter(&self, instance: InstanceId) -> bool {
        self.is_voter(instance) && self.voters().count() == 1
    }

    fn remove(&mut self, instance: InstanceId) -> Result<(), MemberChangeError> {
        if self.member(instance).is_none() {
            return Err(MemberChangeError::NotMember);
        }
        if self.is_last_voter(instance) {
            return Err(MemberChangeError::LastVoter);
        }
        self.members.retain(|member| member.instance != instance);
        self.removed.push(instance);
        Ok(())
    }
}
