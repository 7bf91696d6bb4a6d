//! Outlier detection: failures and latency of one member, and its ejection.

use std::time::Duration;
use std::time::Instant;

/// Weight of one call in the moving averages.
const CALL_AVERAGE_WEIGHT: f64 = 0.1;
/// Calls after which the averages are significant.
const CALLS_MIN: u32 = 10;
/// Consecutive failures that eject a member.
const CONSECUTIVE_FAILURES_MAX: u32 = 5;
/// Failure rate above which a member is ejected.
const FAILURE_RATE_MAX: f64 = 0.5;
/// A member is ejected if its latency exceeds the median of the service by this factor.
const LATENCY_OUTLIER_FACTOR: f64 = 4.0;
/// Duration of a first ejection, in seconds.
const EJECTION_FIRST_S: u64 = 2;
/// Longest duration of an ejection, in seconds.
const EJECTION_MAX_S: u64 = 60;

/// Failure rate and latency of one member, and its ejections.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HealthRecord {
    calls: u32,
    failure_rate: f64,
    latency_s: f64,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl HealthRecord {
    /// Records an answered call.
    pub(crate) fn record_answer(&mut self, latency: Duration) {
        let latency_s = latency.as_secs_f64();
        self.latency_s = if self.calls == 0 {
            latency_s
        } else {
            self.latency_s + CALL_AVERAGE_WEIGHT * (latency_s - self.latency_s)
        };
        self.calls = self.calls.saturating_add(1);
        self.failure_rate -= CALL_AVERAGE_WEIGHT * self.failure_rate;
        self.consecutive_failures = 0;
    }

    /// Records a call whose connection was lost or that the backend server failed.
    pub(crate) fn record_failure(&mut self) {
        self.calls = self.calls.saturating_add(1);
        self.failure_rate += CALL_AVERAGE_WEIGHT * (1.0 - self.failure_rate);
        self.consecutive_failures += 1;
    }

    /// Returns whether the failures make the member an outlier.
    pub(crate) fn is_failing(&self) -> bool {
        let rate_too_high = self.calls >= CALLS_MIN && self.failure_rate > FAILURE_RATE_MAX;
        self.consecutive_failures >= CONSECUTIVE_FAILURES_MAX || rate_too_high
    }

    /// Returns whether the member is far slower than `median_s`, in seconds.
    pub(crate) fn is_slow(&self, median_s: f64) -> bool {
        self.calls >= CALLS_MIN && self.latency_s > LATENCY_OUTLIER_FACTOR * median_s
    }

    /// Returns the average latency in seconds, once there are enough calls for it.
    pub(crate) fn latency_s(&self) -> Option<f64> {
        (self.calls >= CALLS_MIN).then_some(self.latency_s)
    }

    /// Ejects the member and returns the end; each further ejection lasts twice as long.
    pub(crate) fn eject(&mut self, now: Instant) -> Instant {
        let length_s = EJECTION_FIRST_S << self.ejections.min(5);
        let until = now + Duration::from_secs(length_s.min(EJECTION_MAX_S));
        *self = Self {
            ejections: self.ejections + 1,
            ejected_until: Some(until),
            ..Self::default()
        };
        until
    }

    /// Returns when the ejection ends, if the member is ejected.
    pub(crate) fn ejected_until(&self, now: Instant) -> Option<Instant> {
        self.ejected_until.filter(|until| now < *until)
    }

    /// Ends an ejection before its time.
    pub(crate) fn end_ejection(&mut self) {
        self.ejected_until = None;
    }

    /// Resets the doubling of ejections once the member has stayed healthy for many calls.
    pub(crate) fn reset_ejections(&mut self) {
        if self.calls >= CALLS_MIN * CALLS_MIN && self.failure_rate < FAILURE_RATE_MAX / 2.0 {
            self.ejections = 0;
        }
    }
}
