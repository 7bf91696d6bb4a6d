//! Tokens at a node that expire together.

use std::time::Instant;

use crate::CALL_COST_MILLI;

/// An amount of tokens with the end of the lease that they depend on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeasedTokens {
    pub(crate) amount_milli: u64,
    pub(crate) lease_end: Option<Instant>,
}

impl LeasedTokens {
    /// Spends the token of one call, if there is one.
    pub(crate) fn spend_one(&mut self) -> bool {
        let enough = self.amount_milli >= CALL_COST_MILLI;
        if enough {
            self.amount_milli -= CALL_COST_MILLI;
        }
        enough
    }

    /// Removes and returns all tokens.
    pub(crate) fn take_all(&mut self) -> u64 {
        std::mem::take(self).amount_milli
    }

    /// Adds tokens of another lease; the sum expires with the earlier of the two leases.
    pub(crate) fn merge(&mut self, other: Self) {
        self.lease_end = match (self.lease_end, other.lease_end) {
            (Some(mine), Some(others)) => Some(mine.min(others)),
            (mine, others) => mine.or(others),
        };
        self.amount_milli += other.amount_milli;
    }

    /// Returns the tokens that have not expired at `now`.
    pub(crate) fn valid_at(&self, now: Instant) -> u64 {
        let is_valid = self.lease_end.is_some_and(|lease_end| now < lease_end);
        if is_valid { self.amount_milli } else { 0 }
    }

    /// Removes all tokens once their lease has expired.
    pub(crate) fn drop_expired(&mut self, now: Instant) {
        if self.valid_at(now) == 0 {
            *self = Self::default();
        }
    }
}
