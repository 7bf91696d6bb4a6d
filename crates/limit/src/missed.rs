//! Refill that found no room below the burst.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Intervals that are remembered; older ones are forgotten, which only withholds tokens.
const INTERVALS_MAX: usize = 64;

/// Refill missed at a steady rate from `from` to `to`.
#[derive(Clone, Copy, Debug)]
struct MissedRefill {
    from: Instant,
    to: Instant,
    milli: u64,
}

impl MissedRefill {
    /// Returns the part of it that was missed after `since`, rounded down.
    fn after(&self, since: Instant) -> u64 {
        if since <= self.from {
            return self.milli;
        }
        let whole = self.to.saturating_duration_since(self.from);
        let part = self.to.saturating_duration_since(since);
        scale(self.milli, part, whole)
    }
}

/// Missed refill of the last while, oldest first.
///
/// A token bucket whose level turns out to have been lower by some tokens from
/// a moment on is now lower by that less what it missed since, so what was
/// missed may be made up for without exceeding any window.
#[derive(Clone, Debug, Default)]
pub(crate) struct MissedRefills {
    intervals: VecDeque<MissedRefill>,
}

impl MissedRefills {
    /// Notes that of `earned_milli` from `begun` to `now` the last `missed_milli` found no room.
    pub(crate) fn record(
        &mut self,
        begun: Instant,
        now: Instant,
        missed_milli: u64,
        earned_milli: u64,
    ) {
        if missed_milli == 0 {
            return;
        }
        let whole = now.saturating_duration_since(begun);
        let fitted = whole.saturating_sub(part_of(whole, missed_milli, earned_milli));
        if self.intervals.len() == INTERVALS_MAX {
            self.intervals.pop_front();
        }
        self.intervals.push_back(MissedRefill {
            from: begun + fitted,
            to: now,
            milli: missed_milli,
        });
    }

    /// Takes up to `wanted_milli` of what was missed after `since`, the oldest first.
    pub(crate) fn take_since(&mut self, since: Instant, wanted_milli: u64) -> u64 {
        let mut taken_milli = 0;
        for interval in &mut self.intervals {
            if interval.to <= since || taken_milli == wanted_milli {
                continue;
            }
            let usable_milli = interval.after(since);
            let part_milli = usable_milli.min(wanted_milli - taken_milli);
            let left_milli = usable_milli - part_milli;
            let length = interval
                .to
                .saturating_duration_since(since.max(interval.from));
            let left = part_of(length, left_milli, usable_milli);
            interval.from = interval.to.checked_sub(left).unwrap_or(interval.to);
            interval.milli = left_milli;
            taken_milli += part_milli;
        }
        self.intervals.retain(|interval| interval.milli > 0);
        taken_milli
    }
}

/// Returns `amount * part / whole`, rounded down.
fn scale(amount: u64, part: Duration, whole: Duration) -> u64 {
    let scaled = u128::from(amount) * part.as_nanos() / whole.as_nanos().max(1);
    u64::try_from(scaled).unwrap_or(u64::MAX)
}

/// Returns `time * part / whole`, rounded down.
fn part_of(time: Duration, part: u64, whole: u64) -> Duration {
    let nanos = time.as_nanos() * u128::from(part) / u128::from(whole.max(1));
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}
