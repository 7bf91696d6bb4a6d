//! Clock abstraction that lets all time-dependent logic run on virtual time.

mod boot;
mod system;
mod virtual_clock;

use std::time::Instant;
use std::time::SystemTime;

pub use boot::BootClock;
pub use system::SystemClock;
pub use virtual_clock::VirtualClock;

/// Source of monotonic and wall-clock time.
///
/// Time-dependent logic reads time only through this trait, so that tests and
/// experiments can advance it without waiting. All clones of a clock show the same time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time, used for durations, leases and timeouts.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, used only for timestamps that leave the process.
    fn wall(&self) -> SystemTime;
}
