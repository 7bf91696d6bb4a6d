//! Which control instance a node connects to next.

use std::net::SocketAddr;

/// Most control instances that are remembered of each kind.
const MAX_INSTANCES: usize = 16;

/// Control instances to connect to: a leader that was named, otherwise all in turn.
///
/// Only a leader that a quorum has confirmed says who the members are. An instance that does not
/// lead may have been removed from the group and know only members that are gone: what it names
/// is tried beside the members, never in their place.
#[derive(Clone, Debug)]
pub struct ControlInstances {
    members: Vec<SocketAddr>,
    /// What the last instance that does not lead named.
    suggested: Vec<SocketAddr>,
    /// The leader that it named, if that has not been tried since.
    leader: Option<SocketAddr>,
    next_index: usize,
}

impl ControlInstances {
    /// Creates an empty list; nodes should start at different positions.
    #[must_use]
    pub const fn new(first_index: usize) -> Self {
        Self {
            members: Vec::new(),
            suggested: Vec::new(),
            leader: None,
            next_index: first_index,
        }
    }

    /// Returns the instance to try next: the leader if one was named, otherwise the next in turn.
    ///
    /// `seeds` holds the instances that the settings name, at least one.
    pub fn next(&mut self, seeds: &[SocketAddr]) -> SocketAddr {
        if let Some(leader) = self.leader.take() {
            return leader;
        }
        self.next_index += 1;
        let mut all: Vec<SocketAddr> = Vec::new();
        for address in self.members.iter().chain(&self.suggested).chain(seeds) {
            if !all.contains(address) {
                all.push(*address);
            }
        }
        all[self.next_index % all.len()]
    }

    /// Sets the members that a confirmed leader named.
    pub fn set_members(&mut self, mut members: Vec<SocketAddr>) {
        if !members.is_empty() {
            members.truncate(MAX_INSTANCES);
            self.members = members;
            self.suggested.clear();
        }
    }

    /// Remembers what an instance that does not lead named.
    pub fn suggest(&mut self, leader: Option<SocketAddr>, mut instances: Vec<SocketAddr>) {
        self.leader = leader;
        if !instances.is_empty() {
            instances.truncate(MAX_INSTANCES);
            self.suggested = instances;
        }
    }
}
