//! Sums of one team's tokens: free at the owner, out at nodes, out at nodes not yet heard from.

use std::time::Duration;
use std::time::Instant;

use model::declaration::TeamSpec;

use crate::missed::MissedRefills;

/// Nanoseconds in a second, as the divisor of refills.
const SECOND_NS: u128 = 1_000_000_000;

/// Rate and burst of one team over all instances together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamLimit {
    /// Refill per second, in thousandths of a call.
    pub rate_milli: u64,
    /// Most tokens that may exist at a time, in thousandths of a call.
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

/// Keeps `free + out + unknown` at or below the burst while it refills `free`.
#[derive(Clone, Debug)]
pub(crate) struct TokenLedger {
    pub(crate) limit: TeamLimit,
    pub(crate) free_milli: u64,
    pub(crate) out_milli: u64,
    pub(crate) unknown_milli: u64,
    /// Part of a thousandth that is refilled but not yet in `free_milli`, times [`SECOND_NS`].
    carry: u128,
    refilled_at: Instant,
    missed: MissedRefills,
}

impl TokenLedger {
    pub(crate) fn new(limit: TeamLimit, free_milli: u64, unknown_milli: u64, now: Instant) -> Self {
        Self {
            limit,
            free_milli,
            out_milli: 0,
            unknown_milli,
            carry: 0,
            refilled_at: now,
            missed: MissedRefills::default(),
        }
    }

    /// Refills for the time since the last refill.
    pub(crate) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        if elapsed.is_zero() {
            return;
        }
        let begun = std::mem::replace(&mut self.refilled_at, now);
        let earned = u128::from(self.limit.rate_milli) * elapsed.as_nanos() + self.carry;
        let earned_milli = u64::try_from(earned / SECOND_NS).unwrap_or(u64::MAX);
        let room_milli = self.room_milli();
        if earned_milli >= room_milli {
            self.free_milli += room_milli;
            self.carry = 0;
            self.missed
                .record(begun, now, earned_milli - room_milli, earned_milli);
        } else {
            self.free_milli += earned_milli;
            self.carry = earned % SECOND_NS;
        }
    }

    /// Tokens that may still be refilled before the burst is reached.
    fn room_milli(&self) -> u64 {
        let level_milli = self.free_milli + self.out_milli + self.unknown_milli;
        self.limit.burst_milli.saturating_sub(level_milli)
    }

    /// Changes the limit; free tokens above a smaller burst are dropped.
    pub(crate) fn declare(&mut self, limit: TeamLimit, now: Instant) {
        self.refill(now);
        self.limit = limit;
        self.missed = MissedRefills::default();
        let taken_milli = self.out_milli + self.unknown_milli;
        let cap_milli = limit.burst_milli.saturating_sub(taken_milli);
        self.free_milli = self.free_milli.min(cap_milli);
    }

    /// Books tokens that a node spent at `spent_at` or before.
    ///
    /// Until now they counted as out, so refill may have been missed since
    /// then for lack of room; it is made up for.
    pub(crate) fn book_spent(&mut self, spent_milli: u64, spent_at: Instant) {
        self.out_milli -= spent_milli;
        let room_milli = self.room_milli().min(spent_milli);
        self.free_milli += self.missed.take_since(spent_at, room_milli);
    }

    /// Takes back tokens from a node; those above a smaller burst are dropped.
    pub(crate) fn give_back(&mut self, returned_milli: u64) {
        self.out_milli -= returned_milli;
        self.free_milli += returned_milli.min(self.room_milli());
    }

    /// Time until `target_milli` tokens are free, if refilling alone leads there.
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
