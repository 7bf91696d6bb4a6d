//! Monotonic time that goes on while the instance is suspended.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustix::time::ClockId;

use crate::Clock;

/// [`Clock`] that counts suspended time, so that a lease ends though its holder slept.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    start: Instant,
    start_boot: Duration,
}

impl BootClock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            start_boot: since_boot(),
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
        self.start + since_boot().saturating_sub(self.start_boot)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn since_boot() -> Duration {
    let time = rustix::time::clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
