//! One node's part of the attempts beyond the first that a service may get.

use std::time::Duration;
use std::time::Instant;

/// Part of the allowed ratio that is used, since nodes do not see each other's requests.
const RATIO_PART: f64 = 0.7;
/// Part of the allowed slack that all nodes together use.
const SLACK_PART: f64 = 0.5;
/// Smallest saving, so that a quiet node can repeat at all.
const SAVED_MIN: f64 = 1.0;

/// Bounds attempts beyond the first towards one service.
///
/// Load pattern: a backend server that fails or sheds, so that every request
/// sent there asks for another try. Attempts are earned by requests and the
/// saving is capped, so no window sees more than ratio × requests + slack.
#[derive(Clone, Debug)]
pub struct RepeatBudget {
    ratio: f64,
    cap: f64,
    saved: f64,
    drip_per_s: f64,
    updated: Instant,
}

impl RepeatBudget {
    /// Creates the budget of one of `nodes` nodes.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Duration, nodes: usize, now: Instant) -> Self {
        let own_slack = slack * SLACK_PART / nodes.max(1) as f64;
        let cap = (own_slack / 2.0).max(SAVED_MIN);
        Self {
            ratio: ratio * RATIO_PART,
            cap,
            saved: cap,
            drip_per_s: own_slack / 2.0 / window.as_secs_f64().max(1.0),
            updated: now,
        }
    }

    /// Earns for a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.ratio).min(self.cap);
    }

    /// Spends one attempt beyond the first; returns whether there was one.
    pub fn spend(&mut self, now: Instant) -> bool {
        let elapsed_s = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        self.saved = (self.saved + elapsed_s * self.drip_per_s).min(self.cap);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
