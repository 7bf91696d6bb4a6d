//! Registry of the nodes that report to the leader.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use fleet::NodeAddresses;
use fleet::NodeRecord;
use model::ids::NodeId;

/// Time without a report after which a node is removed from the list, in milliseconds.
///
/// A longer lease takes precedence, since the node may hold shares of rate limits until it expires.
const REPORT_EXPIRY_MS: u64 = 5_000;

/// Most removed nodes that are remembered; a node that missed more gets a whole list.
const MAX_REMOVED_NODES: usize = 1_024;

/// Effect of a report on the registry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportEffect {
    /// Whether the list that other nodes have is out of date.
    pub changed: bool,
    /// Identifier of the node's previous run, which has ended.
    pub replaced: Option<NodeId>,
}

/// How the node list differs from an earlier version.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct NodeChanges {
    /// Records that are new or differ in more than load, ordered by node identifier.
    pub changed: Vec<NodeRecord>,
    /// Nodes that have left.
    pub removed: Vec<NodeId>,
}

/// A node with its last report.
#[derive(Clone, Debug)]
struct RegistryEntry {
    record: NodeRecord,
    reported_at: Instant,
    /// List version in which the record last changed.
    changed_in: u64,
}

/// A node that left, and the list version in which it did.
#[derive(Clone, Copy, Debug)]
struct RemovedNode {
    node: NodeId,
    removed_in: u64,
}

/// The last report of each node.
///
/// Kept in memory only, since the nodes report to each new leader again.
#[derive(Clone, Debug)]
pub struct NodeRegistry {
    leader_since: Instant,
    /// Time for which a partitioned node keeps using what an earlier leader assigned to it.
    lease: Duration,
    list_version: u64,
    /// Oldest version since which all changes are known.
    oldest_version: u64,
    nodes: HashMap<NodeId, RegistryEntry>,
    by_address: HashMap<SocketAddr, NodeId>,
    removed: VecDeque<RemovedNode>,
}

impl NodeRegistry {
    /// Creates the registry of a leader that was elected in `term` at `now`.
    ///
    /// What an earlier leader assigned to a node stays valid for `lease` without a renewal.
    #[must_use]
    pub fn new(term: u64, lease: Duration, now: Instant) -> Self {
        let list_version = (term << 24) + 1;
        Self {
            leader_since: now,
            lease,
            list_version,
            oldest_version: list_version,
            nodes: HashMap::new(),
            by_address: HashMap::new(),
            removed: VecDeque::new(),
        }
    }

    /// Records a node's report.
    pub fn report(&mut self, record: NodeRecord, now: Instant) -> ReportEffect {
        let node = record.node;
        let at_address = self.by_address.insert(record.address, node);
        let previous = at_address.filter(|previous| *previous != node);
        let known = self.nodes.get(&node);
        let changed = previous.is_some()
            || known.is_none_or(|known| differs_beyond_load(&known.record, &record));
        self.list_version += u64::from(changed);
        let changed_in = match known {
            Some(known) if !changed => known.changed_in,
            _ => self.list_version,
        };
        if let Some(known) = known
            && known.record.address != record.address
        {
            self.by_address.remove(&known.record.address);
        }
        let entry = RegistryEntry {
            record,
            reported_at: now,
            changed_in,
        };
        self.nodes.insert(node, entry);
        if let Some(previous) = previous {
            self.remove(previous);
        }
        ReportEffect {
            changed,
            replaced: previous,
        }
    }

    /// Removes the nodes that have not reported for too long; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expiry = Duration::from_millis(REPORT_EXPIRY_MS).max(self.lease);
        let is_expired =
            |entry: &RegistryEntry| now.saturating_duration_since(entry.reported_at) >= expiry;
        let nodes = self.nodes.iter();
        let expired: Vec<NodeId> = nodes
            .filter(|(_, entry)| is_expired(entry))
            .map(|(node, _)| *node)
            .collect();
        self.list_version += u64::from(!expired.is_empty());
        for node in &expired {
            self.remove(*node);
        }
        !expired.is_empty()
    }

    /// Removes a node in the current version of the list.
    fn remove(&mut self, node: NodeId) {
        let Some(entry) = self.nodes.remove(&node) else {
            return;
        };
        let address = entry.record.address;
        if self.by_address.get(&address) == Some(&node) {
            self.by_address.remove(&address);
        }
        self.removed.push_back(RemovedNode {
            node,
            removed_in: self.list_version,
        });
        if self.removed.len() > MAX_REMOVED_NODES
            && let Some(forgotten) = self.removed.pop_front()
        {
            self.oldest_version = forgotten.removed_in;
        }
    }

    /// Returns what has changed since a version of the list; `None` if only the whole list tells,
    /// as for the versions of an earlier leader.
    #[must_use]
    pub fn changes_since(&self, version: u64) -> Option<NodeChanges> {
        if !(self.oldest_version..=self.list_version).contains(&version) {
            return None;
        }
        let entries = self.nodes.values();
        let changed = entries.filter(|entry| entry.changed_in > version);
        let mut changed: Vec<NodeRecord> = changed.map(|entry| entry.record.clone()).collect();
        changed.sort_by_key(|record| record.node);
        let later = self.removed.iter().rev();
        let removed = later.take_while(|removed| removed.removed_in > version);
        Some(NodeChanges {
            changed,
            removed: removed.map(|removed| removed.node).collect(),
        })
    }

    /// Returns the version of the node list, which increases with each change.
    #[must_use]
    pub const fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Returns whether every node of `replicated` has reported, or its shares of rate limits have
    /// expired.
    #[must_use]
    pub fn is_complete(&self, replicated: &NodeAddresses, now: Instant) -> bool {
        self.has_waited_for(replicated, self.lease, now)
    }

    /// Returns whether every node of `replicated` has reported, or the leader has waited for
    /// `wait`.
    #[must_use]
    pub fn has_waited_for(&self, replicated: &NodeAddresses, wait: Duration, now: Instant) -> bool {
        if now.saturating_duration_since(self.leader_since) >= wait {
            return true;
        }
        let mut replicated = replicated.iter();
        replicated.all(|address| self.by_address.contains_key(address))
    }

    /// Returns how many nodes of `replicated` have reported.
    #[must_use]
    pub fn reported_count(&self, replicated: &NodeAddresses) -> usize {
        let reported = replicated.iter();
        reported
            .filter(|address| self.by_address.contains_key(address))
            .count()
    }

    /// Returns whether `replicated` contains a node, so that the next leader will wait for its
    /// report.
    #[must_use]
    pub fn is_replicated(&self, node: NodeId, replicated: &NodeAddresses) -> bool {
        let entry = self.nodes.get(&node);
        entry.is_some_and(|entry| replicated.contains(&entry.record.address))
    }

    /// Returns the set that should replace `replicated`; `None` while it is up to date.
    ///
    /// A node stays in the set until it certainly holds no share of a rate limit.
    #[must_use]
    pub fn next_node_addresses(
        &self,
        replicated: &NodeAddresses,
        now: Instant,
    ) -> Option<NodeAddresses> {
        let mut next = self.reported_addresses();
        if !self.is_complete(replicated, now) {
            next.extend(replicated);
        }
        (next != *replicated).then_some(next)
    }

    fn reported_addresses(&self) -> NodeAddresses {
        self.by_address.keys().copied().collect()
    }

    /// Returns whether a node of a data centre has reported.
    #[must_use]
    pub fn has_data_centre(&self, data_centre: &str) -> bool {
        let mut entries = self.nodes.values();
        entries.any(|entry| *entry.record.data_centre == *data_centre)
    }

    /// Returns the records of all nodes, ordered by node identifier.
    #[must_use]
    pub fn records(&self) -> Vec<NodeRecord> {
        let mut records: Vec<_> = self
            .nodes
            .values()
            .map(|entry| entry.record.clone())
            .collect();
        records.sort_by_key(|record| record.node);
        records
    }
}

/// Returns whether the records differ in more than load and warm-up time.
fn differs_beyond_load(known: &NodeRecord, record: &NodeRecord) -> bool {
    known.address != record.address
        || known.service != record.service
        || known.server != record.server
        || known.slots != record.slots
        || known.accepts_calls != record.accepts_calls
}
