//! Decides which member the leader replaces to keep the group at its target size.

use std::time::Duration;

use model::ids::InstanceId;
use quorum::MemberChange;

use crate::identity::instance_ip;

/// Silence of a voter after which a waiting learner replaces it, in milliseconds.
const REPLACE_AFTER_MS: u64 = 3_000;
/// Time after which a waiting learner replaces a voter that the leader has not heard at all, in
/// milliseconds; an election has taken some of the time that its successor has.
const REPLACE_UNHEARD_AFTER_MS: u64 = 2_000;
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
}

impl MemberView {
    /// Returns whether the member may be gone for good, for all that an instance knows.
    ///
    /// Nobody hears itself: an instance never counts itself as missing.
    pub(crate) fn is_missing(&self, own: InstanceId) -> bool {
        let missing_after = Duration::from_millis(MISSING_AFTER_MS);
        self.instance != own && (!self.heard || self.silence >= missing_after)
    }
}

/// Policy for replacing lost members of the group.
///
/// Failure model: disks and instances are lost permanently, at most as many at
/// once as the deployment tolerates, and others may be partitioned at the same
/// time. Two cases differ:
///
/// - A voter whose address came back with an empty disk will never answer again,
///   so its removal costs nothing: it is removed first, and its successor is
///   promoted after.
/// - A voter that is only silent may still have its disk. Its successor is
///   promoted first, since the group would tolerate one loss less without it.
///
/// In both cases a replacement is connected, and the group is at most one voter
/// off its target size.
///
/// While several voters are silent, the one that is replaced may be only cut off
/// and another one gone. It is demoted and not removed: as long as that learner
/// stays, a missing voter counts as lost ([`GroupStrength`](crate::GroupStrength)),
/// and it takes the place of the one that is gone when it is back.
#[derive(Clone, Copy, Debug)]
pub struct RepairPolicy {
    /// Target number of voters.
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

    /// Returns whether a member that takes the place of a lost voter is waiting or has just come.
    ///
    /// The lost voter may then be one whose loss was long ago, so that as many others may be lost
    /// as the deployment tolerates.
    pub(crate) fn awaits_replacement(self, members: &[MemberView]) -> bool {
        let voters = members.iter().filter(|member| member.voter).count();
        voters > self.target_voters || members.iter().any(|member| !member.voter)
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
        let replace_after = Duration::from_millis(REPLACE_AFTER_MS);
        let others = || {
            members
                .iter()
                .filter(|member| member.voter && member.instance != own)
        };
        let learners = || {
            members
                .iter()
                .filter(|member| !member.voter && member.silence < replace_after)
        };
        // A learner at the address of a voter means that the voter has lost its disk, unless the
        // learner was there before and has lost its own: the one that is heard is the later one.
        let heard_margin = Duration::from_millis(HEARD_MARGIN_MS);
        let wiped = others().find(|voter| {
            learners().any(|learner| {
                shares_address(learner, voter) && learner.silence + heard_margin <= voter.silence
            })
        });
        if let Some(wiped) = wiped {
            return Some(remove(wiped));
        }
        let unheard = others().filter(|voter| !voter.heard).count();
        let is_silent = |voter: &&MemberView| {
            let is_only_unheard = !voter.heard && unheard == 1;
            let unheard_after = Duration::from_millis(REPLACE_UNHEARD_AFTER_MS);
            voter.silence >= replace_after || is_only_unheard && voter.silence >= unheard_after
        };
        let silent = others()
            .filter(is_silent)
            .max_by_key(|voter| voter.silence)?;
        if voters > self.target_voters {
            let is_another = |voter: &MemberView| voter.instance != silent.instance;
            let misses_another = others().any(|voter| is_another(voter) && voter.is_missing(own));
            return Some(if misses_another {
                MemberChange::Demote(silent.instance)
            } else {
                remove(silent)
            });
        }
        learners()
            .filter(|learner| learner.heard)
            .min_by_key(|learner| learner.silence)
            .map(|learner| MemberChange::Promote(learner.instance))
    }
}

/// Returns a learner that has been silent for too long while no voter is missing, or whose address
/// came back with another disk since.
///
/// A silent learner beside a missing voter may be a demoted one that is only cut off. The leader,
/// which gets no messages from itself, runs.
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
