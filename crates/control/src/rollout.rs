//! Tracks when an accepted version is in force at every live node.

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

/// Maximum number of versions whose time of application is kept.
const TRACKED_VERSIONS_MAX: usize = 1_024;

/// Tracks when versions come into force.
///
/// A version is in force at the latest one lease after it was applied here: by
/// then all leases that name an older version have expired, and later leases
/// name this version. It is in force earlier when every instance has reported
/// all its leases and every node has applied the version.
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
    /// Last version recorded as in force.
    in_force: Option<ConfigVersion>,
}

/// A live instance, with the incarnation of its process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LiveInstance {
    /// The instance.
    pub instance: InstanceId,
    /// Random number chosen when the process started.
    pub incarnation: u64,
}

/// Version up to which a peer has reported its leases, and when it did.
#[derive(Clone, Copy, Debug)]
struct PeerVersion {
    version: ConfigVersion,
    incarnation: u64,
    heard_at: Instant,
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

    /// Records that `version` is applied here; returns whether it is new.
    pub fn record_applied(&self, version: ConfigVersion) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.applied.contains_key(&version) {
            return false;
        }
        state.applied.insert(version, now);
        while state.applied.len() > TRACKED_VERSIONS_MAX {
            state.applied.pop_first();
        }
        true
    }

    /// Records that a peer has reported all leases that it granted under versions before
    /// `version`.
    pub fn record_peer_version(&self, peer: LiveInstance, version: ConfigVersion) {
        let peer_version = PeerVersion {
            version,
            incarnation: peer.incarnation,
            heard_at: self.clock.now(),
        };
        self.lock().peers.insert(peer.instance, peer_version);
    }

    /// Returns the peers that sent a report within the last `limit`.
    pub fn live_peers(&self, limit: Duration) -> Vec<LiveInstance> {
        let now = self.clock.now();
        let state = self.lock();
        let live = state
            .peers
            .iter()
            .filter(|(_, peer)| now.saturating_duration_since(peer.heard_at) < limit);
        let live = live.map(|(instance, peer)| LiveInstance {
            instance: *instance,
            incarnation: peer.incarnation,
        });
        live.collect()
    }

    /// Records that a version is in force; returns whether it was not before.
    pub fn record_in_force(&self, version: ConfigVersion) -> bool {
        let mut state = self.lock();
        let is_new = state.in_force != Some(version);
        state.in_force = Some(version);
        is_new
    }

    /// Returns whether `version` is in force; `group` lists all other instances.
    pub fn is_in_force(
        &self,
        version: ConfigVersion,
        registry: &NodeRegistry<C>,
        group: &[InstanceId],
    ) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        // A version that is no longer tracked is older than all tracked ones.
        let later = state.applied.range(version..).next();
        let since = later.map_or(now, |(_, at)| *at);
        if now >= since + self.lease {
            return true;
        }
        // Leases granted before this process started are unknown until they expire.
        let all_reported = now >= self.started + self.lease
            && group.iter().all(|peer| {
                let peer_version = state.peers.get(peer);
                peer_version.is_some_and(|peer_version| peer_version.version >= version)
            });
        drop(state);
        all_reported && registry.all_applied(version)
    }

    fn lock(&self) -> MutexGuard<'_, RolloutState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
