//! Running estimate of how fast a backend server is.

use crate::gate::window::WindowResult;

/// Weight of the newest busy window in the capacity.
const CAPACITY_WEIGHT: f64 = 0.3;
/// Ratio, or its inverse, from which on a new capacity replaces the old one at once.
const CAPACITY_JUMP: f64 = 1.4;
/// Ratio to the base below which a service time replaces it at once.
const BASE_DROP: f64 = 0.7;
/// Calls at once, over what was measured, that are promised while the limit
/// doesn't bind: too little would keep it from ever binding again.
const PROBE_FACTOR: f64 = 1.2;
/// Weight of a service time that is a little below the base.
const BASE_WEIGHT: f64 = 0.2;

/// What the windows so far say of the backend server; times in seconds, zero if unknown.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServiceEstimate {
    /// Time in service without queueing.
    pub(super) base_s: f64,
    /// Time in service for each completion.
    pub(super) service_s: f64,
    /// Time in service of a call, however it ended.
    pub(super) stay_s: f64,
    /// Calls per second completed at the limit.
    pub(super) capacity: f64,
    /// Calls that the backend server works on at once, zero if unknown.
    concurrency: f64,
}

impl ServiceEstimate {
    /// Takes over a window in which `limit` calls were allowed.
    pub(super) fn update(&mut self, result: WindowResult, limit: f64) {
        self.service_s = result.service_s;
        self.stay_s = result.stay_s;
        self.update_capacity(result, limit);
        if result.steady || self.base_s <= 0.0 {
            self.lower_base(result.service_s);
        }
    }

    /// Takes over how many calls the backend server worked on at once in a dip.
    pub(super) fn measured(&mut self, concurrency: f64) {
        self.concurrency = if self.concurrency > 0.0 {
            f64::midpoint(self.concurrency, concurrency)
        } else {
            concurrency
        };
    }

    /// Forgets how many calls it worked on at once, since it takes more without queueing.
    pub(super) fn forget_concurrency(&mut self) {
        self.concurrency = 0.0;
    }

    /// Takes the throughput while the limit binds, and what Little's law promises otherwise.
    ///
    /// The limit may lie above what the backend server works on at once, so
    /// the promise is no more than what was measured of that.
    fn update_capacity(&mut self, result: WindowResult, limit: f64) {
        let fresh = if result.busy {
            result.throughput
        } else {
            self.usable(limit) / result.service_s
        };
        let ratio = fresh / self.capacity.max(f64::MIN_POSITIVE);
        if (1.0 / CAPACITY_JUMP..=CAPACITY_JUMP).contains(&ratio) {
            self.capacity += CAPACITY_WEIGHT * (fresh - self.capacity);
        } else {
            self.capacity = fresh;
        }
    }

    fn usable(&self, limit: f64) -> f64 {
        if self.concurrency > 0.0 {
            limit.min(self.concurrency * PROBE_FACTOR)
        } else {
            limit
        }
    }

    fn lower_base(&mut self, service_s: f64) {
        if self.base_s <= 0.0 || service_s < self.base_s * BASE_DROP {
            self.base_s = service_s;
        } else if service_s < self.base_s {
            self.base_s += BASE_WEIGHT * (service_s - self.base_s);
        }
    }
}
