//! Which member the leader replaces, so that the group stays as large as it must be.

use std::time::Duration;

use model::ids::InstanceId;
use quorum::MemberChange;

use crate::identity::instance_ip;

/// Time without a sign of a voter after which a waiting learner takes its place, in milliseconds.
const REPLACE_AFTER_MS: u64 = 4_000;
/// Time without a sign after which a learner is given up, in milliseconds.
const LEARNER_GONE_MS: u64 = 6_000;

/// One member as the leader sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MemberView {
    /// Its identity.
    pub instance: InstanceId,
    /// Whether it votes.
    pub voter: bool,
    /// Time since its last sign.
    pub silent: Duration,
}

/// Decides on repairs of the group.
///
/// Load pattern: disks and instances that are lost for good, at most as many at
/// once as the deployment tolerates, some while others are only cut off. The
/// group never shrinks without a replacement that is there: a removal leaves
/// one voter less than wanted at the most, so that every quorum still holds
/// more members than can be lost.
#[derive(Clone, Copy, Debug)]
pub struct RepairPolicy {
    /// Voters wanted.
    pub wanted: usize,
}

impl RepairPolicy {
    /// Creates the policy for a number of tolerated losses.
    #[must_use]
    pub const fn new(tolerated_losses: usize) -> Self {
        Self {
            wanted: 2 * tolerated_losses + 1,
        }
    }

    /// Returns the next step, if any; `own` is the leader.
    #[must_use]
    pub fn next_step(&self, own: InstanceId, members: &[MemberView]) -> Option<MemberChange> {
        let remove = |view: &MemberView| MemberChange::Remove(view.instance);
        if let Some(gone) = gone_learner(members) {
            return Some(remove(gone));
        }
        let voters = members.iter().filter(|view| view.voter).count();
        if voters < self.wanted {
            return None;
        }
        let others = || {
            members
                .iter()
                .filter(|view| view.voter && view.instance != own)
        };
        let learners = || {
            members
                .iter()
                .filter(|view| !view.voter && view.silent < Duration::from_millis(REPLACE_AFTER_MS))
        };
        // A learner at the address of a voter shows that the voter's disk is lost.
        let wiped = others().find(|voter| {
            learners().any(|learner| instance_ip(learner.instance) == instance_ip(voter.instance))
        });
        if let Some(wiped) = wiped {
            return Some(remove(wiped));
        }
        learners().next()?;
        others()
            .filter(|voter| voter.silent >= Duration::from_millis(REPLACE_AFTER_MS))
            .max_by_key(|voter| voter.silent)
            .map(remove)
    }
}

/// Returns a learner that will not come back.
fn gone_learner(members: &[MemberView]) -> Option<&MemberView> {
    let learners = members.iter().filter(|view| !view.voter);
    let mut gone = learners.filter(|view| view.silent >= Duration::from_millis(LEARNER_GONE_MS));
    gone.next()
}
