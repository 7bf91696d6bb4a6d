//! Estimates of the capacity and service time of a backend server.

use crate::adaptive_limiter::window::WindowResult;

/// Weight of the newest window in the moving average of the capacity.
const CAPACITY_WEIGHT: f64 = 0.3;
/// Ratio of a new capacity to the old one, or its inverse, above which the new one replaces the
/// old one at once.
const CAPACITY_RESET_RATIO: f64 = 1.4;
/// Ratio to the baseline below which a service time replaces it at once.
const BASELINE_RESET_RATIO: f64 = 0.7;
/// Concurrency, relative to the measured one, that is assumed while the limit is not
/// reached: too low a value would keep the limit from ever being reached again.
const CONCURRENCY_MARGIN: f64 = 1.2;
/// Weight of a service time that is slightly below the baseline.
const BASELINE_WEIGHT: f64 = 0.2;

/// Estimates from the windows so far; times in seconds, zero if unknown.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceEstimate {
    /// Baseline: service time without queueing inside the backend server.
    pub(super) baseline_s: f64,
    /// Service time per completion.
    pub(super) service_s: f64,
    /// Mean time in the backend server of a call, however it ended.
    pub(super) residence_s: f64,
    /// Completions per second at the limit.
    pub(super) capacity: f64,
    /// Calls that the backend server works on at once, zero if unknown.
    concurrency: f64,
}

impl ServiceEstimate {
    /// Adds the result of a window in which `limit` calls were allowed.
    pub(super) fn update(&mut self, result: WindowResult, limit: f64) {
        self.service_s = result.service_s;
        self.residence_s = result.residence_s;
        self.update_capacity(result, limit);
        if result.steady || self.baseline_s <= 0.0 {
            self.lower_baseline(result.service_s);
        }
    }

    /// Adds the number of calls that the backend server worked on at once, as measured by a probe.
    pub(super) fn add_concurrency(&mut self, concurrency: f64) {
        self.concurrency = if self.concurrency > 0.0 {
            f64::midpoint(self.concurrency, concurrency)
        } else {
            concurrency
        };
    }

    /// Resets the measured concurrency, since the backend server takes more calls without queueing.
    pub(super) fn reset_concurrency(&mut self) {
        self.concurrency = 0.0;
    }

    /// Updates the capacity: the throughput while the limit is reached, and otherwise what follows
    /// from Little's law.
    ///
    /// The limit may be above the number of calls that the backend server works on at
    /// once, so the measured concurrency caps the estimate.
    fn update_capacity(&mut self, result: WindowResult, limit: f64) {
        let newest = if result.at_limit {
            result.throughput
        } else {
            self.usable_concurrency(limit) / result.service_s
        };
        let ratio = newest / self.capacity.max(f64::MIN_POSITIVE);
        if (1.0 / CAPACITY_RESET_RATIO..=CAPACITY_RESET_RATIO).contains(&ratio) {
            self.capacity += CAPACITY_WEIGHT * (newest - self.capacity);
        } else {
            self.capacity = newest;
        }
    }

    fn usable_concurrency(&self, limit: f64) -> f64 {
        if self.concurrency > 0.0 {
            limit.min(self.concurrency * CONCURRENCY_MARGIN)
        } else {
            limit
        }
    }

    fn lower_baseline(&mut self, service_s: f64) {
        if self.baseline_s <= 0.0 || service_s < self.baseline_s * BASELINE_RESET_RATIO {
            self.baseline_s = service_s;
        } else if service_s < self.baseline_s {
            self.baseline_s += BASELINE_WEIGHT * (service_s - self.baseline_s);
        }
    }
}
