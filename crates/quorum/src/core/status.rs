//! What a member reports about itself.

use derive_more::Display;

use crate::InstanceId;
use crate::LogIndex;
use crate::Membership;
use crate::QuorumCore;
use crate::Term;
use crate::core::CoreRole;

/// What a member does.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display(rename_all = "kebab-case")]
pub enum MemberDuty {
    /// Appends entries and confirms reads.
    Leader,
    /// Follows a leader and votes.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Receives the log without a vote.
    Learner,
}

/// State of a member.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CoreStatus {
    /// What the member does.
    pub duty: MemberDuty,
    /// Current term.
    pub term: Term,
    /// Leader of the term, if known.
    pub leader: Option<InstanceId>,
    /// Members in force, committed or not.
    pub membership: Membership,
    /// Last index committed.
    pub committed: LogIndex,
    /// Last index of the log.
    pub last: LogIndex,
    /// Index that the last snapshot includes.
    pub snapshot: LogIndex,
}

impl QuorumCore {
    /// Returns the identity of this member.
    #[must_use]
    pub const fn id(&self) -> InstanceId {
        self.id
    }

    /// Returns the state of this member.
    #[must_use]
    pub fn status(&self) -> CoreStatus {
        CoreStatus {
            duty: self.duty(),
            term: self.term,
            leader: self.leader,
            membership: self.log.membership().clone(),
            committed: self.committed,
            last: self.log.last().index,
            snapshot: self.log.snapshot_index(),
        }
    }

    /// Returns what this member does.
    #[must_use]
    pub fn duty(&self) -> MemberDuty {
        match self.role {
            CoreRole::Leader(_) => MemberDuty::Leader,
            CoreRole::PreCandidate(_) | CoreRole::Candidate(_) => MemberDuty::Candidate,
            CoreRole::Follower if self.is_voter() => MemberDuty::Follower,
            CoreRole::Follower => MemberDuty::Learner,
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

    /// Returns the last index committed.
    #[must_use]
    pub const fn committed(&self) -> LogIndex {
        self.committed
    }

    /// Returns the term of the entry at `index`, if the log still holds it.
    #[must_use]
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term_at(index)
    }

    /// Returns whether this member may start elections.
    ///
    /// One that is being removed still may: until the removal is committed, it
    /// may be the only one with an entry that the others need.
    pub(super) fn is_voter(&self) -> bool {
        self.log.membership().is_voter(self.id)
            || self.log.membership_at(self.committed).is_voter(self.id)
    }

    pub(super) fn other_leader(&self) -> Option<InstanceId> {
        self.leader.filter(|&leader| leader != self.id)
    }
}
