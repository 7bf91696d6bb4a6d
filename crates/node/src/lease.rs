//! The lease on the declared state.

use std::time::Duration;
use std::time::Instant;

/// Until when the declared state that this node applied may be used.
///
/// See `docs/DESIGN.md`, "One lease".
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeaseHolder {
    end: Option<Instant>,
}

impl LeaseHolder {
    /// Takes over a lease of `length` that was asked for at `sent`.
    ///
    /// Counting from the sending bounds the lease whatever the network does.
    pub(crate) fn extend(&mut self, sent: Instant, length: Duration) {
        let end = sent + length;
        self.end = Some(self.end.map_or(end, |held| held.max(end)));
    }

    /// Returns whether the lease is held at `now`.
    pub(crate) fn is_held(&self, now: Instant) -> bool {
        self.end.is_some_and(|end| now < end)
    }

    /// Returns the time left at `now`.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        let left = self.end.map(|end| end.saturating_duration_since(now));
        left.unwrap_or_default()
    }
}
