//! Failures and latency of one member, for the ejection of outliers.

use std::time::Duration;
use std::time::Instant;

/// Weight of one call in the averages.
const CALL_WEIGHT: f64 = 0.1;
/// Calls before the averages mean anything.
const CALLS_MIN: u32 = 10;
/// Failures in a row that eject a member.
const FAILURES_IN_ROW: u32 = 5;
/// Share of failed calls that ejects a member.
const FAILED_SHARE: f64 = 0.5;
/// Latency over the median of the service that ejects a member.
const LATENCY_FACTOR: f64 = 4.0;
/// First and longest ejection, in seconds.
const EJECT_FIRST_S: u64 = 2;
const EJECT_MAX_S: u64 = 60;

/// Why a member is an outlier, if it is one, and since when.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HealthRecord {
    calls: u32,
    failed_share: f64,
    latency_s: f64,
    in_row: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl HealthRecord {
    /// Counts an answered call.
    pub(crate) fn answered(&mut self, latency: Duration) {
        let latency_s = latency.as_secs_f64();
        self.latency_s = if self.calls == 0 {
            latency_s
        } else {
            self.latency_s + CALL_WEIGHT * (latency_s - self.latency_s)
        };
        self.calls = self.calls.saturating_add(1);
        self.failed_share -= CALL_WEIGHT * self.failed_share;
        self.in_row = 0;
    }

    /// Counts a call whose connection was lost or that the backend server failed.
    pub(crate) fn failed(&mut self) {
        self.calls = self.calls.saturating_add(1);
        self.failed_share += CALL_WEIGHT * (1.0 - self.failed_share);
        self.in_row += 1;
    }

    /// Returns whether the failures make the member an outlier.
    pub(crate) fn is_failing(&self) -> bool {
        let share = self.calls >= CALLS_MIN && self.failed_share > FAILED_SHARE;
        self.in_row >= FAILURES_IN_ROW || share
    }

    /// Returns whether the member is far slower than `median_s`, in seconds.
    pub(crate) fn is_slow(&self, median_s: f64) -> bool {
        self.calls >= CALLS_MIN && self.latency_s > LATENCY_FACTOR * median_s
    }

    /// Returns the mean latency in seconds, once it means anything.
    pub(crate) fn latency_s(&self) -> Option<f64> {
        (self.calls >= CALLS_MIN).then_some(self.latency_s)
    }

    /// Ejects the member; each ejection in a row lasts twice as long.
    pub(crate) fn eject(&mut self, now: Instant) -> Instant {
        let doubled = EJECT_FIRST_S << self.ejections.min(5);
        let until = now + Duration::from_secs(doubled.min(EJECT_MAX_S));
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

    /// Forgets earlier ejections once the member has done well.
    pub(crate) fn forgive(&mut self) {
        if self.calls >= CALLS_MIN * CALLS_MIN && self.failed_share < FAILED_SHARE / 2.0 {
            self.ejections = 0;
        }
    }
}
