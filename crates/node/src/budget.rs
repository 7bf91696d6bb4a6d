//! How many extra attempts requests may be given.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Extra attempts earned by each request, in thousandths.
const EARNED_MILLI: u32 = 100;
/// Thousandths of an extra attempt.
const ATTEMPT_MILLI: u32 = 1_000;
/// Most extra attempts that are saved up.
const SAVED_MAX: u32 = 20;
/// Most extra attempts that one request is given.
const GIVEN_MAX: u32 = 3;

/// Bounds extra attempts to a tenth of the requests, so that retries cannot
/// multiply an overload. See `docs/LIMITS.md`, "Retry allowance".
#[derive(Debug)]
pub(crate) struct RetryBudget {
    saved_milli: Mutex<u32>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved_milli: Mutex::new(SAVED_MAX * ATTEMPT_MILLI),
        }
    }
}

impl RetryBudget {
    /// Earns for a new request and reserves extra attempts for it.
    pub(crate) fn reserve(&self) -> u16 {
        let mut saved_milli = self.lock();
        *saved_milli = (*saved_milli + EARNED_MILLI).min(SAVED_MAX * ATTEMPT_MILLI);
        let given = (*saved_milli / ATTEMPT_MILLI).min(GIVEN_MAX);
        *saved_milli -= given * ATTEMPT_MILLI;
        u16::try_from(given).unwrap_or(u16::MAX)
    }

    /// Takes back what a request did not spend.
    pub(crate) fn release(&self, unspent: u16) {
        let mut saved_milli = self.lock();
        let returned_milli = u32::from(unspent) * ATTEMPT_MILLI;
        *saved_milli = (*saved_milli + returned_milli).min(SAVED_MAX * ATTEMPT_MILLI);
    }

    fn lock(&self) -> MutexGuard<'_, u32> {
        self.saved_milli
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
