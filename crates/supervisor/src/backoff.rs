//! When a failed task may start again.

use std::time::Duration;
use std::time::Instant;

/// Delay before the first restart, in milliseconds; it doubles with each further one.
const FIRST_DELAY_MS: u64 = 50;
/// Longest delay before a restart, in milliseconds.
const LONGEST_DELAY_MS: u64 = 2_000;
/// Failures within [`LOOP_WINDOW_MS`] that count as a crash loop.
const LOOP_FAILURES: usize = 8;
/// Window in which failures are counted, in milliseconds.
const LOOP_WINDOW_MS: u64 = 30_000;

/// What to do with a failed task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RestartDecision {
    /// Start it again after this delay.
    After(Duration),
    /// It fails again and again: the process must end.
    CrashLoop,
}

/// Failures of one task.
#[derive(Clone, Debug, Default)]
pub struct RestartBackoff {
    failures: Vec<Instant>,
}

impl RestartBackoff {
    /// Records a failure at `now` and says what to do.
    pub fn record_failure(&mut self, now: Instant) -> RestartDecision {
        let window = Duration::from_millis(LOOP_WINDOW_MS);
        self.failures
            .retain(|failure| now.duration_since(*failure) < window);
        self.failures.push(now);
        if self.failures.len() >= LOOP_FAILURES {
            return RestartDecision::CrashLoop;
        }
        let doublings = self.failures.len() - 1;
        let delay_ms = (FIRST_DELAY_MS << doublings).min(LONGEST_DELAY_MS);
        RestartDecision::After(Duration::from_millis(delay_ms))
    }
}
