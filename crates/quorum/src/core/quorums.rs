//! Which voters must agree, and which are known to be lost.

use std::collections::BTreeSet;

use crate::InstanceId;
use crate::Membership;
use crate::QuorumTerms;
use crate::RaftCore;
use crate::core::RoleState;

impl RaftCore {
    /// Records that the disk of a voter is lost, so that this voter will never act again.
    ///
    /// Its address must have answered under another ID after this member knew the voter. Elections
    /// that this member begins from now on may leave the voter out of the count, as far as the
    /// [`QuorumRule`](crate::QuorumRule) allows. Other instances are ignored.
    pub fn report_lost(&mut self, instance: InstanceId) {
        self.lost_voters = self.lost_voters_in_force().collect();
        if instance != self.id && self.is_voter_in_force(instance) {
            self.lost_voters.insert(instance);
        }
    }

    /// Returns the voters of the memberships in force that are known to be lost.
    pub(super) fn lost_voters_in_force(&self) -> impl Iterator<Item = InstanceId> {
        let lost_voters = self.lost_voters.iter().copied();
        lost_voters.filter(|&lost| self.is_voter_in_force(lost))
    }

    fn is_voter_in_force(&self, instance: InstanceId) -> bool {
        let mut memberships = self.memberships_in_force();
        memberships.any(|membership| membership.is_voter(instance))
    }

    /// Returns the memberships of which each must have a quorum of its own: the latest, and the
    /// outgoing one.
    ///
    /// A membership without voters, which only an instance that has not joined yet has, does not
    /// count.
    fn memberships_in_force(&self) -> impl Iterator<Item = &Membership> + Clone {
        let outgoing = self.outgoing_membership().into_iter();
        let memberships = outgoing.chain([self.log.membership()]);
        memberships.filter(|membership| membership.voters().next().is_some())
    }

    /// Returns the membership before the latest, if it still counts.
    ///
    /// It does until the latest, once committed, is in the log a second time.
    pub(super) fn outgoing_membership(&self) -> Option<&Membership> {
        let earlier = self.log.earlier_membership()?;
        self.counts_beside(earlier, self.log.membership())
            .then_some(earlier)
    }

    /// Returns whether a membership counts beside the one after it, until that one is settled.
    ///
    /// Quorums of two memberships that differ in one voter overlap, unless one of them has a spare
    /// and so leaves a lost voter out that the other one counts.
    pub(super) fn counts_beside(&self, membership: &Membership, next: &Membership) -> bool {
        let rule = self.config.quorum_rule;
        let mut voters = [membership, next].map(|membership| membership.voters().count());
        voters.sort_unstable();
        voters[0] > 0 && rule.spares(voters[1]) > 0
    }

    /// Returns the terms on which an election that begins now counts.
    pub(super) fn terms_of_next_election(&self) -> QuorumTerms {
        QuorumTerms {
            rule: self.config.quorum_rule,
            left_out: self.lost_voters_in_force().collect(),
        }
    }

    /// Returns whether the members for which `agrees` returns true have a quorum in each membership
    /// in force.
    pub(super) fn has_quorum(
        &self,
        terms: &QuorumTerms,
        agrees: impl Fn(InstanceId) -> bool,
    ) -> bool {
        let mut memberships = self.memberships_in_force().peekable();
        memberships.peek().is_some()
            && memberships.all(|membership| terms.has_quorum(membership, &agrees))
    }

    /// Returns the greatest value that a quorum of each membership in force has reached; `None` if
    /// this member does not lead.
    pub(super) fn leader_quorum_value<V: Ord>(&self, value: impl Fn(InstanceId) -> V) -> Option<V> {
        let RoleState::Leader(state) = &self.role else {
            return None;
        };
        let memberships = self.memberships_in_force();
        let reached = |membership: &Membership| state.terms.quorum_value(membership, &value);
        // `None` is less than any value: no quorum of one membership is none of both.
        memberships.map(reached).min().flatten()
    }

    /// Returns the voters of all memberships in force but this member.
    pub(super) fn other_voters(&self) -> BTreeSet<InstanceId> {
        let memberships = self.memberships_in_force();
        let voters = memberships.flat_map(Membership::voters);
        voters.filter(|&voter| voter != self.id).collect()
    }
}
