//! How many extra attempts requests may be given.

/// Extra attempts earned by each request, in thousandths.
const EARNED_MILLI: u32 = 100;
/// Thousandths of an extra attempt.
const ATTEMPT_MILLI: u32 = 1_000;
/// Most extra attempts that are saved up, in thousandths.
const SAVED_MAX_MILLI: u32 = 20_000;
/// Most extra attempts that one request is given.
const GIVEN_MAX: u32 = 3;

/// Bounds extra attempts to a tenth of the requests that enter at a node, so
/// that retries cannot multiply an overload. See `docs/LIMITS.md`, "Retry
/// allowance".
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved_milli: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved_milli: SAVED_MAX_MILLI,
        }
    }
}

impl RetryBudget {
    /// Earns for a new request and reserves extra attempts for it.
    pub fn reserve(&mut self) -> u16 {
        self.saved_milli = (self.saved_milli + EARNED_MILLI).min(SAVED_MAX_MILLI);
        let given = (self.saved_milli / ATTEMPT_MILLI).min(GIVEN_MAX);
        self.saved_milli -= given * ATTEMPT_MILLI;
        u16::try_from(given).unwrap_or(u16::MAX)
    }

    /// Takes back what a request did not spend.
    pub fn release(&mut self, unspent: u16) {
        let returned_milli = u32::from(unspent) * ATTEMPT_MILLI;
        self.saved_milli = (self.saved_milli + returned_milli).min(SAVED_MAX_MILLI);
    }
}
