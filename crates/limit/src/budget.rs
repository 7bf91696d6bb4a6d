//! Budget of one entry node for extra attempts.

/// Extra attempts earned by each request, in thousandths.
const EARNED_PER_REQUEST_MILLI: u32 = 100;
/// One extra attempt, in thousandths.
const ATTEMPT_MILLI: u32 = 1_000;
/// Largest balance of extra attempts, in thousandths.
const BALANCE_MAX_MILLI: u32 = 20_000;
/// Most extra attempts reserved for one request.
const RESERVED_MAX: u32 = 3;

/// Limits extra attempts to a tenth of the requests that enter at a node, so
/// that retries cannot amplify an overload. See `docs/LIMITS.md`.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    balance_milli: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance_milli: BALANCE_MAX_MILLI,
        }
    }
}

impl RetryBudget {
    /// Credits the budget for a new request and reserves extra attempts for it.
    pub fn reserve(&mut self) -> u16 {
        self.balance_milli = (self.balance_milli + EARNED_PER_REQUEST_MILLI).min(BALANCE_MAX_MILLI);
        let reserved = (self.balance_milli / ATTEMPT_MILLI).min(RESERVED_MAX);
        self.balance_milli -= reserved * ATTEMPT_MILLI;
        u16::try_from(reserved).unwrap_or(u16::MAX)
    }

    /// Returns the reserved attempts that a request did not use.
    pub fn release(&mut self, unspent: u16) {
        let returned_milli = u32::from(unspent) * ATTEMPT_MILLI;
        self.balance_milli = (self.balance_milli + returned_milli).min(BALANCE_MAX_MILLI);
    }
}
