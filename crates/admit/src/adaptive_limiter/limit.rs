//! Search for the concurrency limit of one backend server, from its completions.

use std::ops::RangeInclusive;
use std::time::Duration;
use std::time::Instant;

use crate::adaptive_limiter::estimate::ServiceEstimate;
use crate::adaptive_limiter::window::WindowResult;
use crate::adaptive_limiter::window::WindowSum;

/// Limit before the first measurement or hint.
const LIMIT_START: f64 = 32.0;
/// Smallest and largest limit.
const LIMIT_MIN: f64 = 2.0;
const LIMIT_MAX: f64 = 4096.0;
/// Divisor of the limit while the backend server warms up.
const COLD_DIVISOR: f64 = 4.0;
/// Shortest and longest window of one measurement, in milliseconds.
const WINDOW_MIN_MS: u64 = 100;
const WINDOW_MAX_MS: u64 = 3000;
/// Completions that end a window: this many times the limit, within the two bounds.
const WINDOW_LIMITS: u32 = 3;
const WINDOW_CALLS_MIN: u32 = 24;
const WINDOW_CALLS_MAX: u32 = 64;
/// Minimum number of completions that end the measurement of a probe.
const PROBE_CALLS: u32 = 64;
/// Ratio of the service time to its baseline up to which the limit may grow.
const GROW_BELOW: f64 = 1.2;
/// Factor for the limit after a window in which calls ended but hardly any completed, for
/// example because they were cancelled.
const FEW_COMPLETIONS_FACTOR: f64 = 0.8;
/// Ratio of the service time to its baseline above which a probe must tell queueing from a
/// slower server.
const PROBE_ABOVE: f64 = 1.5;
/// Factor by which the limit grows in a window.
const GROW_FACTOR: f64 = 1.1;
/// Ratio of the service time to its baseline above which the limit grows slowly from then on.
const SLOW_GROWTH_ABOVE: f64 = 1.4;
/// Largest growth factor in a window: used until service times rise for the first time, and
/// after several windows of growth in a row.
const GROW_MAX_FACTOR: f64 = 1.5;
/// Factor by which a probe lowers the limit.
const PROBE_FACTOR: f64 = 0.6;
/// Throughput during a probe, relative to before, from which on the backend server is still
/// saturated.
const PROBE_SATURATED: f64 = 0.82;
/// Relative throughputs that are inconclusive and so need a longer measurement.
const PROBE_INCONCLUSIVE: RangeInclusive<f64> = 0.74..=0.9;
/// Service time during a probe, relative to the baseline, up to which queueing explains the
/// longer service times before it.
const PROBE_EXPLAINED: f64 = 1.2;
/// Time to settle before a probe is measured, in service times.
const PROBE_SETTLE: f64 = 0.3;
/// Time between two probes, in service times.
const PROBE_GAP: f64 = 15.0;
/// Time after which a probe checks a limit that seems right, in service times, and its minimum.
const RECHECK_GAP: f64 = 80.0;
const RECHECK_MIN: Duration = Duration::from_secs(5);
/// Weight of a measurement below the limit: a limit that is too low costs
/// throughput, one that is too high only some time in service.
const LOWER_WEIGHT: f64 = 0.3;
/// Ratio of the limit to the concurrency measured by a probe, or given by a hint.
const HEADROOM: f64 = 1.1;

/// Origin of the limit.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum LimitSource {
    /// A hint, or the initial value.
    Hinted,
    /// Growth that has not reached the capacity.
    Grown,
    /// Measurements below and above the capacity.
    Bounded,
}

/// Phase of the search.
#[derive(Clone, Copy, Debug)]
enum SearchPhase {
    /// The limit is in force.
    Steady,
    /// The limit was lowered and in-flight calls must end first.
    Settle {
        limit: f64,
        throughput: f64,
        until: Option<Instant>,
    },
    /// The lowered limit is being measured, for longer if the first result is inconclusive.
    Probe {
        limit: f64,
        throughput: f64,
        extended: bool,
    },
}

/// Finds the concurrency at which the backend server is just saturated.
///
/// Longer service times alone do not tell whether calls queue inside the
/// backend server or whether it became slower, and only in the first case does a
/// lower limit help. So when they grow, a probe lowers the limit for about one service
/// time: if throughput stays the same, calls were queueing; if it falls in proportion,
/// they were not. Service times come from Little's law and need no samples of single calls.
#[derive(Clone, Debug)]
pub(super) struct ConcurrencyLimit {
    limit: f64,
    /// Whether the backend server is warming up.
    cold: bool,
    source: LimitSource,
    /// Whether a probe, or a steady window below the limit, has confirmed the baseline.
    verified: bool,
    estimate: ServiceEstimate,
    /// Windows in a row with long service times.
    slow_windows: u32,
    /// Windows in a row in which the limit grew.
    grown_windows: i32,
    phase: SearchPhase,
    window: WindowSum,
    updated_at: Instant,
    in_flight: u32,
    next_probe: Instant,
    next_recheck: Instant,
}

impl ConcurrencyLimit {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            limit: LIMIT_START,
            cold: false,
            source: LimitSource::Hinted,
            verified: false,
            estimate: ServiceEstimate::default(),
            slow_windows: 0,
            grown_windows: 0,
            phase: SearchPhase::Steady,
            window: WindowSum::new(now, 0),
            updated_at: now,
            in_flight: 0,
            next_probe: now,
            next_recheck: now + RECHECK_MIN,
        }
    }

    /// Returns the number of calls that may run now.
    pub(super) fn current(&self) -> u32 {
        let limit = match self.phase {
            SearchPhase::Steady => self.limit,
            SearchPhase::Settle { limit, .. } | SearchPhase::Probe { limit, .. } => limit,
        };
        let limit = if self.cold {
            limit / COLD_DIVISOR
        } else {
            limit
        };
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "limits lie between 1 and 4096"
        )]
        let limit = limit.clamp(LIMIT_MIN, LIMIT_MAX) as u32;
        limit
    }

    /// Returns the mean time of a call in the backend server; zero before it is known.
    pub(super) fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.estimate.residence_s)
    }

    /// Returns the completions per second at the limit; zero before it is known.
    pub(super) fn capacity_per_s(&self) -> f64 {
        self.estimate.capacity
    }

    /// Sets the limit from the announced number of slots, unless it was already measured.
    ///
    /// A hint cannot lower the limit below its initial value: a limit that is too low
    /// costs throughput until it has grown.
    pub(super) fn hint(&mut self, slots: u32) {
        if self.source == LimitSource::Hinted && slots > 0 {
            self.limit = (f64::from(slots) * HEADROOM).clamp(LIMIT_START, LIMIT_MAX);
        }
    }

    pub(super) fn set_cold(&mut self, cold: bool) {
        self.cold = cold;
    }

    pub(super) fn started(&mut self, now: Instant, in_flight: u32) {
        self.set_in_flight(now, in_flight);
    }

    pub(super) fn completed(&mut self, now: Instant, in_flight: u32) {
        self.set_in_flight(now, in_flight);
        self.window.completions += 1;
        self.window.departures += 1;
    }

    pub(super) fn released(&mut self, now: Instant, in_flight: u32) {
        self.set_in_flight(now, in_flight);
        self.window.departures += 1;
    }

    /// Records that the backend server refused a call with `in_flight` others running.
    pub(super) fn shed(&mut self, now: Instant, in_flight: u32) {
        self.set_in_flight(now, in_flight);
        let bound = f64::from(in_flight).max(LIMIT_MIN);
        if bound < self.limit {
            self.limit = bound.max(self.limit * 0.9);
            self.source = LimitSource::Bounded;
        }
    }

    /// Ends a window when it is due, and continues the search.
    pub(super) fn tick(&mut self, now: Instant, in_flight: u32, has_queue: bool) {
        self.set_in_flight(now, in_flight);
        if let SearchPhase::Settle { .. } = self.phase {
            self.settle(now, has_queue);
            return;
        }
        if !self.window_is_over(now) {
            return;
        }
        let sum = self.window;
        let result = self.end_window(now);
        match (self.phase, result) {
            (SearchPhase::Steady, Some(result)) => self.adjust(result, now),
            (
                SearchPhase::Probe {
                    limit,
                    throughput,
                    extended,
                },
                Some(result),
            ) => {
                let ratio = result.throughput / throughput;
                if !extended && PROBE_INCONCLUSIVE.contains(&ratio) {
                    self.window = sum;
                    self.phase = SearchPhase::Probe {
                        limit,
                        throughput,
                        extended: true,
                    };
                } else {
                    self.finish_probe(limit, throughput, result, now);
                }
            }
            (SearchPhase::Probe { .. }, None) => self.end_probe(now),
            (SearchPhase::Steady, None) | (SearchPhase::Settle { .. }, _) => {}
        }
    }

    /// Adds the time since the last event to the window, and sets the calls in flight.
    fn set_in_flight(&mut self, now: Instant, in_flight: u32) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.window.call_seconds += elapsed * f64::from(self.in_flight);
        if self.in_flight >= self.current() {
            self.window.at_limit_s += elapsed;
        }
        self.updated_at = now;
        self.in_flight = in_flight;
    }

    fn window_is_over(&self, now: Instant) -> bool {
        let length = now.saturating_duration_since(self.window.start);
        if length < Duration::from_millis(WINDOW_MIN_MS) {
            return false;
        }
        let has_enough = self.window.completions >= self.window_calls();
        has_enough || length >= Duration::from_millis(WINDOW_MAX_MS)
    }

    fn end_window(&mut self, now: Instant) -> Option<WindowResult> {
        let length = now.saturating_duration_since(self.window.start);
        if self.window.lacks_completions() {
            self.limit = (self.limit * FEW_COMPLETIONS_FACTOR).max(LIMIT_MIN);
        }
        let result = self.window.result(length, self.in_flight);
        self.window = WindowSum::new(now, self.in_flight);
        result
    }

    fn window_calls(&self) -> u32 {
        let limit = self.current();
        let calls = match self.phase {
            SearchPhase::Steady => {
                (WINDOW_LIMITS * limit).clamp(WINDOW_CALLS_MIN, WINDOW_CALLS_MAX)
            }
            SearchPhase::Probe { extended: true, .. } => 2 * PROBE_CALLS,
            SearchPhase::Settle { .. } | SearchPhase::Probe { .. } => PROBE_CALLS,
        };
        calls.max(limit / 2)
    }

    /// Adjusts the limit after a window of the steady phase, and starts a probe if one is due.
    fn adjust(&mut self, result: WindowResult, now: Instant) {
        self.estimate.update(result, self.limit);
        if !result.at_limit {
            self.verified |= result.steady;
            self.slow_windows = 0;
            return;
        }
        let ratio = result.service_s / self.estimate.baseline_s;
        let (max_ratio, factor) = match self.source {
            LimitSource::Bounded => (GROW_BELOW, GROW_FACTOR.powi(self.grown_windows + 1)),
            LimitSource::Hinted | LimitSource::Grown => (SLOW_GROWTH_ABOVE, GROW_MAX_FACTOR),
        };
        if ratio <= max_ratio {
            self.limit = (self.limit * factor.min(GROW_MAX_FACTOR)).min(LIMIT_MAX);
            self.estimate.reset_concurrency();
            self.source = self.source.max(LimitSource::Grown);
            self.grown_windows += 1;
        } else {
            self.grown_windows = 0;
        }
        if ratio > SLOW_GROWTH_ABOVE {
            self.source = LimitSource::Bounded;
        }
        self.slow_windows = if ratio > PROBE_ABOVE {
            self.slow_windows + 1
        } else {
            0
        };
        let probe_due = self.slow_windows >= 2 || !self.verified || now >= self.next_recheck;
        if probe_due && now >= self.next_probe {
            self.begin_probe(self.limit, self.estimate.capacity);
        }
    }

    fn begin_probe(&mut self, from: f64, throughput: f64) {
        let limit = (from * PROBE_FACTOR).max(LIMIT_MIN);
        self.phase = SearchPhase::Settle {
            limit,
            throughput,
            until: None,
        };
    }

    /// Waits until the calls in flight have fallen to the lowered limit, then starts to measure.
    fn settle(&mut self, now: Instant, has_queue: bool) {
        let SearchPhase::Settle {
            limit,
            throughput,
            until,
        } = self.phase
        else {
            return;
        };
        if self.in_flight > self.current() {
            return;
        }
        if !has_queue && self.in_flight < self.current() {
            self.end_probe(now);
            return;
        }
        let settle = Duration::from_secs_f64(self.estimate.service_s * PROBE_SETTLE);
        let until = until.unwrap_or(now + settle);
        if now < until {
            self.phase = SearchPhase::Settle {
                limit,
                throughput,
                until: Some(until),
            };
            return;
        }
        self.window = WindowSum::new(now, self.in_flight);
        self.phase = SearchPhase::Probe {
            limit,
            throughput,
            extended: false,
        };
    }

    /// Evaluates the measurement of a probe.
    fn finish_probe(&mut self, limit: f64, throughput: f64, result: WindowResult, now: Instant) {
        if !result.at_limit {
            self.end_probe(now);
            return;
        }
        let saturated = result.throughput >= PROBE_SATURATED * throughput;
        let explained =
            self.verified && result.service_s <= PROBE_EXPLAINED * self.estimate.baseline_s;
        if saturated && !explained && limit > LIMIT_MIN {
            self.begin_probe(limit, throughput);
            return;
        }
        let concurrency = throughput * result.service_s;
        self.estimate.add_concurrency(concurrency);
        let target = (concurrency * HEADROOM).clamp(limit, self.limit * 1.25);
        let repeated = limit < self.limit * PROBE_FACTOR * 0.99;
        self.limit = if repeated || target > self.limit {
            target
        } else {
            self.limit + LOWER_WEIGHT * (target - self.limit)
        };
        self.limit = self.limit.clamp(LIMIT_MIN, LIMIT_MAX);
        if !explained || !saturated {
            self.estimate.baseline_s = result.service_s;
        }
        if saturated || self.estimate.service_s > GROW_BELOW * result.service_s {
            self.source = LimitSource::Bounded;
        }
        self.verified = true;
        self.end_probe(now);
    }

    fn end_probe(&mut self, now: Instant) {
        let gap = Duration::from_secs_f64(self.estimate.service_s * PROBE_GAP);
        self.next_probe = now + gap.max(Duration::from_secs(1));
        let recheck = Duration::from_secs_f64(self.estimate.service_s * RECHECK_GAP);
        self.next_recheck = now + recheck.max(RECHECK_MIN);
        self.slow_windows = 0;
        self.phase = SearchPhase::Steady;
        self.window = WindowSum::new(now, self.in_flight);
    }
}
