//! Averages over one measurement window.

use std::time::Duration;
use std::time::Instant;

/// Completions without which a window says nothing.
const WINDOW_CALLS_MIN: u32 = 8;
/// Share of a window in which the limit must bind for it to count as busy.
const BUSY_SHARE: f64 = 0.7;
/// Change of the calls in flight over a window, in calls and relative to their
/// mean, above which Little's law does not hold.
const DRIFT_MIN: f64 = 3.0;
const DRIFT_SHARE: f64 = 0.25;

/// Averages over one window, by Little's law: time in service = calls × time / completions.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowSum {
    pub(super) start: Instant,
    pub(super) area: f64,
    pub(super) busy_s: f64,
    pub(super) completions: u32,
    pub(super) departures: u32,
    pub(super) in_flight: u32,
}

impl WindowSum {
    pub(super) fn new(start: Instant, in_flight: u32) -> Self {
        Self {
            start,
            in_flight,
            area: 0.0,
            busy_s: 0.0,
            completions: 0,
            departures: 0,
        }
    }

    /// Returns whether calls ended here, but hardly any of them by an answer.
    pub(super) fn is_fruitless(&self) -> bool {
        self.completions < WINDOW_CALLS_MIN && self.departures >= WINDOW_CALLS_MIN
    }

    /// Returns what the window says when it ends after `length` with `in_flight` calls.
    pub(super) fn result(&self, length: Duration, in_flight: u32) -> Option<WindowResult> {
        if self.completions < WINDOW_CALLS_MIN {
            return None;
        }
        let completions = f64::from(self.completions);
        let departures = f64::from(self.departures);
        let length_s = length.as_secs_f64();
        let drift = f64::from(in_flight.abs_diff(self.in_flight));
        Some(WindowResult {
            service_s: self.area / completions,
            stay_s: self.area / departures,
            throughput: completions / length_s,
            busy: self.busy_s >= BUSY_SHARE * length_s,
            steady: drift <= DRIFT_MIN.max(DRIFT_SHARE * self.area / length_s),
        })
    }
}

/// What a finished window says.
#[derive(Clone, Copy, Debug)]
pub(super) struct WindowResult {
    /// Time in service for each completion; it counts the time of cancelled calls too.
    pub(super) service_s: f64,
    /// Time in service of a call, however it ended.
    pub(super) stay_s: f64,
    pub(super) throughput: f64,
    pub(super) busy: bool,
    pub(super) steady: bool,
}
