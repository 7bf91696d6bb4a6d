//! Speed of one backend server for the entry plan, smoothed over its reports.

use std::time::Duration;

use model::context::ServerPace;

/// Time constant with which the speed follows the reported pace, in seconds. It smooths the pace of
/// a single report, but follows a server that is slow for 0.6 s.
const TIME_CONSTANT_S: f64 = 0.3;

/// Moving average of the speed of a backend server: 1.0 is usual.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeanSpeed(f64);

impl Default for MeanSpeed {
    fn default() -> Self {
        Self(1.0)
    }
}

impl MeanSpeed {
    /// Adds the pace at the end of a report's window; a server that reports none counts as having
    /// its usual speed.
    pub(super) fn add(&mut self, pace: Option<ServerPace>, window: Duration) {
        let speed = pace.map_or(1.0, ServerPace::speed);
        let weight = 1.0 - (-window.as_secs_f64() / TIME_CONSTANT_S).exp();
        self.0 += weight * (speed - self.0);
    }

    /// Returns the speed.
    pub(super) const fn get(self) -> f64 {
        self.0
    }
}
