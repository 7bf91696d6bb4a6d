//! Status of a member.

use derive_more::Display;

use crate::InstanceId;
use crate::LogIndex;
use crate::Membership;
use crate::RaftCore;
use crate::Term;
use crate::core::RoleState;

/// Role of a member.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum MemberRole {
    /// Appends entries to the log and confirms reads.
    Leader,
    /// Votes, and replicates the log of a leader if one is known.
    Follower,
    /// Requests votes, or pre-votes before starting an election.
    Candidate,
    /// Receives the log but does not vote.
    Learner,
}

/// Status of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RaftStatus {
    /// Role of the member.
    pub role: MemberRole,
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
    /// Voters that are known to be lost.
    pub lost_voters: Vec<InstanceId>,
    /// Index of the last committed entry.
    pub commit_index: LogIndex,
    /// Index of the last entry in the log.
    pub last_index: LogIndex,
    /// Index of the last entry that the last snapshot includes.
    pub snapshot_index: LogIndex,
}

impl RaftCore {
    /// Returns the ID of this member.
    #[must_use]
    pub const fn id(&self) -> InstanceId {
        self.id
    }

    /// Returns the status of this member.
    #[must_use]
    pub fn status(&self) -> RaftStatus {
        RaftStatus {
            role: self.role(),
            term: self.term,
            leader: self.leader,
            membership: self.log.membership().clone(),
            membership_index: self.log.membership_index(),
            outgoing_membership: self.outgoing_membership().cloned(),
            lost_voters: self.lost_voters_in_force().collect(),
            commit_index: self.commit_index,
            last_index: self.log.last().index,
            snapshot_index: self.log.snapshot_index(),
        }
    }

    /// Returns the role of this member.
    #[must_use]
    pub fn role(&self) -> MemberRole {
        match self.role {
            RoleState::Leader(_) => MemberRole::Leader,
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => MemberRole::Candidate,
            RoleState::Follower if self.is_voter() => MemberRole::Follower,
            RoleState::Follower => MemberRole::Learner,
        }
    }

    /// Returns the leader of the current term, if known.
    #[must_use]
    pub const fn leader(&self) -> Option<InstanceId> {
        self.leader
    }

    /// Returns the current term.
    #[must_use]
    pub const fn term(&self) -> Term {
        self.term
    }

    /// Returns the index of the last committed entry.
    #[must_use]
    pub const fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Returns the term of the entry at `index`, if the log still holds it.
    #[must_use]
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term_at(index)
    }

    /// Returns whether this member may start elections.
    ///
    /// A voter that is being removed still may: until the removal is committed, it may be the only
    /// member with an entry that the others need.
    pub(super) fn is_voter(&self) -> bool {
        self.log.membership().is_voter(self.id)
            || self.log.membership_at(self.commit_index).is_voter(self.id)
    }

    pub(super) fn other_leader(&self) -> Option<InstanceId> {
        self.leader.filter(|&leader| leader != self.id)
    }
}
