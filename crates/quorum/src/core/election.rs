//! Elections: pre-votes, votes and the handling of terms.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::InstanceId;
use crate::LogPosition;
use crate::MessageBody;
use crate::PeerMessage;
use crate::QuorumTerms;
use crate::RaftCore;
use crate::Term;
use crate::core::RoleState;

/// Members that granted this one a pre-vote or a vote, and the terms on which they are counted.
#[derive(Debug)]
pub(super) struct VoteTally {
    granted: BTreeSet<InstanceId>,
    terms: QuorumTerms,
}

impl VoteTally {
    const fn new(terms: QuorumTerms) -> Self {
        Self {
            granted: BTreeSet::new(),
            terms,
        }
    }
}

impl RaftCore {
    pub(super) fn restart_election_timer(&mut self, now: Instant) {
        let timeout = self.rng.duration_between(
            self.config.election_timeout_min,
            self.config.election_timeout_max,
        );
        self.election_due = now + timeout;
    }

    pub(super) fn tick_election(&mut self, now: Instant) {
        if now < self.election_due {
            return;
        }
        self.restart_election_timer(now);
        if self.is_voter() {
            self.start_pre_vote(now);
        }
    }

    /// Compares the term of a message with the current one; returns whether to process the message.
    ///
    /// A later term makes this member a follower, except that a vote request is ignored while
    /// the leader is known to be alive.
    pub(super) fn check_term(
        &mut self,
        from: InstanceId,
        message: &PeerMessage,
        now: Instant,
    ) -> bool {
        match message.body {
            MessageBody::PreVote { .. } | MessageBody::PreVoteReply { granted: true } => true,
            MessageBody::Vote {
                transfer: false, ..
            } if message.term > self.term && self.heard_leader_recently(now) => false,
            _ if message.term > self.term => {
                self.become_follower(message.term, None, now);
                true
            }
            _ if message.term < self.term => {
                self.reply_to_stale_term(from, &message.body);
                false
            }
            _ => true,
        }
    }

    /// Replies to a message of an earlier term, so that the sender learns the current one.
    fn reply_to_stale_term(&mut self, from: InstanceId, body: &MessageBody) {
        let expects_reply = matches!(
            body,
            MessageBody::Append { .. } | MessageBody::Snapshot { .. } | MessageBody::Vote { .. }
        );
        if expects_reply {
            self.send_after_sync(from, self.term, MessageBody::VoteReply { granted: false });
        }
    }

    /// Returns whether the leader was heard from so recently that elections are refused.
    fn heard_leader_recently(&self, now: Instant) -> bool {
        if matches!(self.role, RoleState::Leader(_)) {
            return true;
        }
        let election_timeout_min = self.config.election_timeout_min;
        self.leader.is_some()
            && self
                .heard_leader_at
                .is_some_and(|heard_at| now < heard_at + election_timeout_min)
    }

    pub(super) fn become_follower(&mut self, term: Term, leader: Option<InstanceId>, now: Instant) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.write_vote();
            self.incoming_snapshot = None;
        }
        let role = std::mem::replace(&mut self.role, RoleState::Follower);
        if let RoleState::Leader(mut state) = role {
            self.reads.requeue(state.rounds.take_local());
            self.restart_election_timer(now);
        }
        self.leader = leader;
        self.forward_reads(now);
    }

    fn start_pre_vote(&mut self, now: Instant) {
        self.leader = None;
        let mut tally = VoteTally::new(self.terms_of_next_election());
        tally.granted.insert(self.id);
        self.role = RoleState::PreCandidate(tally);
        let last = self.log.last();
        let proposed_term = self.term + 1;
        for voter in self.other_voters() {
            self.send_after_sync(voter, proposed_term, MessageBody::PreVote { last });
        }
        self.finish_pre_vote(now);
    }

    /// Replies to a pre-vote, and may start one itself.
    ///
    /// A learner whose promotion has reached only the sender may hold the most up-to-date log.
    /// It is then the only member that the voters known to it can elect, so it starts a pre-vote
    /// although it does not know that it is a voter.
    pub(super) fn on_pre_vote(
        &mut self,
        from: InstanceId,
        proposed_term: Term,
        last: LogPosition,
        now: Instant,
    ) {
        let up_to_date = last.is_up_to_date_with(self.log.last());
        let granted = proposed_term > self.term && !self.heard_leader_recently(now) && up_to_date;
        let term = if granted { proposed_term } else { self.term };
        self.send_after_sync(from, term, MessageBody::PreVoteReply { granted });
        let should_run = !up_to_date && !self.is_voter() && !self.heard_leader_recently(now);
        if should_run && matches!(self.role, RoleState::Follower) {
            self.start_pre_vote(now);
        }
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        from: InstanceId,
        term: Term,
        granted: bool,
        now: Instant,
    ) {
        let proposed_term = self.term + 1;
        if let RoleState::PreCandidate(tally) = &mut self.role
            && granted
            && term == proposed_term
        {
            tally.granted.insert(from);
            self.finish_pre_vote(now);
        }
    }

    fn finish_pre_vote(&mut self, now: Instant) {
        let RoleState::PreCandidate(tally) = &self.role else {
            return;
        };
        if self.has_quorum(&tally.terms, |voter| tally.granted.contains(&voter)) {
            self.start_election(false, now);
        }
    }

    /// Starts an election; this member's own vote counts once it is synced.
    ///
    /// Voters that are known to be lost by now may be left out for the whole term, later ones not:
    /// they may have voted in it.
    pub(super) fn start_election(&mut self, transfer: bool, now: Instant) {
        self.term += 1;
        self.vote = Some(self.id);
        self.leader = None;
        self.write_vote();
        self.role = RoleState::Candidate(VoteTally::new(self.terms_of_next_election()));
        self.restart_election_timer(now);
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send_after_sync(voter, self.term, MessageBody::Vote { last, transfer });
        }
    }

    pub(super) fn on_vote(&mut self, from: InstanceId, last: LogPosition, now: Instant) {
        let may_vote = self.vote.is_none_or(|vote| vote == from)
            && matches!(self.role, RoleState::Follower | RoleState::PreCandidate(_))
            && self.leader.is_none();
        let granted = may_vote && last.is_up_to_date_with(self.log.last());
        if granted {
            if self.vote.is_none() {
                self.vote = Some(from);
                self.write_vote();
            }
            self.role = RoleState::Follower;
            self.restart_election_timer(now);
        }
        self.send_after_sync(from, self.term, MessageBody::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: InstanceId, granted: bool, now: Instant) {
        let RoleState::Candidate(tally) = &mut self.role else {
            return;
        };
        if !granted {
            return;
        }
        tally.granted.insert(from);
        let RoleState::Candidate(tally) = &self.role else {
            return;
        };
        if self.has_quorum(&tally.terms, |voter| tally.granted.contains(&voter)) {
            let terms = tally.terms.clone();
            self.become_leader(terms, now);
        }
    }

    pub(super) fn on_timeout_now(&mut self, from: InstanceId, now: Instant) {
        if self.leader == Some(from) && self.is_voter() {
            self.start_election(true, now);
        }
    }
}
