//! A central token bucket, the reference for the distributed token allocation.

use std::time::Duration;

use crate::experiment::scenario::TeamRate;

/// Time since the last refusal after which a team counts as within its rate, in seconds.
const WITHIN_RATE_S: u64 = 2;

/// A central token bucket that sees every request without delay.
pub struct ReferenceBucket {
    per_s: f64,
    burst: f64,
    tokens: f64,
    updated_at: Duration,
    last_refused_at: Option<Duration>,
}

impl ReferenceBucket {
    /// Creates a full bucket.
    #[must_use]
    pub fn new(rate: &TeamRate) -> Self {
        Self {
            per_s: rate.per_s,
            burst: rate.burst,
            tokens: rate.burst,
            updated_at: Duration::ZERO,
            last_refused_at: None,
        }
    }

    /// Takes a token; returns whether there was one.
    pub fn take(&mut self, now: Duration) -> bool {
        let earned = self.per_s * now.saturating_sub(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + earned).min(self.burst);
        self.updated_at = now;
        let taken = self.tokens >= 1.0 - 1e-6;
        if taken {
            self.tokens -= 1.0;
        } else {
            self.last_refused_at = Some(now);
        }
        taken
    }

    /// Returns whether the bucket has refused nothing for [`WITHIN_RATE_S`] seconds.
    #[must_use]
    pub fn is_within_rate(&self, now: Duration) -> bool {
        let long_ago = |at| now.saturating_sub(at) > Duration::from_secs(WITHIN_RATE_S);
        self.last_refused_at.is_none_or(long_ago)
    }
}
