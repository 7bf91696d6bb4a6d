//! The leader's plan: shares of the calls of each data centre that go to others.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use model::entry::WorkReport;
use model::ids::DataCentreName;
use model::ids::NodeId;
use model::ids::ServiceName;
use model::share::to_milli;
use model::traffic::TrafficShare;

use super::estimate::NodeEstimate;
use super::estimate::NodePlace;
use super::estimate::SiteLoads;
use super::estimate::site_loads;
use super::target::AnswerShare;
use super::target::ShareTable;
use super::target::target_shares;

/// Time for which a node's report is used, in milliseconds.
const REPORT_VALID_MS: u64 = 1_500;
/// Time for which a plan is reused, in milliseconds; nodes report as often.
const PLAN_PERIOD_MS: u64 = 300;
/// Fraction of the difference from the target by which a share changes in one plan.
///
/// Service times rise with load, so that the target overestimates what must leave while a server
/// is full. Half of the difference converges up to an elasticity of 0.75.
const STEP_GAIN: f64 = 0.5;
/// Largest change of a share in one plan. Demand that swings by 0.55 within 17 s needs 0.05.
const STEP_MAX: f64 = 0.1;
/// Difference from the target below which a share is kept.
const CHANGE_MIN: f64 = 0.02;
/// Share below which nothing is sent.
const SHARE_MIN: f64 = 0.01;
/// Change in one plan of the fraction that leaves because servers elsewhere answer sooner. Service
/// times follow the load with a delay of seconds, so this is slower than [`STEP_MAX`].
const ANSWER_STEP: f64 = 0.03;
/// Largest fraction that leaves for that reason; the rest shows the service times of the origin.
const ANSWER_SHARE_MAX: f64 = 0.9;
/// Additional difference of service times from which that fraction grows, in seconds.
const ANSWER_HYSTERESIS_S: f64 = 0.005;
/// Change of a share since it was last logged from which it is logged again.
const LOG_CHANGE_MIN: f64 = 0.1;
/// Thousandths of a whole.
const MILLI: f64 = 1000.0;

/// What it costs callers when a call leaves its data centre, as response time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TrafficCosts {
    /// Response time that operators give up to keep a call within its data centre.
    pub leave_cost: Duration,
    /// Network delay between data centres, there and back.
    pub network_delay: Duration,
}

/// Share of the calls of one origin to one service that goes to one destination.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedShare {
    /// The service that is called.
    pub service: ServiceName,
    /// Data centre of the callers.
    pub origin: DataCentreName,
    /// Data centre whose servers get the share.
    pub destination: DataCentreName,
    /// The share as a fraction of the calls of the origin.
    pub share: f64,
}

/// State of the plan for one service.
#[derive(Clone, Debug, Default)]
struct ServicePlan {
    /// Whether a plan has been made from known demand; the first one is not limited to a step, since
    /// a new leader takes over from one whose plan is in force.
    is_started: bool,
    shares: ShareTable,
    logged: ShareTable,
    /// What leaves each data centre because servers elsewhere answer sooner.
    answer_shares: BTreeMap<DataCentreName, AnswerShare>,
}

/// Plans, at the leader, how much traffic leaves each data centre.
///
/// It is made for services whose servers and demand are uneven over the data centres. What fits
/// into the slots of a data centre stays there; only what exceeds them leaves.
#[derive(Clone, Debug)]
pub struct TrafficPlanner {
    costs: TrafficCosts,
    nodes: HashMap<NodeId, NodeEstimate>,
    services: BTreeMap<ServiceName, ServicePlan>,
    planned_at: Option<Instant>,
}

impl TrafficPlanner {
    /// Creates a planner without reports.
    #[must_use]
    pub fn new(costs: TrafficCosts) -> Self {
        Self {
            costs,
            nodes: HashMap::new(),
            services: BTreeMap::new(),
            planned_at: None,
        }
    }

    /// Adds a node's report of its last window.
    pub fn add_report(&mut self, node: NodeId, place: NodePlace, work: &WorkReport, now: Instant) {
        let known = self.nodes.entry(node);
        let known = known.or_insert_with(|| NodeEstimate::new(place.clone(), now));
        known.add(place, work, now);
    }

    /// Brings the plan up to date; returns whether it was computed anew.
    pub fn update(&mut self, now: Instant) -> bool {
        let period = Duration::from_millis(PLAN_PERIOD_MS);
        if self.planned_at.is_some_and(|at| now < at + period) {
            return false;
        }
        self.planned_at = Some(now);
        let valid = Duration::from_millis(REPORT_VALID_MS);
        self.nodes
            .retain(|_, node| now.saturating_duration_since(node.reported_at) < valid);
        let loads = site_loads(self.nodes.values());
        self.services
            .retain(|service, _| loads.contains_key(service));
        for (service, sites) in &loads {
            let plan = self.services.entry(service.clone()).or_default();
            plan.update(sites, self.costs);
        }
        true
    }

    /// Returns the shares for the nodes of one data centre; what is missing stays there.
    #[must_use]
    pub fn shares_of(&self, origin: &str) -> Vec<TrafficShare> {
        let shares = self.shares().filter(|share| &*share.origin == origin);
        shares
            .map(|share| TrafficShare {
                service: share.service,
                destination: share.destination,
                share_milli: to_milli(share.share),
            })
            .collect()
    }

    /// Returns all shares above 0.
    pub fn shares(&self) -> impl Iterator<Item = PlannedShare> + '_ {
        self.services.iter().flat_map(|(service, plan)| {
            let shares = plan.shares.iter();
            shares.map(|((origin, destination), &share)| PlannedShare {
                service: service.clone(),
                origin: origin.clone(),
                destination: destination.clone(),
                share,
            })
        })
    }

    /// Returns a description of each service of which a share has changed much since this was last
    /// asked: its shares and the inputs of the plan.
    pub fn describe_changes(&mut self) -> Vec<(ServiceName, String)> {
        let changed = self.services.iter_mut();
        let mut changed = changed.filter(|(_, plan)| plan.has_changed()).peekable();
        if changed.peek().is_none() {
            return Vec::new();
        }
        let loads = site_loads(self.nodes.values());
        let descriptions = changed.filter_map(|(service, plan)| {
            plan.logged.clone_from(&plan.shares);
            Some((service.clone(), describe(loads.get(service)?, &plan.shares)))
        });
        descriptions.collect()
    }
}

impl ServicePlan {
    fn update(&mut self, sites: &SiteLoads, costs: TrafficCosts) {
        self.update_answer_shares(sites, costs);
        let arriving = self.arriving(sites);
        let Some(target) = target_shares(sites, &self.answer_shares, &arriving) else {
            return;
        };
        let is_first = !self.is_started;
        self.is_started |= sites.values().any(|site| site.sent_per_s > 0.0);
        let mut shares = ShareTable::new();
        for key in self.shares.keys().chain(target.keys()) {
            let (origin, destination) = key;
            let wanted = target.get(key).copied().unwrap_or(0.0);
            let known = self.shares.get(key).copied().unwrap_or(0.0);
            let is_forced = !has_servers(sites, origin) || !has_servers(sites, destination);
            let share = if is_first || is_forced {
                wanted
            } else {
                next_share(known, wanted)
            };
            if share > 0.0 {
                shares.insert(key.clone(), share);
            }
        }
        remove_exchanges(&mut shares, sites);
        self.shares = shares;
    }

    /// Returns the planned calls per second that each data centre gets from others now.
    fn arriving(&self, sites: &SiteLoads) -> BTreeMap<DataCentreName, f64> {
        let mut arriving = BTreeMap::new();
        for ((origin, destination), share) in &self.shares {
            let sent_per_s = sites.get(origin).map_or(0.0, |site| site.sent_per_s);
            *arriving.entry(destination.clone()).or_default() += share * sent_per_s;
        }
        arriving
    }

    /// Changes the fractions that leave for sooner answers by a step each.
    ///
    /// Only services that call no others are compared: a call to a slow service elsewhere makes the
    /// caller's server look slow as well, and all services above it would leave for the same reason.
    fn update_answer_shares(&mut self, sites: &SiteLoads, costs: TrafficCosts) {
        if sites.values().any(|site| site.calls_others) {
            self.answer_shares.clear();
            return;
        }
        let leaving_s = (costs.leave_cost + costs.network_delay).as_secs_f64();
        for (name, site) in sites {
            let others = sites.iter().filter(|(other, _)| *other != name);
            let others = others.filter(|(_, other)| other.slots > 0.0);
            let gains: Vec<_> = others
                .filter_map(|(name, other)| Some((name, site.slower_than(other)? - leaving_s)))
                .collect();
            let best_s = gains.iter().map(|gain| gain.1);
            let best_s = best_s.fold(f64::NEG_INFINITY, f64::max);
            let answer = self.answer_shares.entry(name.clone()).or_default();
            let worthwhile = gains.iter().filter(|gain| gain.1 >= 0.0);
            answer.destinations = worthwhile.map(|gain| gain.0.clone()).collect();
            if best_s > ANSWER_HYSTERESIS_S {
                answer.fraction = (answer.fraction + ANSWER_STEP).min(ANSWER_SHARE_MAX);
            } else if best_s < 0.0 {
                answer.fraction = (answer.fraction - ANSWER_STEP).max(0.0);
            }
        }
    }

    fn has_changed(&self) -> bool {
        let mut keys = self.shares.keys().chain(self.logged.keys());
        keys.any(|key| {
            let share = self.shares.get(key).copied().unwrap_or(0.0);
            let logged = self.logged.get(key).copied().unwrap_or(0.0);
            (share - logged).abs() > LOG_CHANGE_MIN
        })
    }
}

/// Moves a share towards the wanted one.
fn next_share(known: f64, wanted: f64) -> f64 {
    let difference = wanted - known;
    if difference.abs() < CHANGE_MIN && wanted > 0.0 {
        return known;
    }
    let next = known + (STEP_GAIN * difference).clamp(-STEP_MAX, STEP_MAX);
    if next < SHARE_MIN { 0.0 } else { next }
}

/// Reduces flows between two data centres by what goes in both directions.
fn remove_exchanges(shares: &mut ShareTable, sites: &SiteLoads) {
    let sent_per_s = |name: &DataCentreName| sites.get(name).map_or(0.0, |site| site.sent_per_s);
    let keys: Vec<_> = shares.keys().cloned().collect();
    for (origin, destination) in keys.iter().filter(|(a, b)| a < b) {
        let there = (origin.clone(), destination.clone());
        let back = (destination.clone(), origin.clone());
        let (Some(&share), Some(&back_share)) = (shares.get(&there), shares.get(&back)) else {
            continue;
        };
        let (calls, back_calls) = (
            share * sent_per_s(origin),
            back_share * sent_per_s(destination),
        );
        let common = calls.min(back_calls);
        for (key, calls) in [(there, calls), (back, back_calls)] {
            let left = (calls - common) / sent_per_s(&key.0).max(f64::MIN_POSITIVE);
            if left < SHARE_MIN {
                shares.remove(&key);
            } else {
                shares.insert(key, left);
            }
        }
    }
}

fn has_servers(sites: &SiteLoads, name: &DataCentreName) -> bool {
    sites.get(name).is_some_and(|site| site.slots > 0.0)
}

/// Describes the inputs of the plan for one service, and its shares in thousandths.
fn describe(sites: &SiteLoads, shares: &ShareTable) -> String {
    let mut line = String::new();
    for (name, site) in sites {
        let (slots, busy, sent) = (site.slots, site.busy_slots, site.sent_per_s);
        let mean_ms = site.work().mean_s().unwrap_or(0.0) * MILLI;
        let _ = write!(
            line,
            "{name}:slots={slots:.0},busy={busy:.1},sent={sent:.0},mean_ms={mean_ms:.0} "
        );
    }
    for ((origin, destination), share) in shares {
        let _ = write!(line, "{origin}>{destination}={} ", to_milli(*share));
    }
    line.truncate(line.trim_end().len());
    line
}
