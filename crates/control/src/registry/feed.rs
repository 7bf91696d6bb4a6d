//! Numbered changes of membership, by service.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

use model::ids::NodeId;
use model::ids::ServiceName;

/// Time for which members that left are remembered, in seconds.
///
/// A node that was away for longer gets all members again.
const LEFT_RETENTION_S: u64 = 60;

/// Change of one node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct FeedChange {
    /// The node.
    pub(super) node: NodeId,
    /// Whether it left the service.
    pub(super) left: bool,
}

/// The last change of each node, in the order of changes.
#[derive(Debug, Default)]
pub(super) struct MemberFeed {
    last: u64,
    /// Changes up to here may be forgotten.
    horizon: u64,
    services: HashMap<ServiceName, BTreeMap<u64, FeedChange>>,
    departures: VecDeque<Departure>,
}

/// A change that is forgotten after some time.
#[derive(Debug)]
struct Departure {
    at: Instant,
    cursor: u64,
    node: NodeId,
    service: ServiceName,
    /// Whether the node left altogether, not just its service.
    gone: bool,
}

impl MemberFeed {
    /// Returns the number of the last change.
    pub(super) fn cursor(&self) -> u64 {
        self.last
    }

    /// Returns whether all changes after `cursor` are still known.
    pub(super) fn reaches(&self, cursor: u64) -> bool {
        (self.horizon..=self.last).contains(&cursor)
    }

    /// Returns the changes of a service after `cursor`.
    pub(super) fn since(
        &self,
        service: &ServiceName,
        cursor: u64,
    ) -> impl Iterator<Item = FeedChange> {
        let changes = self.services.get(service);
        let later = changes.map(|changes| changes.range(cursor + 1..));
        later.into_iter().flatten().map(|(_, change)| *change)
    }

    /// Returns the nodes that left after `cursor`.
    pub(super) fn left_since(&self, cursor: u64) -> Vec<NodeId> {
        let later = self.departures.iter();
        let later = later.filter(|departure| departure.gone && departure.cursor > cursor);
        later.map(|departure| departure.node).collect()
    }

    /// Numbers a node that joined or changed.
    pub(super) fn joined(&mut self, service: &ServiceName, node: NodeId) -> u64 {
        self.append(service, FeedChange { node, left: false })
    }

    /// Takes back the earlier change of a node that changes again, maybe to another service.
    pub(super) fn moved(
        &mut self,
        from: &ServiceName,
        cursor: u64,
        to: &ServiceName,
        node: NodeId,
        now: Instant,
    ) {
        self.take_back(from, cursor);
        if from != to {
            self.depart(from, node, now, false);
        }
    }

    /// Numbers the end of a node.
    pub(super) fn left(&mut self, service: &ServiceName, cursor: u64, node: NodeId, now: Instant) {
        self.take_back(service, cursor);
        self.depart(service, node, now, true);
    }

    /// Forgets departures that are older than the retention period.
    pub(super) fn forget_before(&mut self, now: Instant) {
        let retention = Duration::from_secs(LEFT_RETENTION_S);
        while let Some(oldest) = self.departures.front() {
            if now.saturating_duration_since(oldest.at) < retention {
                return;
            }
            self.horizon = oldest.cursor;
            let (service, cursor) = (oldest.service.clone(), oldest.cursor);
            self.departures.pop_front();
            self.take_back(&service, cursor);
        }
    }

    fn depart(&mut self, service: &ServiceName, node: NodeId, now: Instant, gone: bool) {
        let cursor = self.append(service, FeedChange { node, left: true });
        self.departures.push_back(Departure {
            at: now,
            cursor,
            node,
            service: service.clone(),
            gone,
        });
    }

    fn append(&mut self, service: &ServiceName, change: FeedChange) -> u64 {
        self.last += 1;
        let changes = self.services.entry(service.clone()).or_default();
        changes.insert(self.last, change);
        self.last
    }

    fn take_back(&mut self, service: &ServiceName, cursor: u64) {
        if let Some(changes) = self.services.get_mut(service) {
            changes.remove(&cursor);
            if changes.is_empty() {
                self.services.remove(service);
            }
        }
    }
}

/// Returns the number of the feed for nodes that ask for these services; never 0.
pub(super) fn feed_number(feed: u64, interests: &[ServiceName]) -> u64 {
    let mut hasher = DefaultHasher::new();
    feed.hash(&mut hasher);
    interests.hash(&mut hasher);
    hasher.finish().max(1)
}
