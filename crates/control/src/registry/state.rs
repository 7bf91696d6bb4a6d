//! The nodes and the feed, which change together.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

use model::ids::NodeId;

use crate::registry::feed::MemberFeed;
use crate::registry::node::NodeEntry;

/// State of a [`NodeRegistry`](super::NodeRegistry), guarded by its lock.
#[derive(Debug, Default)]
pub(super) struct RegistryState {
    pub(super) nodes: HashMap<NodeId, NodeEntry>,
    addresses: HashMap<SocketAddr, NodeId>,
    pub(super) feed: MemberFeed,
    /// Sequence number of the last lease renewal, granted here or reported by a peer.
    pub(super) renewal: u64,
}

impl RegistryState {
    /// Inserts or updates a node; a lease that ends before the known one is ignored.
    pub(super) fn put(&mut self, mut entry: NodeEntry, now: Instant) {
        let node = entry.member.node;
        self.renewal += 1;
        entry.renewal = self.renewal;
        if let Some(known) = self.nodes.get_mut(&node) {
            if entry.lease_end < known.lease_end {
                return;
            }
            if !known.has_changed(&entry.member) {
                known.member.load = entry.member.load;
                known.renew(entry.serving_instance, entry.applied, entry.lease_end);
                known.renewal = entry.renewal;
                return;
            }
        }
        let earlier = self.addresses.insert(entry.member.address, node);
        if let Some(restarted) = earlier.filter(|earlier| *earlier != node) {
            self.remove(restarted, now);
        }
        if let Some(known) = self.nodes.get(&node) {
            let (service, cursor) = (known.member.service.clone(), known.cursor);
            self.feed
                .replace_change(&service, cursor, &entry.member.service, node, now);
        }
        entry.cursor = self.feed.record_join(&entry.member.service, node);
        self.nodes.insert(node, entry);
    }

    pub(super) fn remove(&mut self, node: NodeId, now: Instant) {
        let Some(entry) = self.nodes.remove(&node) else {
            return;
        };
        let address = entry.member.address;
        if self.addresses.get(&address) == Some(&node) {
            self.addresses.remove(&address);
        }
        self.feed
            .record_departure(&entry.member.service, entry.cursor, node, now);
    }
}
