//! A central token bucket to compare the escrow with.

use std::time::Duration;

use crate::experiment::scenario::TeamRate;

/// Time without a refusal after which a team counts as within its rate, in seconds.
const WITHIN_RATE_S: u64 = 2;

/// A central token bucket that knows every request at once.
pub struct ReferenceBucket {
    per_s: f64,
    burst: f64,
    level: f64,
    at: Duration,
    refused_at: Option<Duration>,
}

impl ReferenceBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(rate: &TeamRate) -> Self {
        Self {
            per_s: rate.per_s,
            burst: rate.burst,
            level: rate.burst,
            at: Duration::ZERO,
            refused_at: None,
        }
    }

    /// Takes a token; returns whether there was one.
    pub fn take(&mut self, now: Duration) -> bool {
        let earned = self.per_s * now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + earned).min(self.burst);
        self.at = now;
        let taken = self.level >= 1.0 - 1e-6;
        if taken {
            self.level -= 1.0;
        } else {
            self.refused_at = Some(now);
        }
        taken
    }

    /// Returns whether the bucket refused nothing lately.
    #[must_use]
    pub fn is_within_rate(&self, now: Duration) -> bool {
        let long_ago = |at| now.saturating_sub(at) > Duration::from_secs(WITHIN_RATE_S);
        self.refused_at.is_none_or(long_ago)
    }
}
