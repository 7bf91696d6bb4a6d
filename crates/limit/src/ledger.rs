//! Accounting of one team's tokens: free, outstanding at nodes, or not yet reported by nodes.

use std::time::Duration;
use std::time::Instant;

use model::declaration::TeamSpec;

use crate::missed_refill::MissedRefills;

/// Nanoseconds in a second.
const SECOND_NS: u128 = 1_000_000_000;

/// Rate and burst of one team, across all instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamLimit {
    /// Refill per second, in thousandths of a token.
    pub rate_milli: u64,
    /// Most tokens that may exist at a time, in thousandths of a token.
    pub burst_milli: u64,
}

impl From<&TeamSpec> for TeamLimit {
    fn from(spec: &TeamSpec) -> Self {
        Self {
            rate_milli: spec.rate_milli,
            burst_milli: spec.burst_milli,
        }
    }
}

/// Refills the free tokens while the sum of free, outstanding and unreported tokens stays
/// within the burst.
#[derive(Clone, Debug)]
pub(crate) struct TokenLedger {
    pub(crate) limit: TeamLimit,
    pub(crate) free_milli: u64,
    pub(crate) outstanding_milli: u64,
    pub(crate) unreported_milli: u64,
    /// Fraction of a thousandth that is refilled but not yet in `free_milli`, times [`SECOND_NS`].
    carry: u128,
    refilled_at: Instant,
    missed_refills: MissedRefills,
}

impl TokenLedger {
    pub(crate) fn new(
        limit: TeamLimit,
        free_milli: u64,
        unreported_milli: u64,
        now: Instant,
    ) -> Self {
        Self {
            limit,
            free_milli,
            outstanding_milli: 0,
            unreported_milli,
            carry: 0,
            refilled_at: now,
            missed_refills: MissedRefills::default(),
        }
    }

    /// Adds the tokens for the time since the last refill.
    pub(crate) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        if elapsed.is_zero() {
            return;
        }
        let previous = std::mem::replace(&mut self.refilled_at, now);
        let earned = u128::from(self.limit.rate_milli) * elapsed.as_nanos() + self.carry;
        let earned_milli = u64::try_from(earned / SECOND_NS).unwrap_or(u64::MAX);
        let room_milli = self.room_milli();
        if earned_milli >= room_milli {
            self.free_milli += room_milli;
            self.carry = 0;
            self.missed_refills
                .record(previous, now, earned_milli - room_milli, earned_milli);
        } else {
            self.free_milli += earned_milli;
            self.carry = earned % SECOND_NS;
        }
    }

    /// Returns how many tokens still fit below the burst.
    fn room_milli(&self) -> u64 {
        let level_milli = self.free_milli + self.outstanding_milli + self.unreported_milli;
        self.limit.burst_milli.saturating_sub(level_milli)
    }

    /// Changes the limit; free tokens above a lowered burst are dropped.
    pub(crate) fn set_limit(&mut self, limit: TeamLimit, now: Instant) {
        self.refill(now);
        self.limit = limit;
        self.missed_refills = MissedRefills::default();
        let at_nodes_milli = self.outstanding_milli + self.unreported_milli;
        let cap_milli = limit.burst_milli.saturating_sub(at_nodes_milli);
        self.free_milli = self.free_milli.min(cap_milli);
    }

    /// Records tokens that a node spent at `spent_at` or before.
    ///
    /// Until now they counted as outstanding, so refills since then may have
    /// been lost for lack of room; those are made up for here.
    pub(crate) fn record_spent(&mut self, spent_milli: u64, spent_at: Instant) {
        self.outstanding_milli -= spent_milli;
        let room_milli = self.room_milli().min(spent_milli);
        self.free_milli += self.missed_refills.take_since(spent_at, room_milli);
    }

    /// Frees tokens that a node returned; those above a lowered burst are dropped.
    pub(crate) fn return_tokens(&mut self, returned_milli: u64) {
        self.outstanding_milli -= returned_milli;
        self.free_milli += returned_milli.min(self.room_milli());
    }

    /// Returns the time until `target_milli` tokens are free, if refilling alone gets there.
    pub(crate) fn time_until_free(&self, target_milli: u64) -> Option<Duration> {
        let lacking_milli = target_milli.saturating_sub(self.free_milli);
        if lacking_milli > self.room_milli() || self.limit.rate_milli == 0 {
            return None;
        }
        let lacking = u128::from(lacking_milli) * SECOND_NS;
        let wait_ns = lacking
            .saturating_sub(self.carry)
            .div_ceil(u128::from(self.limit.rate_milli));
        Some(Duration::from_nanos(
            u64::try_from(wait_ns).unwrap_or(u64::MAX),
        ))
    }
}
