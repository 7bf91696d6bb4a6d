//! Tells when an accepted version is in force at every live node.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::ids::ConfigVersion;
use model::ids::InstanceId;

use crate::registry::NodeRegistry;

/// Versions whose time of application is remembered.
const REMEMBERED_VERSIONS: usize = 1_024;

/// Watches versions until they are in force.
///
/// A version is in force at the latest one lease after it was applied here:
/// leases granted before name an older version and have run out, later ones
/// name it. It is in force earlier when every instance told of all its leases
/// and every node has applied it.
#[derive(Debug)]
pub struct RolloutTracker<C> {
    clock: C,
    lease: Duration,
    started: Instant,
    state: Mutex<RolloutState>,
}

#[derive(Debug, Default)]
struct RolloutState {
    applied: BTreeMap<ConfigVersion, Instant>,
    peers: BTreeMap<InstanceId, PeerVersion>,
    /// Last version noted to be in force.
    in_force: Option<ConfigVersion>,
}

/// One start of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LiveInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Drawn at random when it started.
    pub incarnation: u64,
}

/// Version up to which an instance told of its leases, and when it did.
#[derive(Clone, Copy, Debug)]
struct PeerVersion {
    version: ConfigVersion,
    incarnation: u64,
    heard: Instant,
}

impl<C: Clock> RolloutTracker<C> {
    /// Creates a tracker; `lease` must include the allowance for clock drift.
    pub fn new(clock: C, lease: Duration) -> Self {
        Self {
            started: clock.now(),
            clock,
            lease,
            state: Mutex::default(),
        }
    }

    /// Notes that `version` is applied here; returns whether it is new.
    pub fn record_applied(&self, version: ConfigVersion) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.applied.contains_key(&version) {
            return false;
        }
        state.applied.insert(version, now);
        while state.applied.len() > REMEMBERED_VERSIONS {
            state.applied.pop_first();
        }
        true
    }

    /// Notes that a peer told of all leases that it granted under versions before `version`.
    pub fn record_peer_version(&self, peer: LiveInstance, version: ConfigVersion) {
        let news = PeerVersion {
            version,
            incarnation: peer.incarnation,
            heard: self.clock.now(),
        };
        self.lock().peers.insert(peer.instance, news);
    }

    /// Returns the peers that told of their nodes within `limit`.
    pub fn live_peers(&self, limit: Duration) -> Vec<LiveInstance> {
        let now = self.clock.now();
        let state = self.lock();
        let live = state
            .peers
            .iter()
            .filter(|(_, peer)| now.saturating_duration_since(peer.heard) < limit);
        let live = live.map(|(instance, peer)| LiveInstance {
            instance: *instance,
            incarnation: peer.incarnation,
        });
        live.collect()
    }

    /// Notes that a version is in force; returns whether that is new.
    pub fn record_in_force(&self, version: ConfigVersion) -> bool {
        let mut state = self.lock();
        let is_new = state.in_force != Some(version);
        state.in_force = Some(version);
        is_new
    }

    /// Returns whether `version` is in force, given all other instances of the group.
    pub fn is_in_force(
        &self,
        version: ConfigVersion,
        registry: &NodeRegistry<C>,
        group: &[InstanceId],
    ) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        // A version that is no longer remembered is older than all that are.
        let later = state.applied.range(version..).next();
        let since = later.map_or(now, |(_, at)| *at);
        if now >= since + self.lease {
            return true;
        }
        // Peers may have granted leases before this start of the instance.
        let told = now >= self.started + self.lease
            && group.iter().all(|peer| {
                let news = state.peers.get(peer);
                news.is_some_and(|news| news.version >= version)
            });
        drop(state);
        told && registry.all_applied(version)
    }

    fn lock(&self) -> MutexGuard<'_, RolloutState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
