//! When refused requests of one kind should return.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Shortest and longest delay of a return in time for the target latency, relative to that, or to
/// the time to the deadline if it is shorter.
const DELAY_MIN: f64 = 0.15;
const DELAY_MAX: f64 = 0.6;
/// Longest delay of a return before the deadline, relative to the time to the deadline.
const LATE_DELAY_MAX: f64 = 0.8;
/// Part of the capacity before and after the target latency that returns may use.
///
/// The rest remains for new requests, since a plan in which all are refused once serves nobody
/// sooner.
const IN_TIME_PART: f64 = 0.7;
const LATE_PART: f64 = 0.1;
/// Time constant of the rate of admitted requests, in seconds.
const RATE_S: f64 = 1.0;
/// Returns for which there is always room, since the plan of a node with few requests admits
/// them one at a time.
const RETURNS_MIN: f64 = 2.0;
/// Largest number of returns that are remembered.
const RETURNS_MAX: usize = 1_024;

/// Returns that refused requests were told, and the rate at which requests are admitted.
///
/// The delays spread the returns over the time in which that rate serves them: before the target
/// latency if it can serve one more there, otherwise before the deadline. If there is no capacity
/// before the deadline either, the delay is the time to the deadline.
#[derive(Clone, Debug, Default)]
pub(super) struct ReturnSchedule {
    /// Times of the returns, in order.
    returns: VecDeque<Instant>,
    /// Admitted requests, decayed.
    admitted: f64,
    since: Option<Instant>,
    decayed_at: Option<Instant>,
}

impl ReturnSchedule {
    /// Counts an admitted request.
    pub(super) fn record_admitted(&mut self, now: Instant) {
        self.decay(now);
        self.admitted += 1.0;
    }

    /// Returns the delay after which a refused request should return; `random` is in `0..1`.
    pub(super) fn schedule(
        &mut self,
        target_latency: Duration,
        time_left: Duration,
        random: f64,
        now: Instant,
    ) -> Duration {
        let past = self.returns.partition_point(|at| *at <= now);
        self.returns.drain(..past);
        let target = target_latency.min(time_left);
        let (first, last) = (target.mul_f64(DELAY_MIN), target.mul_f64(DELAY_MAX));
        let late = time_left.mul_f64(LATE_DELAY_MAX).max(last);
        let Some(rate) = self.rate(now) else {
            return self.add(first, last, random, now);
        };
        let in_time = rate * last.as_secs_f64() * IN_TIME_PART;
        if self.returns_within(last, now) < in_time.max(RETURNS_MIN) {
            return self.add(first, last, random, now);
        }
        let after = rate * late.saturating_sub(last).as_secs_f64() * LATE_PART;
        if self.returns_within(late, now) < in_time + after {
            return self.add(last, late, random, now);
        }
        time_left
    }

    /// Adds a return at a random time between two delays; returns its delay.
    fn add(&mut self, first: Duration, last: Duration, random: f64, now: Instant) -> Duration {
        let delay = first + last.saturating_sub(first).mul_f64(random);
        if self.returns.len() < RETURNS_MAX {
            let place = self.returns.partition_point(|at| *at <= now + delay);
            self.returns.insert(place, now + delay);
        }
        delay
    }

    fn returns_within(&self, delay: Duration, now: Instant) -> f64 {
        self.returns.partition_point(|at| *at <= now + delay) as f64
    }

    /// Returns the admitted requests per second; `None` if they are not known.
    fn rate(&mut self, now: Instant) -> Option<f64> {
        self.decay(now);
        let known = now.saturating_duration_since(self.since?).as_secs_f64();
        let counted_s = RATE_S * (1.0 - (-known / RATE_S).exp());
        (counted_s > 0.0).then(|| self.admitted / counted_s)
    }

    fn decay(&mut self, now: Instant) {
        self.since.get_or_insert(now);
        let decayed_at = self.decayed_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(decayed_at);
        self.admitted *= (-elapsed.as_secs_f64() / RATE_S).exp();
    }
}
