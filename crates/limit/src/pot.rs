//! Tokens at a node that die at the same moment.

use std::time::Instant;

use crate::CALL_MILLI;

/// An amount of tokens with the end of the lease that they depend on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenPot {
    pub(crate) milli: u64,
    pub(crate) until: Option<Instant>,
}

impl TokenPot {
    /// Spends one call's tokens, if they are here.
    pub(crate) fn spend(&mut self) -> bool {
        let enough = self.milli >= CALL_MILLI;
        if enough {
            self.milli -= CALL_MILLI;
        }
        enough
    }

    /// Empties the pot and returns what was in it.
    pub(crate) fn take(&mut self) -> u64 {
        std::mem::take(self).milli
    }

    /// Adds another pot; the sum dies with the earlier of the two.
    pub(crate) fn merge(&mut self, other: Self) {
        self.until = match (self.until, other.until) {
            (Some(mine), Some(others)) => Some(mine.min(others)),
            (mine, others) => mine.or(others),
        };
        self.milli += other.milli;
    }

    /// Returns the tokens that are valid at `now`.
    pub(crate) fn alive(&self, now: Instant) -> u64 {
        let alive = self.until.is_some_and(|until| now < until);
        if alive { self.milli } else { 0 }
    }

    /// Empties the pot once its lease has passed.
    pub(crate) fn drop_expired(&mut self, now: Instant) {
        if self.alive(now) == 0 {
            *self = Self::default();
        }
    }
}
