//! Registry of the nodes that hold leases, with a feed of membership changes.
//!
//! See `docs/EXCHANGE.md`, "Membership".

mod feed;
mod node;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use clock::Clock;
use model::admin::NodeLease;
use model::exchange::MemberRecord;
use model::exchange::MemberUpdate;
use model::ids::ConfigVersion;
use model::ids::InstanceId;
use model::ids::NodeId;
use model::ids::ServiceName;
use wire::service::NodeNotice;
use wire::service::NodeUpdateBatch;

use crate::registry::node::NodeEntry;
use crate::registry::state::RegistryState;

/// Nodes known to this control instance; clones share the state.
///
/// This is soft state: nodes announce themselves with every exchange, and each
/// instance reports the nodes that it serves to its peers.
#[derive(Clone, Debug)]
pub struct NodeRegistry<C> {
    instance: InstanceId,
    feed: u64,
    clock: C,
    state: Arc<Mutex<RegistryState>>,
}

/// Position in the registry up to which a peer knows this instance's nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistryPosition {
    /// Position in the feed of changes.
    pub cursor: u64,
    /// Sequence number of the last reported lease renewal.
    pub renewal: u64,
}

/// A batch for a peer, and the position that the peer reaches with it.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerBatch {
    /// The batch.
    pub batch: NodeUpdateBatch,
    /// Position of the peer after it applied the batch.
    pub position: RegistryPosition,
}

/// A node whose lease expired.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExpiredLease {
    /// Last announcement of the node.
    pub member: MemberRecord,
    /// The control instance that served the node.
    pub serving_instance: InstanceId,
}

impl<C: Clock> NodeRegistry<C> {
    /// Creates an empty registry for `instance`; `feed` must be chosen at random.
    #[must_use]
    pub fn new(instance: InstanceId, feed: u64, clock: C) -> Self {
        Self {
            instance,
            feed,
            clock,
            state: Arc::default(),
        }
    }

    /// Returns the id of the feed, which is new with every start of the instance.
    #[must_use]
    pub fn feed_id(&self) -> u64 {
        self.feed
    }

    /// Records a node that is about to get a lease of length `lease` from this instance.
    ///
    /// Must be called before the version for the lease is read. A batch sent to
    /// peers under some version then contains every lease that names an earlier
    /// version.
    pub fn record_renewal(&self, member: &MemberRecord, applied: ConfigVersion, lease: Duration) {
        let entry = NodeEntry {
            member: member.clone(),
            applied,
            lease_end: self.clock.now() + lease,
            serving_instance: self.instance,
            cursor: 0,
            renewal: 0,
        };
        let now = self.clock.now();
        self.lock().put(entry, now);
    }

    /// Removes a node that announced its shutdown.
    pub fn remove_node(&self, node: NodeId) {
        let now = self.clock.now();
        self.lock().remove(node, now);
    }

    /// Removes the nodes whose lease has expired and returns them.
    #[must_use]
    pub fn expire_leases(&self) -> Vec<ExpiredLease> {
        let now = self.clock.now();
        let mut state = self.lock();
        let ended = state.nodes.values().filter(|entry| entry.lease_end <= now);
        let ended = ended.map(|entry| ExpiredLease {
            member: entry.member.clone(),
            serving_instance: entry.serving_instance,
        });
        let ended: Vec<_> = ended.collect();
        for ended in &ended {
            state.remove(ended.member.node, now);
        }
        state.feed.expire_departures(now);
        ended
    }

    /// Returns the membership changes since a node's cursor.
    ///
    /// The feed id depends on the requested services, so that a node that adds a
    /// service gets all its members.
    #[must_use]
    pub fn changes_since(&self, feed: u64, cursor: u64, interests: &[ServiceName]) -> MemberUpdate {
        let own_feed = feed::feed_id_for(self.feed, interests);
        let state = self.lock();
        let full = feed != own_feed || !state.feed.covers(cursor);
        let after = if full { 0 } else { cursor };
        let mut update = MemberUpdate {
            feed: own_feed,
            cursor: state.feed.cursor(),
            full,
            ..MemberUpdate::default()
        };
        for service in interests {
            for change in state.feed.changes_after(service, after) {
                match state.nodes.get(&change.node) {
                    Some(entry) if !change.left => update.joined.push(entry.member.clone()),
                    _ if !full => update.left.push(change.node),
                    _ => {}
                }
            }
        }
        update
    }

    /// Returns the changes of this instance's nodes after `acknowledged`.
    #[must_use]
    pub fn batch_for_peer(
        &self,
        address: SocketAddr,
        acknowledged: Option<RegistryPosition>,
        version: ConfigVersion,
    ) -> PeerBatch {
        let now = self.clock.now();
        let state = self.lock();
        let acknowledged =
            acknowledged.filter(|acknowledged| state.feed.covers(acknowledged.cursor));
        let position = RegistryPosition {
            cursor: state.feed.cursor(),
            renewal: state.renewal,
        };
        let mut batch = NodeUpdateBatch {
            sender: self.instance,
            address,
            feed_id: self.feed,
            version,
            changed: Vec::new(),
            renewed: Vec::new(),
            removed: acknowledged.map_or_else(Vec::new, |acknowledged| {
                state.feed.departed_after(acknowledged.cursor)
            }),
            crashes: Vec::new(),
        };
        let local = state
            .nodes
            .values()
            .filter(|entry| entry.serving_instance == self.instance);
        for entry in local {
            let lease = entry.lease_notice(now);
            if acknowledged.is_none_or(|acknowledged| entry.cursor > acknowledged.cursor) {
                let member = entry.member.clone();
                batch.changed.push(NodeNotice { member, lease });
            } else if acknowledged.is_some_and(|acknowledged| entry.renewal > acknowledged.renewal)
            {
                batch.renewed.push(lease);
            }
        }
        PeerBatch { batch, position }
    }

    /// Applies a peer's batch about the nodes that it serves.
    ///
    /// Returns whether all renewed nodes were known; otherwise the peer must
    /// send all its nodes again.
    #[must_use]
    pub fn apply_batch(&self, batch: &NodeUpdateBatch) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        for notice in &batch.changed {
            let entry = NodeEntry {
                member: notice.member.clone(),
                applied: notice.lease.applied_version,
                lease_end: now + notice.lease.time_left,
                serving_instance: batch.sender,
                cursor: 0,
                renewal: 0,
            };
            state.put(entry, now);
        }
        let mut understood = true;
        for lease in &batch.renewed {
            let entry = state.nodes.get_mut(&lease.node);
            understood &= entry.is_some();
            if let Some(entry) = entry {
                entry.renew(batch.sender, lease.applied_version, now + lease.time_left);
            }
        }
        for node in &batch.removed {
            let known = state.nodes.get(node);
            if known.is_some_and(|entry| entry.serving_instance == batch.sender) {
                state.remove(*node, now);
            }
        }
        understood
    }

    /// Returns whether every known node has applied `version`.
    #[must_use]
    pub fn all_applied(&self, version: ConfigVersion) -> bool {
        let state = self.lock();
        state.nodes.values().all(|entry| entry.applied >= version)
    }

    /// Returns the known nodes with their leases, sorted by node id.
    #[must_use]
    pub fn leases(&self) -> Vec<NodeLease> {
        let now = self.clock.now();
        let state = self.lock();
        let mut leases: Vec<_> = state.nodes.values().map(|entry| entry.lease(now)).collect();
        leases.sort_by_key(|lease| lease.member.node);
        leases
    }

    /// Returns whether a node is known to hold a lease.
    #[must_use]
    pub fn contains(&self, node: NodeId) -> bool {
        self.lock().nodes.contains_key(&node)
    }

    /// Returns the number of known nodes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().nodes.len()
    }

    /// Returns the number of nodes that this instance serves.
    #[must_use]
    pub fn count_local(&self) -> usize {
        let state = self.lock();
        let local = state
            .nodes
            .values()
            .filter(|entry| entry.serving_instance == self.instance);
        local.count()
    }

    /// Returns whether no node is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
