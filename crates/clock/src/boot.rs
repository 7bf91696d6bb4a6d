//! Monotonic clock that keeps running while the machine is suspended.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustix::time::ClockId;

use crate::Clock;

/// [`Clock`] that includes suspended time, so that a lease also expires while its holder is
/// suspended.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Instant,
    boot_time_at_start: Duration,
}

impl BootClock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            boot_time_at_start: time_since_boot(),
        }
    }
}

impl Default for BootClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.start + time_since_boot().saturating_sub(self.boot_time_at_start)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn time_since_boot() -> Duration {
    let time = rustix::time::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
