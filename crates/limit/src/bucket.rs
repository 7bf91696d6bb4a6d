//! One node's part of a team's limit.

use std::time::Duration;
use std::time::Instant;

/// Thousandths in one request.
const MILLI: f64 = 1000.0;
/// Time for which a token that was drawn from the leader may be used, in milliseconds.
const DRAWN_MS: u64 = 300;
/// Demand for which tokens are drawn ahead, in seconds of it.
const AHEAD_S: f64 = 0.1;
/// Weight of the newest demand in its average.
const ASKED_WEIGHT: f64 = 0.3;

/// Token bucket that is filled at the part of a team's rate that the node was given.
///
/// Tokens that the leader lent are kept beside it, for a short time.
/// It starts empty: a node that started again may have spent a burst just before.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    share_milli: u64,
    /// Seconds of the rate that may be saved up: the declared burst over the rate.
    depth_s: f64,
    tokens: f64,
    updated: Instant,
    drawn: u32,
    drawn_until: Instant,
    asked_per_s: f64,
    asked: u32,
    asked_since: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            share_milli: 0,
            depth_s: 1.0,
            tokens: 0.0,
            updated: now,
            drawn: 0,
            drawn_until: now,
            asked_per_s: 0.0,
            asked: 0,
            asked_since: now,
        }
    }

    /// Sets the part of the rate, in thousandths of a request per second, and the depth.
    pub fn set_share(&mut self, share_milli: u64, depth_s: f64, now: Instant) {
        self.refill(now);
        self.share_milli = share_milli;
        self.depth_s = depth_s;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns the part of the rate, in thousandths of a request per second.
    #[must_use]
    pub const fn share_milli(&self) -> u64 {
        self.share_milli
    }

    /// Takes a token for a request; returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.asked += 1;
        self.take_one(now)
    }

    /// Adds tokens that the leader lent.
    pub fn lend(&mut self, tokens: u32, now: Instant) {
        if now >= self.drawn_until {
            self.drawn = 0;
        }
        self.drawn += tokens;
        self.drawn_until = now + Duration::from_millis(DRAWN_MS);
    }

    /// Takes a token for a request that waited for one; returns whether there was one.
    pub fn take_one(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return true;
        }
        if self.drawn > 0 && now < self.drawn_until {
            self.drawn -= 1;
            return true;
        }
        false
    }

    /// Takes back a token that was not used after all.
    pub fn give_back(&mut self, now: Instant) {
        self.lend(1, now);
    }

    /// Returns how many tokens beyond those that are needed now should be drawn.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a demand is not negative, and small"
    )]
    pub fn ahead(&self) -> u32 {
        (self.asked_per_s * AHEAD_S) as u32
    }

    /// Returns the requests asked per second since the last call of this.
    pub fn asked_per_s(&mut self, now: Instant) -> u32 {
        let elapsed_s = now
            .saturating_duration_since(self.asked_since)
            .as_secs_f64()
            .max(0.1);
        let rate = f64::from(self.asked) / elapsed_s;
        self.asked_per_s += ASKED_WEIGHT * (rate - self.asked_per_s);
        self.asked = 0;
        self.asked_since = now;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast of a float saturates"
        )]
        let rate = rate.ceil() as u32;
        rate
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s()).min(self.capacity());
    }

    fn rate_per_s(&self) -> f64 {
        self.share_milli as f64 / MILLI
    }

    fn capacity(&self) -> f64 {
        self.rate_per_s() * self.depth_s
    }
}
