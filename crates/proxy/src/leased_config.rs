//! The configuration that this node applies, and the lease that allows its use.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fleet::FleetConfig;
use fleet::RouteTable;
use model::ids::ConfigVersion;

/// Length of the lease, as a fraction of the time within which a revoked key must stop working.
const LEASE_FRACTION: f64 = 0.88;

/// The newest configuration known, and the lease under which its keys may be used.
///
/// The lease runs from the time at which the report that renewed it was sent. A change that
/// revokes a key is acknowledged only after a quorum has confirmed the renewal, so no revoked key
/// is accepted for longer than the bound, not even at a node that is cut off from control or was
/// suspended.
#[derive(Clone, Debug)]
pub struct LeasedConfig {
    table: Option<Arc<RouteTable>>,
    lease_length: Duration,
    lease_end: Option<Instant>,
}

impl LeasedConfig {
    /// Starts without a configuration; `revocation_bound` is the time within which a revoked key
    /// must stop working.
    #[must_use]
    pub fn new(revocation_bound: Duration) -> Self {
        Self {
            table: None,
            lease_length: revocation_bound.mul_f64(LEASE_FRACTION),
            lease_end: None,
        }
    }

    /// Applies a configuration if it is newer than the one known; returns whether it is.
    pub fn apply(&mut self, config: FleetConfig) -> bool {
        if config.version <= self.version() {
            return false;
        }
        self.table = Some(Arc::new(RouteTable::new(config)));
        true
    }

    /// Renews the lease after a reply that named `version` as the current one; `sent_at` is when
    /// the report was sent.
    ///
    /// Returns whether the lease was renewed. It is not while this node lacks that version, nor by
    /// a control group that lacks the version of this node: what a group has committed it keeps, so
    /// that is another group, or one that has not applied its own log yet.
    pub fn renew(&mut self, version: ConfigVersion, sent_at: Instant) -> bool {
        if version != self.version() {
            return false;
        }
        let end = sent_at + self.lease_length;
        self.lease_end = Some(self.lease_end.map_or(end, |known| known.max(end)));
        true
    }

    /// Returns the version of the configuration, 0 without one.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.table.as_ref().map_or(0, |table| table.version())
    }

    /// Returns the routes and teams, if there is a configuration.
    #[must_use]
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.clone()
    }

    /// Returns whether the lease is valid at `now`.
    #[must_use]
    pub fn is_leased(&self, now: Instant) -> bool {
        self.lease_end.is_some_and(|end| now < end)
    }
}
