//! Limit on the extra attempts of one request across all its hops.

/// Extra attempts that a call and everything below it may still spend.
///
/// The entry node creates the allowance for the whole request. Each call
/// carries a share of it downstream, and the answer returns what was not
/// spent; if the answer is lost, so is the share. The attempts of a request
/// therefore never exceed its first attempts plus the allowance, without any
/// shared state. See `docs/LIMITS.md`.
#[derive(Debug, Eq, PartialEq)]
pub struct RetryAllowance {
    left: u16,
}

/// Share of an allowance that is passed on with one call.
///
/// It can be returned only once, since [`RetryAllowance::restore`] consumes it.
#[derive(Debug, Eq, PartialEq)]
#[must_use]
pub struct AllowanceShare {
    amount: u16,
}

impl AllowanceShare {
    /// Returns the extra attempts to write into the call's context.
    #[must_use]
    pub const fn amount(&self) -> u16 {
        self.amount
    }
}

impl RetryAllowance {
    /// Creates an allowance, at the entry node or from the context of a received call.
    #[must_use]
    pub const fn new(extra_attempts: u16) -> Self {
        Self {
            left: extra_attempts,
        }
    }

    /// Returns the extra attempts left.
    #[must_use]
    pub const fn left(&self) -> u16 {
        self.left
    }

    /// Splits off the share for one call: half of what is left, rounded down.
    ///
    /// The larger half stays here, so that the call itself can be retried when
    /// its answer, and with it the share, is lost.
    pub const fn split(&mut self) -> AllowanceShare {
        let amount = self.left / 2;
        self.left -= amount;
        AllowanceShare { amount }
    }

    /// Spends one extra attempt; returns false when none is left.
    pub const fn charge(&mut self) -> bool {
        let allowed = self.left > 0;
        self.left = self.left.saturating_sub(1);
        allowed
    }

    /// Adds back the unspent attempts that an answer returns, at most its share.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a share given back must not be given back again"
    )]
    pub fn restore(&mut self, share: AllowanceShare, returned: u16) {
        self.left += returned.min(share.amount);
    }
}
