//! Which losses the voters of the group can bear.

use std::collections::BTreeMap;
use std::net::IpAddr;

use derive_more::Display;
use quorum::Membership;

use crate::identity::instance_ip;

/// Voters of the group, and how many of them have lost their disk.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[display("{voters} voters, {lost_voters} lost, quorum {quorum_size}")]
pub struct GroupStrength {
    /// Number of voters, the lost ones among them.
    pub voters: usize,
    /// Voters whose address came back with another disk; they will never answer again.
    pub lost_voters: usize,
    /// Voters that must store an entry before it is committed.
    pub quorum_size: usize,
}

impl GroupStrength {
    /// Counts the voters of a membership.
    #[must_use]
    pub fn new(membership: &Membership) -> Self {
        Self {
            voters: membership.voters().count(),
            lost_voters: lost_voters(membership),
            quorum_size: membership.quorum_size(),
        }
    }

    /// Returns whether a change may be acknowledged when `losses` disks may be lost at once.
    ///
    /// A quorum must remain whichever disks those are: otherwise no leader could ever be elected
    /// again, and what was acknowledged could not be read although a disk still holds it.
    #[must_use]
    pub const fn tolerates(&self, losses: usize) -> bool {
        self.voters >= self.quorum_size + self.lost_voters + losses
    }
}

/// Counts the voters that cannot be running, since at most one member runs at an address.
///
/// A learner at the address of a voter has joined after the voter's disk was lost.
fn lost_voters(membership: &Membership) -> usize {
    let mut members_at: BTreeMap<IpAddr, (usize, bool)> = BTreeMap::new();
    for member in membership.members() {
        let (voters, has_learner) = members_at.entry(instance_ip(member.instance)).or_default();
        *voters += usize::from(member.voter);
        *has_learner |= !member.voter;
    }
    let lost = members_at
        .values()
        .map(|&(voters, has_learner)| voters.saturating_sub(usize::from(!has_learner)));
    lost.sum()
}
