//! Running estimate of how fast a backend server is.

use crate::gate::window::WindowResult;

/// Weight of the newest busy window in the capacity.
const CAPACITY_WEIGHT: f64 = 0.3;
/// Ratio, or its inverse, from which on a new capacity replaces the old one at once.
const CAPACITY_JUMP: f64 = 1.4;
/// Ratio to the base below which a service time replaces it at once.
const BASE_DROP: f64 = 0.7;
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

    /// Takes the throughput while the limit binds, and what Little's law promises otherwise.
    fn update_capacity(&mut self, result: WindowResult, limit: f64) {
        if !result.busy {
            self.capacity = limit / result.service_s;
            return;
        }
        let ratio = result.throughput / self.capacity.max(f64::MIN_POSITIVE);
        if (1.0 / CAPACITY_JUMP..=CAPACITY_JUMP).contains(&ratio) {
            self.capacity += CAPACITY_WEIGHT * (result.throughput - self.capacity);
        } else {
            self.capacity = result.throughput;
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
