//! Demand of one kind of request, and the order in which kinds are admitted.

use std::cmp::Ordering;

use model::entry::RequestKind;
use model::ids::ServiceName;

use crate::entry::refusals::ServerRefusals;

/// Ratio of the success probabilities that weighs as much as one step of route priority.
///
/// A kind goes behind the next lower priority when its requests succeed less than half as often.
const SUCCESS_PER_PRIORITY: f64 = 2.0;
/// Smallest probability of success that is told apart.
const SUCCESS_MIN: f64 = 1e-6;

/// What one request needs of one service.
#[derive(Clone, Debug)]
pub(super) struct ServiceNeed {
    pub(super) service: ServiceName,
    /// Calls on the service.
    pub(super) calls: f64,
    /// Time that these calls hold slots, in seconds.
    pub(super) slot_s: f64,
}

/// A kind of request with its rate and what one request needs.
#[derive(Clone, Debug)]
pub(super) struct KindDemand {
    pub(super) kind: RequestKind,
    /// Offered requests per second.
    pub(super) rate: f64,
    pub(super) needs: Vec<ServiceNeed>,
}

impl KindDemand {
    /// Returns the probability that none of a request's calls is refused for good.
    fn success(&self, refusals: &ServerRefusals) -> f64 {
        let needs = self.needs.iter();
        let success = needs
            .map(|need| (1.0 - refusals.lost_share(&need.service)).powf(need.calls))
            .product::<f64>();
        success.max(SUCCESS_MIN)
    }

    /// Returns the route's priority, lowered by the requests that fail because of refused calls.
    fn effective_priority(&self, refusals: &ServerRefusals) -> f64 {
        let lowered = -self.success(refusals).log(SUCCESS_PER_PRIORITY);
        f64::from(self.kind.route_priority) + lowered.max(0.0)
    }

    fn total_slot_s(&self) -> f64 {
        self.needs.iter().map(|need| need.slot_s).sum()
    }

    /// Compares two kinds, the one admitted first being the lesser.
    fn compare(&self, other: &Self, refusals: &ServerRefusals) -> Ordering {
        let priority = self.effective_priority(refusals);
        priority
            .total_cmp(&other.effective_priority(refusals))
            .then(self.kind.team_priority.cmp(&other.kind.team_priority))
            .then(self.total_slot_s().total_cmp(&other.total_slot_s()))
    }
}

/// Sorts kinds into the order of admission: the most valuable first, the cheapest first among
/// equals.
///
/// The value of a request is the priority of its route. Where servers refuse calls, it is weighed
/// by the probability that the request succeeds, so that kinds with many calls on such a service
/// are cut before kinds with one.
pub(super) fn sort_by_value(kinds: &mut [KindDemand], refusals: &ServerRefusals) {
    kinds.sort_by(|a, b| a.compare(b, refusals));
}
