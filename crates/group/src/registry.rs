//! The nodes that reported to the leader.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use fleet::NodeRecord;
use model::ids::NodeId;

/// Time without a report after which a node is taken off the list, in milliseconds.
const REPORT_GONE_MS: u64 = 5_000;
/// Time of leadership after which every live node has reported, in milliseconds.
const SETTLED_MS: u64 = 3_000;

/// One node with its last report.
#[derive(Clone, Debug)]
struct RegistryEntry {
    record: NodeRecord,
    seen: Instant,
}

/// Nodes by their last report; kept in memory only, since nodes tell each new leader anew.
#[derive(Clone, Debug)]
pub struct NodeRegistry {
    since: Instant,
    number: u64,
    nodes: HashMap<NodeId, RegistryEntry>,
}

impl NodeRegistry {
    /// Creates the list of a leader in `term` that leads since `now`.
    #[must_use]
    pub fn new(term: u64, now: Instant) -> Self {
        Self {
            since: now,
            number: (term << 24) + 1,
            nodes: HashMap::new(),
        }
    }

    /// Takes a report; returns whether others must be told.
    pub fn report(&mut self, record: NodeRecord, now: Instant) -> bool {
        let earlier = self
            .nodes
            .iter()
            .find(|(node, entry)| **node != record.node && entry.record.address == record.address)
            .map(|(node, _)| *node);
        if let Some(earlier) = earlier {
            self.nodes.remove(&earlier);
        }
        let known = self.nodes.get(&record.node);
        let changed =
            earlier.is_some() || known.is_none_or(|known| is_news(&known.record, &record));
        let entry = RegistryEntry { record, seen: now };
        self.nodes.insert(entry.record.node, entry);
        self.number += u64::from(changed);
        changed
    }

    /// Takes off the nodes that have not reported for long; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let limit = Duration::from_millis(REPORT_GONE_MS);
        let count = self.nodes.len();
        self.nodes
            .retain(|_, entry| now.saturating_duration_since(entry.seen) < limit);
        let changed = self.nodes.len() < count;
        self.number += u64::from(changed);
        changed
    }

    /// Returns the number of the list, which grows with each change.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Returns whether every live node must have reported by now.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= Duration::from_millis(SETTLED_MS)
    }

    /// Returns the records.
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

/// Returns whether more than the load differs.
fn is_news(known: &NodeRecord, record: &NodeRecord) -> bool {
    known.address != record.address
        || known.service != record.service
        || known.server != record.server
        || known.slots != record.slots
        || known.takes_work != record.takes_work
}
