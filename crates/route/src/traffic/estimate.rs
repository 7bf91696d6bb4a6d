//! Estimates from the reports of the nodes: calls sent, service times and busy slots.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Instant;

use model::entry::RouteExecutions;
use model::entry::WorkReport;
use model::ids::DataCentreName;
use model::ids::RouteName;
use model::ids::ServiceName;

/// Time constant of the moving averages of call rates and busy slots, in seconds.
///
/// Reports of 300 ms hold few calls of a small service. Demand that changes within a period of 17 s
/// is still followed.
const RATE_TIME_CONSTANT_S: f64 = 1.0;
/// Time constant of the mean service times, in seconds.
///
/// It averages over servers that are slow for 0.6 s at a time.
const SERVICE_TIME_CONSTANT_S: f64 = 2.0;
/// Shortest time over which a rate is computed, in seconds. The first report of a node covers
/// almost no time.
const OBSERVED_MIN_S: f64 = 0.3;
/// Recent calls of a route from which its service times in two data centres are compared; fewer have
/// a mean of chance.
const COMPARED_CALLS_MIN: f64 = 20.0;
/// Thousandths of a whole.
const MILLI: f64 = 1000.0;

/// Where a report comes from, and the capacity of the backend server there.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodePlace {
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Calls that it runs concurrently; 0 when it accepts no calls.
    pub slots: u32,
}

/// Exponentially weighted sum of an amount, and of the time over which it was observed.
#[derive(Clone, Copy, Debug, Default)]
struct MeanRate {
    amount: f64,
    observed_s: f64,
}

impl MeanRate {
    fn add(&mut self, amount: f64, window_s: f64) {
        let decay = (-window_s / RATE_TIME_CONSTANT_S).exp();
        self.amount = self.amount * decay + amount;
        self.observed_s = self.observed_s * decay + window_s;
    }

    fn per_s(self) -> f64 {
        self.amount / self.observed_s.max(OBSERVED_MIN_S)
    }
}

/// Recent calls of one route at one or several servers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RouteWork {
    pub(super) busy_s: f64,
    pub(super) count: f64,
}

impl RouteWork {
    /// Returns the mean service time in seconds; `None` if no call is known.
    pub(super) fn mean_s(self) -> Option<f64> {
        (self.count > 0.0).then(|| self.busy_s / self.count)
    }

    fn add(&mut self, other: Self) {
        self.busy_s += other.busy_s;
        self.count += other.count;
    }
}

/// Estimates from the reports of one node.
#[derive(Clone, Debug)]
pub(super) struct NodeEstimate {
    pub(super) place: NodePlace,
    pub(super) reported_at: Instant,
    sent: HashMap<ServiceName, MeanRate>,
    busy: MeanRate,
    routes: HashMap<RouteName, RouteWork>,
    /// Whether the server has called other services for the calls that it runs.
    calls_others: bool,
}

impl NodeEstimate {
    pub(super) fn new(place: NodePlace, now: Instant) -> Self {
        Self {
            place,
            reported_at: now,
            sent: HashMap::new(),
            busy: MeanRate::default(),
            routes: HashMap::new(),
            calls_others: false,
        }
    }

    /// Adds a report of the last window.
    pub(super) fn add(&mut self, place: NodePlace, work: &WorkReport, now: Instant) {
        if place.service != self.place.service {
            *self = Self::new(place.clone(), now);
        }
        self.place = place;
        self.reported_at = now;
        let window_s = f64::from(work.window_ms.max(1)) / MILLI;
        for calls in &work.sent {
            self.sent.entry(calls.service.clone()).or_default();
        }
        for (service, rate) in &mut self.sent {
            let calls = work.sent.iter().find(|calls| calls.service == *service);
            rate.add(calls.map_or(0.0, |calls| f64::from(calls.count)), window_s);
        }
        self.calls_others |= !work.calls.is_empty();
        self.add_runs(&work.runs, window_s);
        let busy_s: f64 = work.runs.iter().map(|run| run_work(run).busy_s).sum();
        self.busy.add(busy_s * work.demand_ratio(), window_s);
    }

    fn add_runs(&mut self, runs: &[RouteExecutions], window_s: f64) {
        let decay = (-window_s / SERVICE_TIME_CONSTANT_S).exp();
        for route in self.routes.values_mut() {
            route.busy_s *= decay;
            route.count *= decay;
        }
        for run in runs {
            let known = self.routes.entry(run.route.clone()).or_default();
            known.add(run_work(run));
        }
    }
}

/// Totals of one service in one data centre.
#[derive(Clone, Debug, Default)]
pub(super) struct SiteLoad {
    /// Slots of the servers that accept calls.
    pub(super) slots: f64,
    /// Slots that the calls asked for, those of refused calls included.
    pub(super) busy_slots: f64,
    /// Calls per second that the nodes of the data centre sent to the service.
    pub(super) sent_per_s: f64,
    /// Recent calls by route.
    pub(super) routes: BTreeMap<RouteName, RouteWork>,
    /// Whether its servers call other services, so that their service times contain those of others.
    pub(super) calls_others: bool,
}

impl SiteLoad {
    /// Returns all recent calls together.
    pub(super) fn work(&self) -> RouteWork {
        let mut total = RouteWork::default();
        for route in self.routes.values() {
            total.add(*route);
        }
        total
    }

    /// Returns by how many seconds calls with the mix of routes here run longer here than at
    /// `other`.
    ///
    /// Only routes that both ran are compared, since a data centre may run longer routes.
    pub(super) fn slower_than(&self, other: &Self) -> Option<f64> {
        let mut total = RouteWork::default();
        for (route, here) in &self.routes {
            let there = other.routes.get(route).copied().unwrap_or_default();
            if here.count.min(there.count) < COMPARED_CALLS_MIN {
                continue;
            }
            if let (Some(here_s), Some(there_s)) = (here.mean_s(), there.mean_s()) {
                total.count += here.count;
                total.busy_s += here.count * (here_s - there_s);
            }
        }
        total.mean_s()
    }
}

/// Data centres with the loads of one service.
pub(super) type SiteLoads = BTreeMap<DataCentreName, SiteLoad>;

/// Sums the estimates of the nodes up by service and data centre.
pub(super) fn site_loads<'a>(
    nodes: impl Iterator<Item = &'a NodeEstimate>,
) -> BTreeMap<ServiceName, SiteLoads> {
    let mut services: BTreeMap<ServiceName, SiteLoads> = BTreeMap::new();
    for node in nodes {
        let place = &node.place;
        let sites = services.entry(place.service.clone()).or_default();
        let site = sites.entry(place.data_centre.clone()).or_default();
        site.slots += f64::from(place.slots);
        site.busy_slots += node.busy.per_s();
        site.calls_others |= node.calls_others;
        for (route, work) in &node.routes {
            site.routes.entry(route.clone()).or_default().add(*work);
        }
        for (service, rate) in &node.sent {
            let sites = services.entry(service.clone()).or_default();
            let site = sites.entry(place.data_centre.clone()).or_default();
            site.sent_per_s += rate.per_s();
        }
    }
    services
}

fn run_work(run: &RouteExecutions) -> RouteWork {
    RouteWork {
        busy_s: f64::from(run.busy_ms) / MILLI,
        count: f64::from(run.count),
    }
}
