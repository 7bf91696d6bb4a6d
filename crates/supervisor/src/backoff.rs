//! Restart delays of failed tasks, and detection of crash loops.

use std::time::Duration;
use std::time::Instant;

/// Delay before the first restart, in milliseconds; it doubles with each further restart.
const FIRST_DELAY_MS: u64 = 50;
/// Longest delay before a restart, in milliseconds.
const MAX_DELAY_MS: u64 = 2_000;
/// Failures within [`CRASH_LOOP_WINDOW_MS`] that count as a crash loop.
const CRASH_LOOP_FAILURES: usize = 8;
/// Window in which failures are counted, in milliseconds.
const CRASH_LOOP_WINDOW_MS: u64 = 30_000;

/// What to do with a task that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RestartDecision {
    /// Restart the task after this delay.
    After(Duration),
    /// The task fails too often, so the process must end.
    CrashLoop,
}

/// Recent failures of one task.
#[derive(Clone, Debug, Default)]
pub struct RestartBackoff {
    failures: Vec<Instant>,
}

impl RestartBackoff {
    /// Records a failure at `now` and decides whether to restart the task.
    pub fn record_failure(&mut self, now: Instant) -> RestartDecision {
        let window = Duration::from_millis(CRASH_LOOP_WINDOW_MS);
        self.failures
            .retain(|failure| now.duration_since(*failure) < window);
        self.failures.push(now);
        if self.failures.len() >= CRASH_LOOP_FAILURES {
            return RestartDecision::CrashLoop;
        }
        let doublings = self.failures.len() - 1;
        let delay_ms = (FIRST_DELAY_MS << doublings).min(MAX_DELAY_MS);
        RestartDecision::After(Duration::from_millis(delay_ms))
    }
}
