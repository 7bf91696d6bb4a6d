//! The stop of a node: when it was requested, and what is still open.

use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio_util::task::TaskTracker;

/// Tells the tasks of a node about its stop, and counts those that it has to wait for.
#[derive(Debug, Default)]
pub(crate) struct StopControl {
    requested_at: OnceLock<Instant>,
    has_ended: AtomicBool,
    /// Connections of callers and of the local backend server.
    pub(crate) connections: TaskTracker,
    /// Calls from other nodes.
    pub(crate) calls: TaskTracker,
}

impl StopControl {
    /// Notes that the stop was requested at `now`; a later request changes nothing.
    pub(crate) fn request(&self, now: Instant) {
        self.requested_at.get_or_init(|| now);
    }

    pub(crate) fn is_requested(&self) -> bool {
        self.requested_at.get().is_some()
    }

    /// Returns how long after the stop request `at` was, if there was one by then.
    pub(crate) fn since_request(&self, at: Instant) -> Option<Duration> {
        let requested_at = *self.requested_at.get()?;
        at.checked_duration_since(requested_at)
    }

    /// Notes that the process ends now, so that whatever is dropped from here on is cut.
    pub(crate) fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }
}
