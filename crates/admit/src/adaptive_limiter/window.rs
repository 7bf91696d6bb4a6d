//! Measurement windows: throughput and service time by Little's law.

use std::time::Duration;
use std::time::Instant;

/// Number of completions below which a window has no result.
const WINDOW_CALLS_MIN: u32 = 8;
/// Minimum fraction of a window in which the limit is reached, for [`WindowResult::at_limit`].
const AT_LIMIT_SHARE: f64 = 0.7;
/// Change of the calls in flight over a window, in calls and relative to their
/// mean, above which Little's law does not hold.
const DRIFT_MIN: f64 = 3.0;
const DRIFT_SHARE: f64 = 0.25;

/// Sums over one window, for Little's law: service time = calls in flight × time / completions.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowSum {
    pub(super) start: Instant,
    /// Integral of the calls in flight over time.
    pub(super) call_seconds: f64,
    /// Time for which the limit was reached.
    pub(super) at_limit_s: f64,
    pub(super) completions: u32,
    /// Calls that ended in any way.
    pub(super) departures: u32,
    /// Calls in flight at the start.
    pub(super) in_flight: u32,
}

impl WindowSum {
    pub(super) fn new(start: Instant, in_flight: u32) -> Self {
        Self {
            start,
            in_flight,
            call_seconds: 0.0,
            at_limit_s: 0.0,
            completions: 0,
            departures: 0,
        }
    }

    /// Returns whether calls ended in this window, but hardly any of them completed.
    pub(super) fn lacks_completions(&self) -> bool {
        self.completions < WINDOW_CALLS_MIN && self.departures >= WINDOW_CALLS_MIN
    }

    /// Returns the result of a window that ends after `length` with `in_flight` calls.
    pub(super) fn result(&self, length: Duration, in_flight: u32) -> Option<WindowResult> {
        if self.completions < WINDOW_CALLS_MIN {
            return None;
        }
        let completions = f64::from(self.completions);
        let departures = f64::from(self.departures);
        let length_s = length.as_secs_f64();
        let drift = f64::from(in_flight.abs_diff(self.in_flight));
        Some(WindowResult {
            service_s: self.call_seconds / completions,
            residence_s: self.call_seconds / departures,
            throughput: completions / length_s,
            at_limit: self.at_limit_s >= AT_LIMIT_SHARE * length_s,
            steady: drift <= DRIFT_MIN.max(DRIFT_SHARE * self.call_seconds / length_s),
        })
    }
}

/// Result of a finished window.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowResult {
    /// Service time per completion; it includes the time of cancelled calls.
    pub(super) service_s: f64,
    /// Mean time in the backend server of a call, however it ended.
    pub(super) residence_s: f64,
    /// Completions per second.
    pub(super) throughput: f64,
    /// Whether the limit was reached for most of the window.
    pub(super) at_limit: bool,
    /// Whether the calls in flight changed so little that Little's law holds.
    pub(super) steady: bool,
}
