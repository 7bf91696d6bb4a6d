//! Numbered membership changes, by service.

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

/// Retention time of departed members, in seconds.
///
/// A node whose cursor is older gets all members again.
const DEPARTURE_RETENTION_S: u64 = 60;

/// Membership change of one node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct FeedChange {
    /// The node.
    pub(super) node: NodeId,
    /// Whether it left the service.
    pub(super) left: bool,
}

/// Last change of each node, in the order of the changes.
#[derive(Debug, Default)]
pub(super) struct MemberFeed {
    last_position: u64,
    /// Changes up to this position may have been removed.
    removed_through: u64,
    services: HashMap<ServiceName, BTreeMap<u64, FeedChange>>,
    departures: VecDeque<Departure>,
}

/// A departure, which is removed after the retention time.
#[derive(Debug)]
struct Departure {
    at: Instant,
    cursor: u64,
    node: NodeId,
    service: ServiceName,
    /// Whether the node left the registry, not only the service.
    left_registry: bool,
}

impl MemberFeed {
    /// Returns the position of the last change.
    pub(super) fn cursor(&self) -> u64 {
        self.last_position
    }

    /// Returns whether all changes after `cursor` are still kept.
    pub(super) fn covers(&self, cursor: u64) -> bool {
        (self.removed_through..=self.last_position).contains(&cursor)
    }

    /// Returns the changes of a service after `cursor`.
    pub(super) fn changes_after(
        &self,
        service: &ServiceName,
        cursor: u64,
    ) -> impl Iterator<Item = FeedChange> {
        let changes = self.services.get(service);
        let later = changes.map(|changes| changes.range(cursor + 1..));
        later.into_iter().flatten().map(|(_, change)| *change)
    }

    /// Returns the nodes that left the registry after `cursor`.
    pub(super) fn departed_after(&self, cursor: u64) -> Vec<NodeId> {
        let later = self.departures.iter();
        let later = later.filter(|departure| departure.left_registry && departure.cursor > cursor);
        later.map(|departure| departure.node).collect()
    }

    /// Records a node that joined or changed; returns the position.
    pub(super) fn record_join(&mut self, service: &ServiceName, node: NodeId) -> u64 {
        self.append(service, FeedChange { node, left: false })
    }

    /// Removes the earlier change of a node that changes again, possibly to another service.
    pub(super) fn replace_change(
        &mut self,
        from: &ServiceName,
        cursor: u64,
        to: &ServiceName,
        node: NodeId,
        now: Instant,
    ) {
        self.remove_change(from, cursor);
        if from != to {
            self.append_departure(from, node, now, false);
        }
    }

    /// Records a node that left the registry.
    pub(super) fn record_departure(
        &mut self,
        service: &ServiceName,
        cursor: u64,
        node: NodeId,
        now: Instant,
    ) {
        self.remove_change(service, cursor);
        self.append_departure(service, node, now, true);
    }

    /// Removes departures older than the retention time.
    pub(super) fn expire_departures(&mut self, now: Instant) {
        let retention = Duration::from_secs(DEPARTURE_RETENTION_S);
        while let Some(oldest) = self.departures.front() {
            if now.saturating_duration_since(oldest.at) < retention {
                return;
            }
            self.removed_through = oldest.cursor;
            let (service, cursor) = (oldest.service.clone(), oldest.cursor);
            self.departures.pop_front();
            self.remove_change(&service, cursor);
        }
    }

    fn append_departure(
        &mut self,
        service: &ServiceName,
        node: NodeId,
        now: Instant,
        left_registry: bool,
    ) {
        let cursor = self.append(service, FeedChange { node, left: true });
        self.departures.push_back(Departure {
            at: now,
            cursor,
            node,
            service: service.clone(),
            left_registry,
        });
    }

    fn append(&mut self, service: &ServiceName, change: FeedChange) -> u64 {
        self.last_position += 1;
        let changes = self.services.entry(service.clone()).or_default();
        changes.insert(self.last_position, change);
        self.last_position
    }

    fn remove_change(&mut self, service: &ServiceName, cursor: u64) {
        if let Some(changes) = self.services.get_mut(service) {
            changes.remove(&cursor);
            if changes.is_empty() {
                self.services.remove(service);
            }
        }
    }
}

/// Returns the feed id for nodes that request these services; never 0.
pub(super) fn feed_id_for(feed: u64, interests: &[ServiceName]) -> u64 {
    let mut hasher = DefaultHasher::new();
    feed.hash(&mut hasher);
    interests.hash(&mut hasher);
    hasher.finish().max(1)
}
