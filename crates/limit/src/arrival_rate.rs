//! Arrival rate of a team's calls at one node.

use std::time::Duration;
use std::time::Instant;

/// Shortest time over which a rate is measured, in milliseconds.
const SAMPLE_MIN_MS: u64 = 300;

/// Smoothed arrival rate: a rise counts by half, a fall in full.
///
/// Tokens fetched in advance are missing elsewhere once the demand moves to
/// another node, while a node that fetched too few gets more within a round
/// trip.
#[derive(Clone, Debug)]
pub(crate) struct ArrivalRateMeter {
    calls: u64,
    sample_start: Instant,
    calls_per_s: f64,
}

impl ArrivalRateMeter {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            calls: 0,
            sample_start: now,
            calls_per_s: 0.0,
        }
    }

    pub(crate) fn record(&mut self) {
        self.calls += 1;
    }

    /// Ends the current sample if it is long enough.
    pub(crate) fn sample(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.sample_start);
        if elapsed < Duration::from_millis(SAMPLE_MIN_MS) {
            return;
        }
        let measured = self.calls as f64 / elapsed.as_secs_f64();
        self.calls_per_s = measured.min(f64::midpoint(self.calls_per_s, measured));
        self.calls = 0;
        self.sample_start = now;
    }

    /// Returns the number of calls expected within `horizon`.
    pub(crate) fn expected_calls(&self, horizon: Duration) -> u64 {
        to_calls((self.calls_per_s * horizon.as_secs_f64()).round())
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
