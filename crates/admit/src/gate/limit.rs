//! Concurrency limit of one backend server, found from its completions.

use std::ops::RangeInclusive;
use std::time::Duration;
use std::time::Instant;

use crate::gate::estimate::ServiceEstimate;
use crate::gate::window::WindowResult;
use crate::gate::window::WindowSum;

/// Limit before anything is known.
const LIMIT_START: f64 = 32.0;
/// Smallest and largest limit.
const LIMIT_MIN: f64 = 2.0;
const LIMIT_MAX: f64 = 4096.0;
/// Divisor of the limit while the backend server is cold.
const COLD_DIVISOR: f64 = 4.0;
/// Shortest and longest window of one measurement, in milliseconds.
const WINDOW_MIN_MS: u64 = 100;
const WINDOW_MAX_MS: u64 = 3000;
/// Completions that end a window: this many times the limit, within bounds.
const WINDOW_TURNS: u32 = 3;
const WINDOW_CALLS_LOW: u32 = 24;
const WINDOW_CALLS: u32 = 64;
/// Completions that end the measurement of a dip, at least.
const DIP_CALLS: u32 = 64;
/// Service time over its base up to which the limit may grow.
const GROW_BELOW: f64 = 1.2;
/// Factor for the limit after a window in which calls were cancelled and none completed.
const FRUITLESS_FACTOR: f64 = 0.8;
/// Service time over its base above which a dip must tell queueing from slowness.
const DIP_ABOVE: f64 = 1.5;
/// Factor by which the limit grows in a window.
const GROW_FACTOR: f64 = 1.1;
/// Service time over its base above which the limit grows slowly from then on.
const BOUNDED_ABOVE: f64 = 1.4;
/// Largest such factor: until service times rise for the first time, and after
/// several windows of growth in a row.
const GROW_MAX_FACTOR: f64 = 1.5;
/// Part of the limit that a dip leaves.
const DIP_FACTOR: f64 = 0.6;
/// Throughput in a dip, relative to before, above which the backend server was still saturated.
const DIP_SATURATED: f64 = 0.82;
/// Such throughputs that call for a longer measurement, since they are not clear.
const DIP_UNCLEAR: RangeInclusive<f64> = 0.74..=0.9;
/// Service time in a dip, relative to the base, up to which queueing explains the rest.
const DIP_EXPLAINED: f64 = 1.2;
/// Part of a service time for which a dip settles before it is measured.
const DIP_SETTLE: f64 = 0.3;
/// Service times between two dips.
const DIP_GAP: f64 = 15.0;
/// Service times, and least time, after which a dip checks a limit that seems right.
const CHECK_GAP: f64 = 80.0;
const CHECK_AFTER: Duration = Duration::from_secs(5);
/// Weight of a measurement below the limit: a limit that is too low costs
/// throughput, one that is too high only some time in service.
const LOWER_WEIGHT: f64 = 0.3;
/// Limit over the measured capacity after a dip.
const HEADROOM: f64 = 1.1;

/// Where the limit comes from.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum LimitSource {
    /// From a hint, or nothing yet.
    Hinted,
    /// Grown without having met the capacity.
    Grown,
    /// Measured on both sides of the capacity.
    Bounded,
}

/// Step of the search.
#[derive(Clone, Copy, Debug)]
enum SearchPhase {
    /// The limit is in force.
    Cruise,
    /// The limit was lowered and in-flight calls must end first.
    Settle {
        limit: f64,
        throughput: f64,
        until: Option<Instant>,
    },
    /// The lowered limit is being measured, for longer if the first result is not clear.
    Dip {
        limit: f64,
        throughput: f64,
        extended: bool,
    },
}

/// Finds the concurrency at which the backend server is just saturated.
///
/// Longer service times alone don't tell whether calls queue inside the
/// backend server or whether it became slower, and only in the first case a
/// lower limit helps. So when they grow, the limit dips for about one service
/// time: if throughput stays, calls were queueing; if it falls in proportion,
/// they were not. Time in service comes from Little's law and needs no samples.
#[derive(Clone, Debug)]
pub(super) struct LimitTracker {
    limit: f64,
    cold: bool,
    source: LimitSource,
    verified: bool,
    estimate: ServiceEstimate,
    slow_windows: u32,
    grown_windows: i32,
    phase: SearchPhase,
    window: WindowSum,
    updated: Instant,
    in_flight: u32,
    next_dip: Instant,
    next_check: Instant,
}

impl LimitTracker {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            limit: LIMIT_START,
            cold: false,
            source: LimitSource::Hinted,
            verified: false,
            estimate: ServiceEstimate::default(),
            slow_windows: 0,
            grown_windows: 0,
            phase: SearchPhase::Cruise,
            window: WindowSum::new(now, 0),
            updated: now,
            in_flight: 0,
            next_dip: now,
            next_check: now + CHECK_AFTER,
        }
    }

    /// Returns how many calls may run now.
    pub(super) fn current(&self) -> u32 {
        let limit = match self.phase {
            SearchPhase::Cruise => self.limit,
            SearchPhase::Settle { limit, .. } | SearchPhase::Dip { limit, .. } => limit,
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

    /// Returns the mean time in service, zero before it is known.
    pub(super) fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.estimate.stay_s)
    }

    /// Returns the calls per second that the backend server completes at its limit.
    pub(super) fn capacity_per_s(&self) -> f64 {
        self.estimate.capacity
    }

    /// Takes over the announced number of slots unless measurements already say more.
    ///
    /// A hint can't lower the limit below its start: a limit that is too low
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
        self.change(now, in_flight);
    }

    pub(super) fn completed(&mut self, now: Instant, in_flight: u32) {
        self.change(now, in_flight);
        self.window.completions += 1;
        self.window.departures += 1;
    }

    pub(super) fn released(&mut self, now: Instant, in_flight: u32) {
        self.change(now, in_flight);
        self.window.departures += 1;
    }

    /// Notes that the backend server refused a call with `in_flight` others running.
    pub(super) fn shed(&mut self, now: Instant, in_flight: u32) {
        self.change(now, in_flight);
        let bound = f64::from(in_flight).max(LIMIT_MIN);
        if bound < self.limit {
            self.limit = bound.max(self.limit * 0.9);
            self.source = LimitSource::Bounded;
        }
    }

    /// Ends windows and moves the search on.
    pub(super) fn tick(&mut self, now: Instant, in_flight: u32, waiting: bool) {
        self.change(now, in_flight);
        if let SearchPhase::Settle { .. } = self.phase {
            self.settle(now, waiting);
            return;
        }
        if !self.window_is_over(now) {
            return;
        }
        let sum = self.window;
        let result = self.end_window(now);
        match (self.phase, result) {
            (SearchPhase::Cruise, Some(result)) => self.cruise(result, now),
            (
                SearchPhase::Dip {
                    limit,
                    throughput,
                    extended,
                },
                Some(result),
            ) => {
                let ratio = result.throughput / throughput;
                if !extended && DIP_UNCLEAR.contains(&ratio) {
                    self.window = sum;
                    self.phase = SearchPhase::Dip {
                        limit,
                        throughput,
                        extended: true,
                    };
                } else {
                    self.dip(limit, throughput, result, now);
                }
            }
            (SearchPhase::Dip { .. }, None) => self.end_dip(now),
            (SearchPhase::Cruise, None) | (SearchPhase::Settle { .. }, _) => {}
        }
    }

    fn change(&mut self, now: Instant, in_flight: u32) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.window.area += elapsed * f64::from(self.in_flight);
        if self.in_flight >= self.current() {
            self.window.busy_s += elapsed;
        }
        self.updated = now;
        self.in_flight = in_flight;
    }

    fn window_is_over(&self, now: Instant) -> bool {
        let length = now.saturating_duration_since(self.window.start);
        if length < Duration::from_millis(WINDOW_MIN_MS) {
            return false;
        }
        let is_full = self.window.completions >= self.window_calls();
        is_full || length >= Duration::from_millis(WINDOW_MAX_MS)
    }

    fn end_window(&mut self, now: Instant) -> Option<WindowResult> {
        let length = now.saturating_duration_since(self.window.start);
        if self.window.is_fruitless() {
            self.limit = (self.limit * FRUITLESS_FACTOR).max(LIMIT_MIN);
        }
        let result = self.window.result(length, self.in_flight);
        self.window = WindowSum::new(now, self.in_flight);
        result
    }

    fn window_calls(&self) -> u32 {
        let limit = self.current();
        let calls = match self.phase {
            SearchPhase::Cruise => (WINDOW_TURNS * limit).clamp(WINDOW_CALLS_LOW, WINDOW_CALLS),
            SearchPhase::Dip { extended: true, .. } => 2 * DIP_CALLS,
            SearchPhase::Settle { .. } | SearchPhase::Dip { .. } => DIP_CALLS,
        };
        calls.max(limit / 2)
    }

    fn cruise(&mut self, result: WindowResult, now: Instant) {
        self.estimate.update(result, self.limit);
        if !result.busy {
            self.verified |= result.steady;
            self.slow_windows = 0;
            return;
        }
        let ratio = result.service_s / self.estimate.base_s;
        let (below, factor) = match self.source {
            LimitSource::Bounded => (GROW_BELOW, GROW_FACTOR.powi(self.grown_windows + 1)),
            LimitSource::Hinted | LimitSource::Grown => (BOUNDED_ABOVE, GROW_MAX_FACTOR),
        };
        if ratio <= below {
            self.limit = (self.limit * factor.min(GROW_MAX_FACTOR)).min(LIMIT_MAX);
            self.estimate.forget_concurrency();
            self.source = self.source.max(LimitSource::Grown);
            self.grown_windows += 1;
        } else {
            self.grown_windows = 0;
        }
        if ratio > BOUNDED_ABOVE {
            self.source = LimitSource::Bounded;
        }
        self.slow_windows = if ratio > DIP_ABOVE {
            self.slow_windows + 1
        } else {
            0
        };
        let wanted = self.slow_windows >= 2 || !self.verified || now >= self.next_check;
        if wanted && now >= self.next_dip {
            self.begin_dip(self.limit, self.estimate.capacity);
        }
    }

    fn begin_dip(&mut self, from: f64, throughput: f64) {
        let limit = (from * DIP_FACTOR).max(LIMIT_MIN);
        self.phase = SearchPhase::Settle {
            limit,
            throughput,
            until: None,
        };
    }

    fn settle(&mut self, now: Instant, waiting: bool) {
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
        if !waiting && self.in_flight < self.current() {
            self.end_dip(now);
            return;
        }
        let settle = Duration::from_secs_f64(self.estimate.service_s * DIP_SETTLE);
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
        self.phase = SearchPhase::Dip {
            limit,
            throughput,
            extended: false,
        };
    }

    fn dip(&mut self, limit: f64, throughput: f64, result: WindowResult, now: Instant) {
        if !result.busy {
            self.end_dip(now);
            return;
        }
        let saturated = result.throughput >= DIP_SATURATED * throughput;
        let explained = self.verified && result.service_s <= DIP_EXPLAINED * self.estimate.base_s;
        if saturated && !explained && limit > LIMIT_MIN {
            self.begin_dip(limit, throughput);
            return;
        }
        let capacity = throughput * result.service_s;
        self.estimate.measured(capacity);
        let target = (capacity * HEADROOM).clamp(limit, self.limit * 1.25);
        let repeated = limit < self.limit * DIP_FACTOR * 0.99;
        self.limit = if repeated || target > self.limit {
            target
        } else {
            self.limit + LOWER_WEIGHT * (target - self.limit)
        };
        self.limit = self.limit.clamp(LIMIT_MIN, LIMIT_MAX);
        if !explained || !saturated {
            self.estimate.base_s = result.service_s;
        }
        if saturated || self.estimate.service_s > GROW_BELOW * result.service_s {
            self.source = LimitSource::Bounded;
        }
        self.verified = true;
        self.end_dip(now);
    }

    fn end_dip(&mut self, now: Instant) {
        let gap = Duration::from_secs_f64(self.estimate.service_s * DIP_GAP);
        self.next_dip = now + gap.max(Duration::from_secs(1));
        let check = Duration::from_secs_f64(self.estimate.service_s * CHECK_GAP);
        self.next_check = now + check.max(CHECK_AFTER);
        self.slow_windows = 0;
        self.phase = SearchPhase::Cruise;
        self.window = WindowSum::new(now, self.in_flight);
    }
}
