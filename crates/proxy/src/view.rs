//! The configuration as far as this node may use it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fleet::FleetConfig;
use fleet::RouteTable;
use model::ids::ConfigVersion;

/// Part of the bound on withdrawn keys for which a lease lasts.
const LEASE_PART: f64 = 0.88;

/// A configuration that only grows, and the lease under which keys may be used.
///
/// The lease counts from when the report that renewed it was sent. Whatever
/// withdrew a key was acknowledged after a quorum confirmed the renewal, so no
/// key outlives the bound, also at a node that is cut off or was suspended.
#[derive(Clone, Debug)]
pub struct ConfigView {
    table: Option<Arc<RouteTable>>,
    lease: Duration,
    lease_end: Option<Instant>,
}

impl ConfigView {
    /// Creates a view without a configuration; `revoke` bounds the use of withdrawn keys.
    #[must_use]
    pub fn new(revoke: Duration) -> Self {
        Self {
            table: None,
            lease: revoke.mul_f64(LEASE_PART),
            lease_end: None,
        }
    }

    /// Takes over a configuration; returns whether it is newer than the one known.
    pub fn apply(&mut self, config: FleetConfig) -> bool {
        if config.version <= self.version() {
            return false;
        }
        self.table = Some(Arc::new(RouteTable::new(config)));
        true
    }

    /// Renews the lease by an answer that named `version` as the one in force.
    ///
    /// Returns whether the lease was renewed: it is not while a newer version is missing here.
    pub fn renew(&mut self, version: ConfigVersion, sent_at: Instant) -> bool {
        if version > self.version() {
            return false;
        }
        let end = sent_at + self.lease;
        self.lease_end = Some(self.lease_end.map_or(end, |known| known.max(end)));
        true
    }

    /// Returns the version known, 0 for none.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.table.as_ref().map_or(0, |table| table.version())
    }

    /// Returns the routes and teams known.
    #[must_use]
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.clone()
    }

    /// Returns whether the lease holds.
    #[must_use]
    pub fn is_leased(&self, now: Instant) -> bool {
        self.lease_end.is_some_and(|end| now < end)
    }
}
