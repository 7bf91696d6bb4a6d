//! Time as an interface, so that every decision can run on virtual time.

mod boot;
mod system;
mod virtual_clock;

use std::time::Instant;
use std::time::SystemTime;

pub use boot::BootClock;
pub use system::SystemClock;
pub use virtual_clock::VirtualClock;

/// Source of monotonic and wall time.
///
/// Decisions read time only through this trait, so tests and experiments can
/// drive them without waiting. Clones share the same time line.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns monotonic time, used for durations, leases and timeouts.
    fn now(&self) -> Instant;

    /// Returns wall time, used only for time stamps that leave the process.
    fn wall(&self) -> SystemTime;
}
