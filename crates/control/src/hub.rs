//! The nodes that hold leases, and the feed of their changes.
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

use crate::hub::node::NodeEntry;
use crate::hub::state::HubState;

/// Membership as this control instance knows it; clones share it.
///
/// It is soft state: nodes announce themselves again with every exchange, and
/// the instances tell each other about the nodes that exchange with them.
#[derive(Clone, Debug)]
pub struct MembershipHub<C> {
    own: InstanceId,
    feed: u64,
    clock: C,
    state: Arc<Mutex<HubState>>,
}

/// How much of this instance's nodes a peer knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HubPosition {
    /// Position in the feed of changes.
    pub cursor: u64,
    /// Number of the last lease told.
    pub renewal: u64,
}

/// A batch for a peer, and what the peer knows once it took the batch over.
#[derive(Clone, Debug, PartialEq)]
pub struct HubTelling {
    /// The batch.
    pub batch: NodeUpdateBatch,
    /// What the peer knows then.
    pub position: HubPosition,
}

/// A node whose lease ran out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedLease {
    /// The node as it last announced itself.
    pub member: MemberRecord,
    /// The control instance that it exchanged with.
    pub home: InstanceId,
}

impl<C: Clock> MembershipHub<C> {
    /// Creates an empty hub of instance `own`; `feed` must be drawn at random.
    #[must_use]
    pub fn new(own: InstanceId, feed: u64, clock: C) -> Self {
        Self {
            own,
            feed,
            clock,
            state: Arc::default(),
        }
    }

    /// Returns the number of the feed, new with every start of the instance.
    #[must_use]
    pub fn feed(&self) -> u64 {
        self.feed
    }

    /// Records a node that is about to get a lease of `lease` from this instance.
    ///
    /// Must be called before the version that the lease names is read: what
    /// is told to other instances under a version then holds every lease that
    /// names an earlier one.
    pub fn renew(&self, member: &MemberRecord, applied: ConfigVersion, lease: Duration) {
        let entry = NodeEntry {
            member: member.clone(),
            applied,
            lease_end: self.clock.now() + lease,
            home: self.own,
            cursor: 0,
            renewal: 0,
        };
        let now = self.clock.now();
        self.lock().put(entry, now);
    }

    /// Removes a node that said it leaves for good.
    pub fn leave(&self, node: NodeId) {
        let now = self.clock.now();
        self.lock().remove(node, now);
    }

    /// Removes the nodes whose lease ran out and returns them.
    #[must_use]
    pub fn expire(&self) -> Vec<EndedLease> {
        let now = self.clock.now();
        let mut state = self.lock();
        let ended = state.nodes.values().filter(|entry| entry.lease_end <= now);
        let ended = ended.map(|entry| EndedLease {
            member: entry.member.clone(),
            home: entry.home,
        });
        let ended: Vec<_> = ended.collect();
        for ended in &ended {
            state.remove(ended.member.node, now);
        }
        state.feed.forget_before(now);
        ended
    }

    /// Returns what changed for a node since its cursor.
    ///
    /// The feed number depends on the services asked for, so that a node that
    /// asks for further ones gets all their members.
    #[must_use]
    pub fn update(&self, feed: u64, cursor: u64, interests: &[ServiceName]) -> MemberUpdate {
        let own_feed = feed::feed_number(self.feed, interests);
        let state = self.lock();
        let full = feed != own_feed || !state.feed.reaches(cursor);
        let since = if full { 0 } else { cursor };
        let mut update = MemberUpdate {
            feed: own_feed,
            cursor: state.feed.cursor(),
            full,
            ..MemberUpdate::default()
        };
        for service in interests {
            for change in state.feed.since(service, since) {
                match state.nodes.get(&change.node) {
                    Some(entry) if !change.left => update.joined.push(entry.member.clone()),
                    _ if !full => update.left.push(change.node),
                    _ => {}
                }
            }
        }
        update
    }

    /// Returns the nodes of this instance for a peer that knows them up to `told`.
    #[must_use]
    pub fn batch(
        &self,
        address: SocketAddr,
        told: Option<HubPosition>,
        version: ConfigVersion,
    ) -> HubTelling {
        let now = self.clock.now();
        let state = self.lock();
        let told = told.filter(|told| state.feed.reaches(told.cursor));
        let position = HubPosition {
            cursor: state.feed.cursor(),
            renewal: state.renewal,
        };
        let mut batch = NodeUpdateBatch {
            sender: self.own,
            address,
            feed_id: self.feed,
            version,
            changed: Vec::new(),
            renewed: Vec::new(),
            removed: told.map_or_else(Vec::new, |told| state.feed.left_since(told.cursor)),
            crashes: Vec::new(),
        };
        let own = state.nodes.values().filter(|entry| entry.home == self.own);
        for entry in own {
            let lease = entry.notice(now);
            if told.is_none_or(|told| entry.cursor > told.cursor) {
                let member = entry.member.clone();
                batch.changed.push(NodeNotice { member, lease });
            } else if told.is_some_and(|told| entry.renewal > told.renewal) {
                batch.renewed.push(lease);
            }
        }
        HubTelling { batch, position }
    }

    /// Takes over what a peer says about its nodes.
    ///
    /// Returns whether all of it was understood; otherwise the peer must tell
    /// about all its nodes again.
    #[must_use]
    pub fn absorb(&self, batch: &NodeUpdateBatch) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        for notice in &batch.changed {
            let entry = NodeEntry {
                member: notice.member.clone(),
                applied: notice.lease.applied_version,
                lease_end: now + notice.lease.time_left,
                home: batch.sender,
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
            let gone = state.nodes.get(node);
            if gone.is_some_and(|entry| entry.home == batch.sender) {
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

    /// Returns the known nodes with their leases, in the order of their ids.
    #[must_use]
    pub fn leases(&self) -> Vec<NodeLease> {
        let now = self.clock.now();
        let state = self.lock();
        let mut leases: Vec<_> = state.nodes.values().map(|entry| entry.lease(now)).collect();
        leases.sort_by_key(|lease| lease.member.node);
        leases
    }

    /// Returns whether a node holds a lease, as far as known here.
    #[must_use]
    pub fn contains(&self, node: NodeId) -> bool {
        self.lock().nodes.contains_key(&node)
    }

    /// Returns the number of nodes known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().nodes.len()
    }

    /// Returns the number of nodes that exchange with this instance.
    #[must_use]
    pub fn served_here(&self) -> usize {
        let state = self.lock();
        let own = state.nodes.values().filter(|entry| entry.home == self.own);
        own.count()
    }

    /// Returns whether no node is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn lock(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
