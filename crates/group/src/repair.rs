//! Decides which member the leader replaces to keep the group at its target size.

use std::time::Duration;

use model::ids::InstanceId;
use quorum::MemberChange;
use quorum::QuorumRule;

use crate::identity::instance_ip;

/// Silence of a voter after which it is removed, in milliseconds; longer than machines are split
/// into halves, since the voters of the other half may be needed when that ends.
const REPLACE_AFTER_MS: u64 = 10_000;
/// Silence of a learner up to which it may become a voter, in milliseconds.
const CONNECTED_MS: u64 = 1_000;
/// Silence from which on a voter may be one that is gone, in milliseconds; longer than a few
/// heartbeats.
const MISSING_AFTER_MS: u64 = 500;
/// Silence of a learner after which it is removed, in milliseconds.
const REMOVE_LEARNER_AFTER_MS: u64 = 6_000;
/// Difference in silence from which on one of two members at an address is the one that runs, in
/// milliseconds; longer than a few heartbeats.
const HEARD_MARGIN_MS: u64 = 300;
/// Silence of a learner after which it is removed if another member at its address is heard, in
/// milliseconds.
const SUPERSEDED_AFTER_MS: u64 = 1_000;

/// State of a member as the leader observes it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// Identity of the member.
    pub instance: InstanceId,
    /// Whether the member votes; otherwise it is a learner.
    pub voter: bool,
    /// Time since the last message from the member, or since the leader took office.
    pub silence: Duration,
    /// Whether a message from the member came since the leader took office.
    pub heard: bool,
    /// Whether the member has said that it stops.
    pub leaving: bool,
}

impl MemberView {
    /// Returns whether the member may be gone for good, for all that an instance knows.
    ///
    /// Nobody hears itself: an instance never counts itself as missing.
    pub(crate) fn is_missing(&self, own: InstanceId) -> bool {
        let missing_after = Duration::from_millis(MISSING_AFTER_MS);
        self.instance != own && (!self.heard || self.leaving || self.silence >= missing_after)
    }
}

/// Policy for replacing lost members of the group.
///
/// Failure model: disks and instances are lost permanently, at most as many at
/// once as the deployment tolerates, and others may be partitioned at the same
/// time. An instance may also be taken away without notice once its successor has
/// run for a while, and then counts as none of these losses:
///
/// - A learner votes at once, beside the voters that are there. The group then
///   tolerates that one voter is gone already before anyone has noticed it
///   ([`QuorumRule`]).
/// - A voter whose address came back with an empty disk will never answer again,
///   so its removal costs nothing: it is removed first, and its successor is
///   promoted after.
/// - A voter that stops is removed at once, and one that is only silent after a
///   while, if so many others are heard that the group has its target size without
///   it: it may still have its disk.
#[derive(Clone, Copy, Debug)]
pub struct RepairPolicy {
    /// Number of voters that the group needs.
    pub target_voters: usize,
}

impl RepairPolicy {
    /// Creates the policy for a number of members that may be lost at once.
    #[must_use]
    pub const fn new(tolerated_losses: usize) -> Self {
        Self {
            target_voters: 2 * tolerated_losses + 1,
        }
    }

    /// Returns the number of voters up to which learners are promoted.
    ///
    /// With more spares than tolerated losses, those that keep their disk would be no quorum even
    /// without the lost ones.
    #[must_use]
    pub const fn max_voters(self) -> usize {
        self.target_voters + self.target_voters / 2
    }

    /// Returns how many voters form a quorum.
    #[must_use]
    pub const fn quorum_rule(self) -> QuorumRule {
        QuorumRule::Tolerating(self.target_voters / 2)
    }

    /// Returns whether a learner is waiting.
    ///
    /// A voter that is missing may then be one whose successor the learner is, so that as many
    /// others may be lost as the deployment tolerates.
    pub(crate) fn awaits_replacement(members: &[MemberView]) -> bool {
        members.iter().any(|member| !member.voter)
    }

    /// Returns the next membership change, if any; `own` is the identity of the leader.
    #[must_use]
    pub fn next_step(&self, own: InstanceId, members: &[MemberView]) -> Option<MemberChange> {
        let remove = |member: &MemberView| MemberChange::Remove(member.instance);
        if let Some(learner) = lost_learner(own, members) {
            return Some(remove(learner));
        }
        let voters = members.iter().filter(|member| member.voter).count();
        if voters < self.target_voters {
            return None;
        }
        if let Some(wiped) = wiped_voter(own, members) {
            return Some(remove(wiped));
        }
        if let Some(departed) = self.departed_voter(own, members) {
            return Some(remove(departed));
        }
        if voters >= self.max_voters() {
            return None;
        }
        let spare = connected_learners(members).filter(|learner| {
            let mut voters = members.iter().filter(|member| member.voter);
            learner.heard && !voters.any(|voter| shares_address(voter, learner))
        });
        spare
            .min_by_key(|learner| learner.silence)
            .map(|learner| MemberChange::Promote(learner.instance))
    }

    /// Returns the voter that has been silent for the longest, if that is too long or it has said
    /// that it stops, and enough others are heard.
    fn departed_voter(self, own: InstanceId, members: &[MemberView]) -> Option<&MemberView> {
        let voters = || members.iter().filter(|member| member.voter);
        let heard_voters = voters().filter(|voter| !voter.is_missing(own)).count();
        if heard_voters < self.target_voters {
            return None;
        }
        let others = voters().filter(|voter| voter.instance != own);
        let replace_after = Duration::from_millis(REPLACE_AFTER_MS);
        let is_gone = |voter: &&MemberView| voter.leaving || voter.silence >= replace_after;
        others.filter(is_gone).max_by_key(|voter| voter.silence)
    }
}

/// Returns a voter at whose address a learner came back with another disk.
///
/// The learner may also have been there before and have lost its own: the one that is heard is the
/// later one.
fn wiped_voter(own: InstanceId, members: &[MemberView]) -> Option<&MemberView> {
    let heard_margin = Duration::from_millis(HEARD_MARGIN_MS);
    let mut others = members
        .iter()
        .filter(|member| member.voter && member.instance != own);
    others.find(|voter| {
        connected_learners(members).any(|learner| {
            shares_address(learner, voter) && learner.silence + heard_margin <= voter.silence
        })
    })
}

/// Returns the learners that have not been silent for long.
fn connected_learners(members: &[MemberView]) -> impl Iterator<Item = &MemberView> {
    let connected = Duration::from_millis(CONNECTED_MS);
    members
        .iter()
        .filter(move |member| !member.voter && member.silence < connected)
}

/// Returns a learner that has been silent for too long while no voter is missing, or whose address
/// came back with another disk since.
///
/// Beside a missing voter, a silent learner may be one that is only cut off. The leader, which gets
/// no messages from itself, runs.
fn lost_learner(own: InstanceId, members: &[MemberView]) -> Option<&MemberView> {
    let remove_after = Duration::from_millis(REMOVE_LEARNER_AFTER_MS);
    let superseded_after = Duration::from_millis(SUPERSEDED_AFTER_MS);
    let is_superseded = |learner: &MemberView| {
        let mut successors = members.iter().filter(|member| {
            member.instance != learner.instance && shares_address(member, learner)
        });
        learner.silence >= superseded_after
            && successors.any(|member| member.instance == own || member.silence < superseded_after)
    };
    let misses_voter = members
        .iter()
        .any(|member| member.voter && member.is_missing(own));
    let is_dead = |learner: &MemberView| !misses_voter && learner.silence >= remove_after;
    members
        .iter()
        .filter(|member| !member.voter)
        .find(|learner| is_dead(learner) || is_superseded(learner))
}

/// Returns whether at most one of the two members can be running.
fn shares_address(member: &MemberView, other: &MemberView) -> bool {
    instance_ip(member.instance) == instance_ip(other.instance)
}
