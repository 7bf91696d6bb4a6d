//! Membership changes and leadership transfer.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::EntryPayload;
use crate::InstanceId;
use crate::LogIndex;
use crate::MemberChange;
use crate::MemberChangeError;
use crate::Membership;
use crate::MessageBody;
use crate::RaftCore;
use crate::core::RoleState;
use crate::core::progress::LeaderTransfer;
use crate::core::progress::PeerProgress;

impl RaftCore {
    /// Appends a membership change, which is in force as soon as it is appended.
    ///
    /// Beside spare voters, the membership before it counts as well until the change is committed
    /// and [settled](Self::settle_membership).
    ///
    /// # Errors
    ///
    /// Fails if this member is not the leader, an earlier change is not committed, or the change
    /// is not possible with the current members.
    pub fn change_members(
        &mut self,
        change: MemberChange,
        now: Instant,
    ) -> Result<LogIndex, MemberChangeError> {
        let leader = self.other_leader();
        let RoleState::Leader(state) = &self.role else {
            return Err(MemberChangeError::NotLeader { leader });
        };
        if state.transfer.is_some() {
            return Err(MemberChangeError::NotLeader { leader });
        }
        let required = self.log.membership_index().max(state.first_index_of_term);
        if self.commit_index < required {
            return Err(MemberChangeError::InFlight);
        }
        let membership = self.log.membership().with_change(change)?;
        if let MemberChange::Promote(instance) = change {
            self.check_caught_up(instance, now)?;
        }
        let heard = |voter| self.heard_recently(voter, now);
        let stays = self.counts_beside(self.log.membership(), &membership);
        let has_quorum = state.terms.has_quorum(&membership, heard)
            && (!stays || self.has_quorum(&state.terms, heard));
        if !has_quorum {
            return Err(MemberChangeError::NoQuorum);
        }
        self.append_as_leader(vec![EntryPayload::Members(membership)]);
        self.update_peers(now);
        self.replicate(now);
        Ok(self.log.membership_index())
    }

    /// Returns whether the member answered within the shortest election timeout.
    fn heard_recently(&self, member: InstanceId, now: Instant) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        member == self.id
            || state
                .peers
                .get(&member)
                .is_some_and(|peer| now < peer.heard_at + self.config.election_timeout_min)
    }

    /// Fails unless the learner is close enough to the end of the log to become a voter.
    fn check_caught_up(&self, instance: InstanceId, now: Instant) -> Result<(), MemberChangeError> {
        let RoleState::Leader(state) = &self.role else {
            return Err(MemberChangeError::NotCaughtUp);
        };
        let needed = self
            .log
            .last()
            .index
            .saturating_sub(self.config.max_promotion_lag_entries);
        let caught_up = state.peers.get(&instance).is_some_and(|peer| {
            peer.matched > 0 && peer.matched >= needed && self.heard_recently(instance, now)
        });
        if caught_up {
            Ok(())
        } else {
            Err(MemberChangeError::NotCaughtUp)
        }
    }

    /// Appends a committed change of the voters a second time, from where on the membership before
    /// it no longer counts.
    ///
    /// Without that entry, a restarted member could not tell that the change is committed, and
    /// would need a quorum of voters that may be gone by then.
    pub(super) fn settle_membership(&mut self, now: Instant) {
        let is_committed = self.commit_index >= self.log.membership_index();
        let is_leader = matches!(self.role, RoleState::Leader(_));
        if !is_leader || !is_committed || self.outgoing_membership().is_none() {
            return;
        }
        let membership = self.log.membership().clone();
        self.append_as_leader(vec![EntryPayload::Members(membership)]);
        self.update_peers(now);
        self.replicate(now);
    }

    /// Returns the members of all memberships in force but this one.
    pub(super) fn followed_members(&self) -> BTreeSet<InstanceId> {
        let memberships = [Some(self.log.membership()), self.outgoing_membership()];
        let members = memberships.into_iter().flatten();
        let members = members.flat_map(Membership::members);
        let instances = members.map(|member| member.instance);
        instances.filter(|&instance| instance != self.id).collect()
    }

    /// Tracks the replication progress of exactly the members in force.
    fn update_peers(&mut self, now: Instant) {
        let next = self.log.last().index;
        let members = self.followed_members();
        let Some(state) = self.leader_state() else {
            return;
        };
        state.peers.retain(|peer, _| members.contains(peer));
        for member in members {
            let progress = || PeerProgress::new(next, now);
            state.peers.entry(member).or_insert_with(progress);
        }
    }

    /// Steps down as a leader once the membership in which it is not a voter is committed.
    pub(super) fn step_down_if_not_voter(&mut self, now: Instant) {
        let remains_voter = self.log.membership().is_voter(self.id);
        if !remains_voter && self.commit_index >= self.log.membership_index() {
            self.broadcast_commit_index();
            self.become_follower(self.term, None, now);
        }
    }

    fn broadcast_commit_index(&mut self) {
        let voters: Vec<InstanceId> = self.log.membership().voters().collect();
        let previous = self.log.last();
        let commit_index = self.commit_index;
        for voter in voters {
            self.send(
                voter,
                MessageBody::Append {
                    previous,
                    entries: Vec::new(),
                    commit_index,
                    round: 0,
                },
            );
        }
    }

    /// Starts to transfer leadership to the most up-to-date voter; returns whether there is one.
    pub fn transfer_leadership(&mut self, now: Instant) -> bool {
        let membership = self.log.membership().clone();
        let deadline = now + self.config.election_timeout_max;
        let Some(state) = self.leader_state() else {
            return false;
        };
        let target = state
            .peers
            .iter()
            .filter(|(peer, _)| membership.is_voter(**peer))
            .max_by_key(|(_, progress)| (progress.matched, progress.heard_at))
            .map(|(&peer, _)| peer);
        let Some(to) = target else {
            return false;
        };
        state.transfer = Some(LeaderTransfer { to, deadline });
        self.finish_transfer();
        true
    }

    /// Tells the transfer target to start an election once it has the whole log.
    pub(super) fn finish_transfer(&mut self) {
        let last = self.log.last().index;
        let Some(state) = self.leader_state() else {
            return;
        };
        let Some(to) = state.transfer.as_ref().map(|transfer| transfer.to) else {
            return;
        };
        let ready = state
            .peers
            .get(&to)
            .is_some_and(|peer| peer.matched == last);
        if ready {
            self.send(to, MessageBody::TimeoutNow);
        }
    }
}
