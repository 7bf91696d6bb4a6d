//! Registry of the nodes that report to the leader.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use fleet::NodeAddresses;
use fleet::NodeRecord;
use model::ids::NodeId;

/// Time without a report after which a node is removed from the list, in milliseconds.
///
/// A longer lease takes precedence, since the node may hold shares of rate limits until it expires.
const REPORT_EXPIRY_MS: u64 = 5_000;

/// Effect of a report on the registry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportEffect {
    /// Whether the list that other nodes have is out of date.
    pub changed: bool,
    /// Identifier of the node's previous run, which has ended.
    pub replaced: Option<NodeId>,
}

/// A node with its last report.
#[derive(Clone, Debug)]
struct RegistryEntry {
    record: NodeRecord,
    reported_at: Instant,
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
    nodes: HashMap<NodeId, RegistryEntry>,
}

impl NodeRegistry {
    /// Creates the registry of a leader that was elected in `term` at `now`.
    ///
    /// What an earlier leader assigned to a node stays valid for `lease` without a renewal.
    #[must_use]
    pub fn new(term: u64, lease: Duration, now: Instant) -> Self {
        Self {
            leader_since: now,
            lease,
            list_version: (term << 24) + 1,
            nodes: HashMap::new(),
        }
    }

    /// Records a node's report.
    pub fn report(&mut self, record: NodeRecord, now: Instant) -> ReportEffect {
        let previous = self
            .nodes
            .iter()
            .find(|(node, entry)| **node != record.node && entry.record.address == record.address)
            .map(|(node, _)| *node);
        if let Some(previous) = previous {
            self.nodes.remove(&previous);
        }
        let known = self.nodes.get(&record.node);
        let changed = previous.is_some()
            || known.is_none_or(|known| differs_beyond_load(&known.record, &record));
        let entry = RegistryEntry {
            record,
            reported_at: now,
        };
        self.nodes.insert(entry.record.node, entry);
        self.list_version += u64::from(changed);
        ReportEffect {
            changed,
            replaced: previous,
        }
    }

    /// Removes the nodes that have not reported for too long; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let expiry = Duration::from_millis(REPORT_EXPIRY_MS).max(self.lease);
        let count = self.nodes.len();
        self.nodes
            .retain(|_, entry| now.saturating_duration_since(entry.reported_at) < expiry);
        let changed = self.nodes.len() < count;
        self.list_version += u64::from(changed);
        changed
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
        if now.saturating_duration_since(self.leader_since) >= self.lease {
            return true;
        }
        let reported = self.reported_addresses();
        replicated.iter().all(|address| reported.contains(address))
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
        let entries = self.nodes.values();
        entries.map(|entry| entry.record.address).collect()
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
