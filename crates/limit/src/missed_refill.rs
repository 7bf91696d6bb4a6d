//! Refills that were lost because the bucket was full.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Most intervals kept; dropping older ones only withholds tokens, never adds any.
const INTERVALS_MAX: usize = 64;

/// Refill lost at a steady rate from `from` to `to`.
#[derive(Clone, Copy, Debug)]
struct MissedRefill {
    from: Instant,
    to: Instant,
    amount_milli: u64,
}

impl MissedRefill {
    /// Returns how much of it was lost after `since`, rounded down.
    fn missed_after(&self, since: Instant) -> u64 {
        if since <= self.from {
            return self.amount_milli;
        }
        let whole = self.to.saturating_duration_since(self.from);
        let part = self.to.saturating_duration_since(since);
        scale_amount(self.amount_milli, part, whole)
    }
}

/// Recently lost refills, oldest first.
///
/// If a token bucket turns out to have held some tokens fewer from a certain
/// time on, its present level is lower by that amount minus the refills lost
/// since then. Those can therefore be added now without exceeding the limit in
/// any time window.
#[derive(Clone, Debug, Default)]
pub(crate) struct MissedRefills {
    intervals: VecDeque<MissedRefill>,
}

impl MissedRefills {
    /// Records that, of `earned_milli` from `start` to `now`, the last `missed_milli` did not fit.
    pub(crate) fn record(
        &mut self,
        start: Instant,
        now: Instant,
        missed_milli: u64,
        earned_milli: u64,
    ) {
        if missed_milli == 0 {
            return;
        }
        let whole = now.saturating_duration_since(start);
        let fitted = whole.saturating_sub(scale_duration(whole, missed_milli, earned_milli));
        if self.intervals.len() == INTERVALS_MAX {
            self.intervals.pop_front();
        }
        self.intervals.push_back(MissedRefill {
            from: start + fitted,
            to: now,
            amount_milli: missed_milli,
        });
    }

    /// Takes up to `wanted_milli` of what was lost after `since`, oldest first.
    pub(crate) fn take_since(&mut self, since: Instant, wanted_milli: u64) -> u64 {
        let mut taken_milli = 0;
        for interval in &mut self.intervals {
            if interval.to <= since || taken_milli == wanted_milli {
                continue;
            }
            let usable_milli = interval.missed_after(since);
            let part_milli = usable_milli.min(wanted_milli - taken_milli);
            let left_milli = usable_milli - part_milli;
            let length = interval
                .to
                .saturating_duration_since(since.max(interval.from));
            let left = scale_duration(length, left_milli, usable_milli);
            interval.from = interval.to.checked_sub(left).unwrap_or(interval.to);
            interval.amount_milli = left_milli;
            taken_milli += part_milli;
        }
        self.intervals.retain(|interval| interval.amount_milli > 0);
        taken_milli
    }
}

/// Returns `amount * part / whole`, rounded down.
fn scale_amount(amount: u64, part: Duration, whole: Duration) -> u64 {
    let scaled = u128::from(amount) * part.as_nanos() / whole.as_nanos().max(1);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// Returns `time * part / whole`, rounded down.
fn scale_duration(time: Duration, part: u64, whole: u64) -> Duration {
    let nanos = time.as_nanos() * u128::from(part) / u128::from(whole.max(1));
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
