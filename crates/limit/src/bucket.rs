//! Token bucket for one node's share of a team's rate limit.

use std::time::Instant;

use crate::borrowed_tokens::BorrowedTokens;

/// Thousandths of a request in one request.
const MILLI_PER_REQUEST: f64 = 1000.0;
/// Seconds of average demand for which tokens are fetched in advance.
const PREFETCH_S: f64 = 0.1;
/// Weight of the newest sample in the moving average of the demand.
const DEMAND_WEIGHT: f64 = 0.3;

/// A token that was taken for a request.
///
/// It can be returned only once, since [`TokenBucket::return_token`] consumes it.
#[derive(Debug, Eq, PartialEq)]
pub struct TakenToken {
    /// When a borrowed token expires; `None` for one of the node's share.
    borrowed_until: Option<Instant>,
}

impl TakenToken {
    /// Returns a token that was borrowed at `now` for a request that waits.
    #[must_use]
    pub fn borrowed(now: Instant) -> Self {
        Self {
            borrowed_until: Some(BorrowedTokens::expiry(now)),
        }
    }
}

/// Token bucket that refills at the share of a team's rate granted to this node.
///
/// Tokens borrowed from the leader's pool are kept separately and expire after a
/// short time. A token that is returned goes back to where it was taken: into the
/// bucket up to its capacity, or among the borrowed ones until it would have
/// expired there. The bucket starts empty, since a node that restarted may have
/// spent a burst just before.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    share_milli: u64,
    /// Capacity in seconds of the rate: the configured burst divided by the rate.
    depth_s: f64,
    tokens: f64,
    updated: Instant,
    borrowed: BorrowedTokens,
    average_demand_per_s: f64,
    requests: u32,
    sample_start: Instant,
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
            borrowed: BorrowedTokens::default(),
            average_demand_per_s: 0.0,
            requests: 0,
            sample_start: now,
        }
    }

    /// Sets the node's share of the rate, in thousandths of a request per second, and the depth.
    pub fn set_share(&mut self, share_milli: u64, depth_s: f64, now: Instant) {
        self.refill(now);
        self.share_milli = share_milli;
        self.depth_s = depth_s;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns the node's share of the rate, in thousandths of a request per second.
    #[must_use]
    pub const fn share_milli(&self) -> u64 {
        self.share_milli
    }

    /// Takes a token for a new request, if one is available.
    pub fn take(&mut self, now: Instant) -> Option<TakenToken> {
        self.requests += 1;
        self.retry_take(now)
    }

    /// Adds tokens borrowed from the leader's pool.
    pub fn add_borrowed_tokens(&mut self, tokens: u32, now: Instant) {
        self.borrowed.add(tokens, BorrowedTokens::expiry(now), now);
    }

    /// Takes a token for a request that [`Self::take`] has already counted, if one is available.
    pub fn retry_take(&mut self, now: Instant) -> Option<TakenToken> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            let borrowed_until = None;
            return Some(TakenToken { borrowed_until });
        }
        let until = self.borrowed.take(now)?;
        let borrowed_until = Some(until);
        Some(TakenToken { borrowed_until })
    }

    /// Returns a token that was taken but not used.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a token that was returned must not be returned again"
    )]
    pub fn return_token(&mut self, token: TakenToken, now: Instant) {
        if let Some(until) = token.borrowed_until {
            self.borrowed.add(1, until, now);
        } else {
            self.refill(now);
            self.tokens = (self.tokens + 1.0).min(self.capacity());
        }
    }

    /// Returns how many tokens to borrow beyond those needed now.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a demand is not negative, and small"
    )]
    pub fn prefetch_tokens(&self) -> u32 {
        (self.average_demand_per_s * PREFETCH_S) as u32
    }

    /// Returns the requests per second since the previous call and starts a new sample.
    pub fn sample_demand_per_s(&mut self, now: Instant) -> u32 {
        let elapsed_s = now
            .saturating_duration_since(self.sample_start)
            .as_secs_f64()
            .max(0.1);
        let rate = f64::from(self.requests) / elapsed_s;
        self.average_demand_per_s += DEMAND_WEIGHT * (rate - self.average_demand_per_s);
        self.requests = 0;
        self.sample_start = now;
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
        self.share_milli as f64 / MILLI_PER_REQUEST
    }

    fn capacity(&self) -> f64 {
        self.rate_per_s() * self.depth_s
    }
}
