//! Who belongs to the group and who votes.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::FolderId;
use crate::InstanceId;

/// Folder of members that the group was first started with.
pub const INITIAL_FOLDER: FolderId = 0;

/// One member of the group.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GroupMember {
    /// Identity of the instance.
    pub instance: InstanceId,
    /// Data folder that the identity belongs to.
    pub folder: FolderId,
    /// Whether the instance votes; learners only receive the log.
    pub voter: bool,
}

/// One step of a membership change; steps that move a single voter keep quorums overlapping.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Adds a member that receives the log but does not vote.
    AddLearner {
        /// Identity of the instance.
        instance: InstanceId,
        /// Its data folder.
        folder: FolderId,
    },
    /// Lets a learner vote once it has caught up.
    Promote(InstanceId),
    /// Removes a member.
    Remove(InstanceId),
}

/// Why a membership change was not appended.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum ChangeError {
    /// This instance does not lead.
    #[display("not the leader, try {leader:?}")]
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// An earlier change, or the leader's first entry, is not committed yet.
    #[display("an earlier change is not committed yet")]
    InFlight,
    /// The instance is a member already.
    #[display("the instance is a member already")]
    AlreadyMember,
    /// The identity was used with another data folder, so its disk was wiped, or was removed.
    #[display("the identity belongs to another data folder; join under a new identity")]
    OtherFolder,
    /// The instance is not a member, or not a learner where one is needed.
    #[display("the instance is not a member in that role")]
    NotMember,
    /// The learner lags too far behind.
    #[display("the learner has not caught up")]
    NotCaughtUp,
    /// No quorum of the voters after the change was heard of lately.
    #[display("no quorum of the voters after the change was heard of lately")]
    NoQuorum,
    /// The last voter cannot be removed.
    #[display("the last voter cannot be removed")]
    LastVoter,
}

/// Members of the group, sorted by instance.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Membership {
    members: Vec<GroupMember>,
    /// Identities that were removed and must not return.
    removed: Vec<InstanceId>,
}

impl Membership {
    /// Creates the membership that a group first starts with; all of it votes.
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

    /// Returns the member with that identity.
    #[must_use]
    pub fn member(&self, instance: InstanceId) -> Option<&GroupMember> {
        self.members
            .iter()
            .find(|member| member.instance == instance)
    }

    /// Returns the identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.members
            .iter()
            .filter(|member| member.voter)
            .map(|member| member.instance)
    }

    /// Returns whether the instance votes.
    #[must_use]
    pub fn is_voter(&self, instance: InstanceId) -> bool {
        self.member(instance).is_some_and(|member| member.voter)
    }

    /// Returns how many voters make a quorum.
    #[must_use]
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns whether the voters for which `agrees` holds make a quorum.
    pub fn has_quorum(&self, agrees: impl Fn(InstanceId) -> bool) -> bool {
        self.voters().filter(|&voter| agrees(voter)).count() >= self.quorum()
    }

    /// Returns the greatest value that a quorum of voters has reached, none without voters.
    pub fn quorum_value<V: Ord>(&self, value: impl Fn(InstanceId) -> V) -> Option<V> {
        let mut values: Vec<V> = self.voters().map(value).collect();
        values.sort_unstable();
        let position = values.len().checked_sub(self.quorum())?;
        values.into_iter().nth(position)
    }

    /// Returns the membership after a change.
    ///
    /// # Errors
    ///
    /// Fails when the change does not fit the members.
    pub fn changed(&self, change: MemberChange) -> Result<Self, ChangeError> {
        let mut next = self.clone();
        match change {
            MemberChange::AddLearner { instance, folder } => next.add(instance, folder)?,
            MemberChange::Promote(instance) => next.promote(instance)?,
            MemberChange::Remove(instance) => next.remove(instance)?,
        }
        Ok(next)
    }

    fn add(&mut self, instance: InstanceId, folder: FolderId) -> Result<(), ChangeError> {
        if let Some(member) = self.member(instance) {
            return Err(if member.folder == folder {
                ChangeError::AlreadyMember
            } else {
                ChangeError::OtherFolder
            });
        }
        if self.removed.contains(&instance) {
            return Err(ChangeError::OtherFolder);
        }
        self.members.push(GroupMember {
            instance,
            folder,
            voter: false,
        });
        self.members.sort_by_key(|member| member.instance);
        Ok(())
    }

    fn promote(&mut self, instance: InstanceId) -> Result<(), ChangeError> {
        let learner = self
            .members
            .iter_mut()
            .find(|member| member.instance == instance && !member.voter)
            .ok_or(ChangeError::NotMember)?;
        learner.voter = true;
        Ok(())
    }

    fn remove(&mut self, instance: InstanceId) -> Result<(), ChangeError> {
        if self.member(instance).is_none() {
            return Err(ChangeError::NotMember);
        }
        if self.voters().all(|voter| voter == instance) {
            return Err(ChangeError::LastVoter);
        }
        self.members.retain(|member| member.instance != instance);
        self.removed.push(instance);
        Ok(())
    }
}
