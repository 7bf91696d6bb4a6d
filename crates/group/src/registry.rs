//! The nodes that reported to the leader.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use fleet::NodeRecord;
use fleet::NodeRoster;
use model::ids::NodeId;

/// Time without a report after which a node is taken off the list, in milliseconds,
/// unless it may hold parts of limits for longer.
const REPORT_GONE_MS: u64 = 5_000;

/// What a report changed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportEffect {
    /// Whether other nodes must be told.
    pub changed: bool,
    /// An earlier start of the node, which has ended.
    pub replaced: Option<NodeId>,
}

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
    /// Time for which a node that is cut off goes on with what an earlier leader gave it.
    lease: Duration,
    number: u64,
    nodes: HashMap<NodeId, RegistryEntry>,
}

impl NodeRegistry {
    /// Creates the list of a leader in `term` that leads since `now`.
    ///
    /// What an earlier leader gave to a node counts for `lease` without a renewal.
    #[must_use]
    pub fn new(term: u64, lease: Duration, now: Instant) -> Self {
        Self {
            since: now,
            lease,
            number: (term << 24) + 1,
            nodes: HashMap::new(),
        }
    }

    /// Takes a report.
    pub fn report(&mut self, record: NodeRecord, now: Instant) -> ReportEffect {
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
        ReportEffect {
            changed,
            replaced: earlier,
        }
    }

    /// Takes off the nodes that have not reported for long; returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let limit = Duration::from_millis(REPORT_GONE_MS).max(self.lease);
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

    /// Returns whether every node of `roster` has reported, or lost what it held of limits.
    #[must_use]
    pub fn is_settled(&self, roster: &NodeRoster, now: Instant) -> bool {
        if now.saturating_duration_since(self.since) >= self.lease {
            return true;
        }
        let reported = self.addresses();
        roster.iter().all(|address| reported.contains(address))
    }

    /// Returns whether a node stands on `roster`, so that the next leader will wait for it.
    #[must_use]
    pub fn is_listed(&self, node: NodeId, roster: &NodeRoster) -> bool {
        let entry = self.nodes.get(&node);
        entry.is_some_and(|entry| roster.contains(&entry.record.address))
    }

    /// Returns the roster that should replace `roster`, none while it is right.
    ///
    /// A node stays on it until it is certain that it holds no part of a limit.
    #[must_use]
    pub fn next_roster(&self, roster: &NodeRoster, now: Instant) -> Option<NodeRoster> {
        let mut next = self.addresses();
        if !self.is_settled(roster, now) {
            next.extend(roster);
        }
        (next != *roster).then_some(next)
    }

    fn addresses(&self) -> NodeRoster {
        let entries = self.nodes.values();
        entries.map(|entry| entry.record.address).collect()
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
