//! Waiting for a condition.

use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Timeout for any step, long enough for a slow machine.
const STEP_TIMEOUT: Duration = Duration::from_mins(1);
/// Interval between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a condition holds; the timeout is so long that only a stalled machine exceeds it.
pub(crate) fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < STEP_TIMEOUT, "not in time: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}
