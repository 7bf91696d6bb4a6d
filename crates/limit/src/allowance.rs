//! Extra attempts that one request may spend over all its hops.

/// Extra attempts that a call and everything below it may still spend.
///
/// The entry node mints the allowance for the whole request. A call takes a
/// share down with it and its answer brings the rest back; the share of a lost
/// answer is lost. So the attempts of a request never exceed its first
/// attempts plus the allowance, without any shared state. See
/// `docs/LIMITS.md`, "Retry allowance".
#[derive(Debug, Eq, PartialEq)]
pub struct RetryAllowance {
    left: u16,
}

/// Share of an allowance that travels with one call.
///
/// It can be given back once only, since [`RetryAllowance::restore`] consumes it.
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
    /// Creates an allowance: minted at the entry node, or as it came with a call.
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

    /// Takes out the share for one call, half of what is left rounded down.
    ///
    /// The larger half stays, so that the call itself can be repeated when its
    /// answer, and with it the share, is lost.
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

    /// Takes back what an answer brings of its share; more than the share is cut off.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a share given back must not be given back again"
    )]
    pub fn restore(&mut self, share: AllowanceShare, returned: u16) {
        self.left += returned.min(share.amount);
    }
}
