//! Calls that backend servers refuse themselves, and the share that is refused for good.

use std::collections::HashMap;
use std::time::Duration;

use model::ids::ServiceName;

/// Share of the calls sent to the servers of a service above which refusals count.
///
/// Retries at other servers make up for fewer.
const REFUSED_SHARE_MIN: f64 = 0.05;
/// Time constant with which earlier windows are forgotten, in seconds.
///
/// Room that follows the refusals within one report interval would swing, since refusals fall as
/// soon as fewer calls are sent.
const FORGET_S: f64 = 1.0;
/// Calls sent below which the share of refused ones is not used.
const SENT_MIN: f64 = 20.0;

/// Decayed counts of the calls on one service.
#[derive(Clone, Copy, Debug, Default)]
struct CallTotals {
    /// Calls that callers asked for, each counted once.
    requested: f64,
    /// Calls sent to servers, each retry counted.
    sent: f64,
    /// Sent calls that the servers refused.
    refused: f64,
}

/// Shares of calls that backend servers refuse, by service.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerRefusals {
    by_service: HashMap<ServiceName, CallTotals>,
}

impl ServerRefusals {
    /// Adds calls that callers asked for.
    pub(super) fn add_requested(&mut self, service: &ServiceName, requested: f64) {
        self.totals(service).requested += requested;
    }

    /// Adds calls that were sent to a server, and how many of them it refused.
    pub(super) fn add_sent(&mut self, service: &ServiceName, sent: f64, refused: f64) {
        let totals = self.totals(service);
        totals.sent += sent;
        totals.refused += refused;
    }

    /// Lets the counts decay for the time since the last call of this function.
    pub(super) fn decay(&mut self, elapsed: Duration) {
        let kept = (-elapsed.as_secs_f64() / FORGET_S).exp();
        for totals in self.by_service.values_mut() {
            totals.requested *= kept;
            totals.sent *= kept;
            totals.refused *= kept;
        }
    }

    /// Returns the share of the calls on a service that servers refuse and that no retry saves;
    /// 0 where servers refuse few calls.
    pub(super) fn lost_share(&self, service: &ServiceName) -> f64 {
        self.by_service
            .get(service)
            .map_or(0.0, CallTotals::lost_share)
    }

    /// Returns whether the servers of any service refuse so many calls that they count.
    pub(super) fn are_counted(&self) -> bool {
        self.by_service.values().any(CallTotals::are_counted)
    }

    fn totals(&mut self, service: &ServiceName) -> &mut CallTotals {
        self.by_service.entry(service.clone()).or_default()
    }
}

impl CallTotals {
    fn are_counted(&self) -> bool {
        self.sent >= SENT_MIN && self.refused > REFUSED_SHARE_MIN * self.sent
    }

    /// A call that is sent `a` times on average and refused with probability `q` each time
    /// succeeds with probability `a * (1 - q)`; without retries `q` is lost.
    fn lost_share(&self) -> f64 {
        if !self.are_counted() {
            return 0.0;
        }
        let refused = (self.refused / self.sent).min(1.0);
        let attempts = (self.sent / self.requested.max(1.0)).max(1.0);
        (1.0 - attempts * (1.0 - refused)).clamp(0.0, refused)
    }
}
