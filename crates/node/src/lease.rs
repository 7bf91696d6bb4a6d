//! The lease that control grants on the applied configuration.

use std::time::Duration;
use std::time::Instant;

/// Time until which this node may use the configuration that it applied.
///
/// See `docs/DESIGN.md`, "One lease".
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeaseHolder {
    end: Option<Instant>,
}

impl LeaseHolder {
    /// Extends the lease to `length` after `requested_at`, unless it lasts longer already.
    ///
    /// The time counts from when the request was sent, so that network delay can
    /// only shorten the lease.
    pub(crate) fn extend(&mut self, sent: Instant, length: Duration) {
        let end = sent + length;
        self.end = Some(self.end.map_or(end, |held| held.max(end)));
    }

    /// Returns whether the lease is valid at `now`.
    pub(crate) fn is_held(&self, now: Instant) -> bool {
        self.end.is_some_and(|end| now < end)
    }

    /// Returns the time left at `now`; zero without a lease.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        let left = self.end.map(|end| end.saturating_duration_since(now));
        left.unwrap_or_default()
    }
}
