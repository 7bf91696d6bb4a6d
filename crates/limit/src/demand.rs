//! Measures how fast a team's calls enter at one node.

use std::time::Duration;
use std::time::Instant;

/// Shortest time over which a rate is measured.
const SAMPLE_MIN_MS: u64 = 50;

/// Time without calls after which a node keeps no token ready for a team.
const RECENT_MS: u64 = 10_000;

/// Rate of entering calls: follows a rise at once and a fall by half a sample.
#[derive(Clone, Debug)]
pub(crate) struct DemandMeter {
    calls: u64,
    sample_start: Instant,
    last_call: Option<Instant>,
    calls_per_s: f64,
}

impl DemandMeter {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            calls: 0,
            sample_start: now,
            last_call: None,
            calls_per_s: 0.0,
        }
    }

    pub(crate) fn record(&mut self, now: Instant) {
        self.calls += 1;
        self.last_call = Some(now);
    }

    /// Closes the sample when it is long enough.
    pub(crate) fn sample(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.sample_start);
        if elapsed < Duration::from_millis(SAMPLE_MIN_MS) {
            return;
        }
        let measured = self.calls as f64 / elapsed.as_secs_f64();
        self.calls_per_s = measured.max(f64::midpoint(self.calls_per_s, measured));
        self.calls = 0;
        self.sample_start = now;
    }

    /// Calls expected within `horizon`; at least one for a team seen recently.
    pub(crate) fn expected_calls(&self, horizon: Duration, now: Instant) -> u64 {
        let recent = Duration::from_millis(RECENT_MS);
        let seen = |last| now.saturating_duration_since(last) < recent;
        let floor = u64::from(self.last_call.is_some_and(seen));
        let expected = (self.calls_per_s * horizon.as_secs_f64()).ceil();
        to_calls(expected).max(floor)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a count of calls is never negative and far below 2^52"
)]
fn to_calls(expected: f64) -> u64 {
    expected as u64
}
