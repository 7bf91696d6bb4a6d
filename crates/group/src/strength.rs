//! Which losses the voters of the group can bear.

use std::collections::BTreeMap;
use std::net::IpAddr;

use derive_more::Display;
use model::ids::InstanceId;
use quorum::Membership;

use crate::identity::instance_ip;
use crate::repair::MemberView;
use crate::repair::RepairPolicy;

/// Voters of the group, and how many of them have lost their disk.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{voters} voters, {lost_voters} lost, quorum {quorum_size}")]
pub struct GroupStrength {
    /// Number of voters, the lost ones among them.
    pub voters: usize,
    /// Voters that will never answer again, or may not: their address came back with another disk,
    /// or they are silent while a learner waits.
    pub lost_voters: usize,
    /// Voters that must store an entry before it is committed.
    pub quorum_size: usize,
}

impl GroupStrength {
    /// Counts the voters of a membership, as the member `own` observes them in `views`.
    ///
    /// A voter that is silent counts as lost only while a learner waits: otherwise it is one of the
    /// tolerated losses, or one that a spare voter stands in for, and changes go on beside it.
    #[must_use]
    pub fn new(
        membership: &Membership,
        own: InstanceId,
        views: &[MemberView],
        policy: &RepairPolicy,
    ) -> Self {
        let awaits_replacement = RepairPolicy::awaits_replacement(views);
        let voters = membership.voters().count();
        let is_missing = |member: &&MemberView| awaits_replacement && member.is_missing(own);
        Self {
            voters,
            lost_voters: lost_voters(views, is_missing),
            quorum_size: policy.quorum_rule().quorum_size(voters),
        }
    }

    /// Counts at least this number of voters as lost.
    #[must_use]
    pub fn with_known_losses(self, known_losses: usize) -> Self {
        Self {
            lost_voters: self.lost_voters.max(known_losses),
            ..self
        }
    }

    /// Returns whether a change may be acknowledged when `losses` disks may be lost at once.
    ///
    /// Whichever disks those are, the other voters must be able to elect a leader once it is known
    /// that they are lost: otherwise what was acknowledged could not be read although a disk still
    /// holds it. They are when the voters that are not lost yet have the target size, since each
    /// lost one beyond it is a spare in the [`QuorumRule`](quorum::QuorumRule).
    #[must_use]
    pub const fn tolerates(&self, losses: usize) -> bool {
        self.voters > 2 * losses + self.lost_voters
    }
}

/// Counts the voters that are missing or cannot be running, since at most one member runs at an
/// address.
///
/// A learner at the address of a voter has joined after the voter's disk was lost.
fn lost_voters(views: &[MemberView], is_missing: impl Fn(&&MemberView) -> bool) -> usize {
    let mut voters_at: BTreeMap<IpAddr, AddressVoters> = BTreeMap::new();
    for member in views {
        let at = voters_at.entry(instance_ip(member.instance)).or_default();
        at.has_learner |= !member.voter;
        at.voters += usize::from(member.voter);
        at.missing += usize::from(member.voter && is_missing(&member));
    }
    voters_at.values().map(AddressVoters::lost).sum()
}

/// Members at one address.
#[derive(Clone, Copy, Debug, Default)]
struct AddressVoters {
    voters: usize,
    missing: usize,
    has_learner: bool,
}

impl AddressVoters {
    /// Returns how many of the voters are lost, or may be.
    fn lost(&self) -> usize {
        let may_run = usize::from(!self.has_learner);
        self.missing.max(self.voters.saturating_sub(may_run))
    }
}
