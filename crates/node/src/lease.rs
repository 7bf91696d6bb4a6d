//! The lease that control grants on the applied configuration.

use std::time::Duration;
use std::time::Instant;

/// Time until which this node may use the configuration that it applied.
///
/// See `docs/DESIGN.md`, "One lease".
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Lease {
    expires_at: Option<Instant>,
}

impl Lease {
    /// Extends the lease to `length` after `requested_at`, unless it lasts longer already.
    ///
    /// The time counts from when the request was sent, so that network delay can
    /// only shorten the lease.
    pub(crate) fn extend(&mut self, requested_at: Instant, length: Duration) {
        let expires_at = requested_at + length;
        self.expires_at = Some(
            self.expires_at
                .map_or(expires_at, |current| current.max(expires_at)),
        );
    }

    /// Returns whether the lease is valid at `now`.
    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        self.expires_at.is_some_and(|expires_at| now < expires_at)
    }

    /// Returns the time left at `now`; zero without a lease.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        let time_left = self
            .expires_at
            .map(|expires_at| expires_at.saturating_duration_since(now));
        time_left.unwrap_or_default()
    }
}
