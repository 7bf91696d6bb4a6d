//! A clock that advances only on request.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::Clock;

/// Wall-clock time at which every [`VirtualClock`] starts, in seconds since the Unix epoch.
const WALL_START_S: u64 = 1_750_000_000;

/// [`Clock`] for tests and experiments that advances only on request.
#[derive(Clone, Debug)]
pub struct VirtualClock {
    start: Instant,
    elapsed_ns: Arc<AtomicU64>,
}

impl VirtualClock {
    /// Creates a clock with an elapsed time of zero.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            elapsed_ns: Arc::new(AtomicU64::new(0)),
        }
    }

    /// Advances the time by `step`.
    pub fn advance(&self, step: Duration) {
        let step_ns = u64::try_from(step.as_nanos()).unwrap_or(u64::MAX);
        self.elapsed_ns.fetch_add(step_ns, Ordering::Relaxed);
    }

    /// Sets the time since the start, for simulations that jump to the time of the next event.
    pub fn set_elapsed(&self, elapsed: Duration) {
        let elapsed_ns = u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX);
        self.elapsed_ns.store(elapsed_ns, Ordering::Relaxed);
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        Duration::from_nanos(self.elapsed_ns.load(Ordering::Relaxed))
    }
}

impl Default for VirtualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for VirtualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(WALL_START_S) + self.elapsed()
    }
}
