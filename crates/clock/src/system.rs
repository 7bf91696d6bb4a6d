//! The operating system's clocks.

use std::time::Instant;
use std::time::SystemTime;

use crate::Clock;

/// [`Clock`] that reads the clocks of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
