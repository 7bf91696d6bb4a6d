//! Share of the recent calls that a backend server failed or refused.

use std::time::Duration;
use std::time::Instant;

use model::context::FailureShare;

/// Time after which an outcome has lost half of its weight, in milliseconds.
const HALF_LIFE_MS: f64 = 500.0;
/// Successes that are assumed beside the recorded outcomes, so that a single failure of a server
/// with few calls does not count as a failing server.
const ASSUMED_SUCCESSES: f64 = 4.0;

/// Measures which share of its recent calls a backend server failed or refused.
///
/// Load pattern: a server whose health checks are good fails a part of its calls, faster than it
/// would serve them. Its node is the only one that sees all of its calls, and so knows after a
/// few of them what each sender would learn much later.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureMeter {
    /// Decayed numbers of failed calls and of all calls.
    failed: f64,
    total: f64,
    updated: Option<Instant>,
}

impl FailureMeter {
    /// Records the outcome of a call that reached the backend server.
    pub fn record(&mut self, is_failure: bool, now: Instant) {
        let decay = self.decay(now);
        self.failed = self.failed * decay + f64::from(u8::from(is_failure));
        self.total = self.total * decay + 1.0;
        self.updated = Some(now);
    }

    /// Returns the share of failed calls; it fades while the server gets none.
    #[must_use]
    pub fn share(&self, now: Instant) -> FailureShare {
        let decay = self.decay(now);
        let share = self.failed * decay / (self.total * decay + ASSUMED_SUCCESSES);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the share is between 0 and 1"
        )]
        let milli = (share * f64::from(FailureShare::WHOLE_MILLI)) as u16;
        FailureShare::from_milli(milli)
    }

    /// Returns the weight that earlier outcomes have left.
    fn decay(&self, now: Instant) -> f64 {
        let half_life = Duration::from_secs_f64(HALF_LIFE_MS / 1000.0);
        let age = self
            .updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        0.5_f64.powf(age.div_duration_f64(half_life))
    }
}
