//! The leader's admission plan: which fraction of each kind of request is admitted.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use model::entry::EntryShare;
use model::entry::RequestKind;
use model::entry::ServerCapacity;
use model::entry::WorkReport;
use model::ids::NodeId;
use model::ids::RouteName;
use model::ids::ServiceName;
use model::share::to_milli;

use crate::entry::demand::KindDemand;
use crate::entry::demand::ServiceNeed;
use crate::entry::demand::sort_by_value;
use crate::entry::fanout::CallFanout;
use crate::entry::mean_speed::MeanSpeed;
use crate::entry::plan_history::LoadRatios;
use crate::entry::plan_history::PlanHistory;
use crate::entry::refusals::ServerRefusals;

/// Fraction of the slots that the plan fills.
const TARGET_UTILISATION: f64 = 0.93;
/// Factor by which a rate decays in each window when it falls; a rate that rises counts at once.
const RATE_DECAY: f64 = 0.7;
/// Weight of the newest window in the moving average of service times.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Fraction of every kind that is admitted before more important kinds are admitted in full,
/// so that no kind and no team starves.
const MIN_FRACTION: f64 = 0.15;
/// Fraction of a service's capacity that these minimum fractions may take together.
const MIN_FRACTION_CAPACITY: f64 = 0.7;
/// Change of a service's capacity correction for each second and unit of utilisation error.
const CORRECTION_PER_S: f64 = 0.8;
/// Smallest and largest capacity correction.
const CORRECTION_MIN: f64 = 0.4;
const CORRECTION_MAX: f64 = 1.5;
/// Time for which a node's report is used, in milliseconds.
const REPORT_VALID_MS: u64 = 1_500;
/// Maximum depth to which the calls below a request are followed.
const DEPTH_MAX: usize = 6;
/// Thousandths of a whole.
const MILLI: f64 = 1000.0;

/// Last report of one node.
#[derive(Clone, Debug)]
struct NodeState {
    place: ServerCapacity,
    /// Requests per second at this entry node, by kind.
    offered: BTreeMap<RequestKind, f64>,
    /// Utilisation that the calls of the last window asked for, relative to the slots;
    /// above 1 when some were refused.
    utilisation: f64,
    /// Speed of the server, by which its slots and its service times are converted to usual ones.
    speed: MeanSpeed,
    /// Length of the window of the last report.
    window: Duration,
    reported_at: Instant,
}

/// The service that runs a route and the mean time that a call on it takes at a server of usual
/// speed there.
#[derive(Clone, Debug)]
struct RouteProfile {
    service: ServiceName,
    service_time_s: f64,
}

/// Capacity of one service over all its nodes, in slots of servers of usual speed.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceCapacity {
    slots: f64,
    /// Slots that the calls of the last windows asked for.
    used_slots: f64,
}

/// Plans, at the leader, which fraction of each kind of request is admitted.
#[derive(Clone, Debug, Default)]
pub struct EntryPlanner {
    nodes: HashMap<NodeId, NodeState>,
    routes: HashMap<RouteName, RouteProfile>,
    /// Routes that the reports show to be running.
    running_routes: HashSet<RouteName>,
    fanout: CallFanout,
    refusals: ServerRefusals,
    history: PlanHistory,
    /// Factor by which the capacity of each service is corrected.
    corrections: HashMap<ServiceName, f64>,
    /// Services whose capacity limited some kind in the last plan.
    bottlenecks: Vec<ServiceName>,
    planned_at: Option<Instant>,
}

impl EntryPlanner {
    /// Adds a node's report of its last window.
    pub fn add_report(
        &mut self,
        node: NodeId,
        place: ServerCapacity,
        work: &WorkReport,
        now: Instant,
    ) {
        let window_s = f64::from(work.window_ms.max(1)) / MILLI;
        let known = self.nodes.remove(&node);
        let mut speed = known.as_ref().map(|known| known.speed).unwrap_or_default();
        speed.add(place.pace, Duration::from_secs_f64(window_s));
        for run in work.runs.iter().filter(|run| run.count > 0) {
            let service_time_s = f64::from(run.busy_ms) / f64::from(run.count) / MILLI;
            // The capacity is reduced by the speed, so the service time must not contain it too.
            let service_time_s = service_time_s * speed.get();
            let known = self.routes.entry(run.route.clone());
            let known = known.or_insert_with(|| RouteProfile {
                service: place.service.clone(),
                service_time_s,
            });
            known.service = place.service.clone();
            known.service_time_s += SERVICE_TIME_WEIGHT * (service_time_s - known.service_time_s);
        }
        self.note_running_routes(work);
        self.note_refusals(&place.service, work);
        let keep_settled = self.refusals.are_counted();
        self.fanout
            .add_window(&work.runs, &work.calls, keep_settled);
        let busy_s: f64 = work
            .runs
            .iter()
            .map(|run| f64::from(run.busy_ms) / MILLI)
            .sum();
        let utilisation = busy_s / window_s / f64::from(place.slots.max(1)) * work.demand_ratio();
        let mut offered = known.map_or_else(BTreeMap::new, |known| known.offered);
        for rate in offered.values_mut() {
            *rate *= RATE_DECAY;
        }
        for kind in &work.offered {
            let rate = f64::from(kind.count) / window_s;
            let known = offered.entry(kind.kind.clone()).or_default();
            *known = if rate > *known {
                rate
            } else {
                *known + (1.0 - RATE_DECAY) * rate
            };
        }
        let state = NodeState {
            place,
            offered,
            utilisation,
            speed,
            window: Duration::from_millis(u64::from(work.window_ms)),
            reported_at: now,
        };
        self.nodes.insert(node, state);
    }

    /// Returns the number of routes that run but whose service time is not known.
    #[must_use]
    pub fn untimed_routes(&self) -> usize {
        let running = self.running_routes.iter();
        running
            .filter(|route| !self.routes.contains_key(*route))
            .count()
    }

    /// Counts the calls that callers asked for, and those that the node's server refused.
    fn note_refusals(&mut self, service: &ServiceName, work: &WorkReport) {
        for run in &work.runs {
            let (sent, refused) = (f64::from(run.started), f64::from(run.refused));
            self.refusals.add_sent(service, sent, refused);
        }
        for call in &work.calls {
            if let Some(profile) = self.routes.get(&call.route) {
                let requested = f64::from(call.count);
                self.refusals.add_requested(&profile.service, requested);
            }
        }
        for offered in &work.offered {
            if let Some(profile) = self.routes.get(&offered.kind.route) {
                let fraction = self.history.latest_fraction(&offered.kind);
                let requested = f64::from(offered.count) * fraction;
                self.refusals.add_requested(&profile.service, requested);
            }
        }
    }

    fn note_running_routes(&mut self, work: &WorkReport) {
        let started = work.runs.iter().filter(|run| run.started > 0);
        let started = started.map(|run| &run.route);
        let called = work.calls.iter().map(|call| &call.route);
        for route in started.chain(called) {
            if !self.running_routes.contains(route) {
                self.running_routes.insert(route.clone());
            }
        }
    }

    /// Returns the fraction of each kind to admit from now on.
    pub fn plan(&mut self, now: Instant) -> Vec<EntryShare> {
        let stale = Duration::from_millis(REPORT_VALID_MS);
        self.nodes
            .retain(|_, state| now.saturating_duration_since(state.reported_at) < stale);
        let capacities = self.capacities();
        let elapsed = self
            .planned_at
            .replace(now)
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.refusals.decay(elapsed);
        let kinds = self.kinds_by_priority();
        let ratios = self
            .history
            .load_ratios(&kinds, self.effect_delay(now), now);
        self.update_corrections(&capacities, &ratios, elapsed);
        let rooms = self.rooms(&capacities);
        let mut remaining = rooms.clone();
        let mut fractions = vec![0.0; kinds.len()];
        let minimum = min_fraction(&kinds, &remaining);
        admit_up_to(minimum, &kinds, &mut fractions, &mut remaining);
        self.deduct_lost_rooms(&rooms, &mut remaining);
        self.bottlenecks = admit_up_to(1.0, &kinds, &mut fractions, &mut remaining);
        let kinds = kinds.into_iter().map(|demand| demand.kind);
        let planned: Vec<(RequestKind, f64)> = kinds.zip(fractions).collect();
        self.history.push(planned.iter().cloned().collect(), now);
        let shares = planned.into_iter();
        shares
            .map(|(kind, fraction)| EntryShare {
                kind,
                admitted_milli: to_milli(fraction),
            })
            .collect()
    }

    /// Returns the slots of each service that the plan may fill.
    fn rooms(
        &self,
        capacities: &HashMap<ServiceName, ServiceCapacity>,
    ) -> HashMap<ServiceName, f64> {
        let capacities = capacities.iter();
        capacities
            .map(|(service, capacity)| {
                let correction = self.corrections.get(service).copied().unwrap_or(1.0);
                let room = capacity.slots * TARGET_UTILISATION * correction;
                (service.clone(), room)
            })
            .collect()
    }

    /// Deducts the part of each room that is lost to calls which the servers refuse for good.
    ///
    /// The minimum fractions come before it, so that no kind starves and the end of the refusals
    /// is noticed also when the servers refused every call.
    fn deduct_lost_rooms(
        &self,
        rooms: &HashMap<ServiceName, f64>,
        remaining: &mut HashMap<ServiceName, f64>,
    ) {
        for (service, room) in rooms {
            let lost = room * self.refusals.lost_share(service);
            if let Some(free) = remaining.get_mut(service) {
                *free -= lost;
            }
        }
    }

    /// Describes the inputs of the plan in one line: the capacity of each service, and the
    /// rate, admitted fraction (in thousandths) and slot seconds of each kind.
    #[must_use]
    pub fn explain(&self, plan: &[EntryShare]) -> String {
        let mut line = String::new();
        for (service, capacity) in self.capacities() {
            let trim = self.corrections.get(&service).copied().unwrap_or(1.0);
            let used = capacity.used_slots / capacity.slots.max(1.0);
            let slots = capacity.slots;
            let _ = write!(
                line,
                "{service}:slots={slots:.0},used={used:.2},trim={trim:.2}"
            );
            let lost = self.refusals.lost_share(&service);
            if lost > 0.0 {
                let _ = write!(line, ",lost={lost:.2}");
            }
            line.push(' ');
        }
        for KindDemand { kind, rate, needs } in self.kinds_by_priority() {
            let share = plan.iter().find(|share| share.kind == kind);
            let part = share.map_or(0, |share| share.admitted_milli);
            let (route, team) = (&kind.route, kind.team_priority);
            let _ = write!(line, "{route}/{team}:rate={rate:.0},part={part}");
            for ServiceNeed {
                service, slot_s, ..
            } in needs
            {
                let _ = write!(line, ",{service}={slot_s:.3}");
            }
            line.push(' ');
        }
        line
    }

    fn capacities(&self) -> HashMap<ServiceName, ServiceCapacity> {
        let mut capacities: HashMap<ServiceName, ServiceCapacity> = HashMap::new();
        for state in self.nodes.values() {
            let capacity = capacities.entry(state.place.service.clone()).or_default();
            let slots = f64::from(state.place.slots) * state.speed.get();
            capacity.slots += slots;
            capacity.used_slots += slots * state.utilisation;
        }
        capacities
    }

    /// Returns the mean time between a plan and the middle of the windows that the reports cover.
    ///
    /// A node gets the plan with the answer to its report, on average half a window after it was
    /// computed, and its last window lies half a window before its last report.
    fn effect_delay(&self, now: Instant) -> Duration {
        let delays = self
            .nodes
            .values()
            .map(|state| now.saturating_duration_since(state.reported_at) + state.window);
        let count = u32::try_from(self.nodes.len()).unwrap_or(u32::MAX).max(1);
        delays.sum::<Duration>() / count
    }

    /// Adjusts the capacity corrections, so that the estimates of fan-out and service time
    /// need not be exact.
    ///
    /// The measured utilisation is scaled to the load of the last plan, whose effect the reports
    /// do not show yet; otherwise the same excess would be corrected several times.
    /// An integral controller drives bottlenecks to the target utilisation; the correction of
    /// any other service returns slowly to 1. So does that of a service whose servers refuse
    /// calls: refused calls hold no slots, and filling those would undo the reduced room.
    fn update_corrections(
        &mut self,
        capacities: &HashMap<ServiceName, ServiceCapacity>,
        ratios: &LoadRatios,
        elapsed: Duration,
    ) {
        let step = CORRECTION_PER_S * elapsed.as_secs_f64().min(1.0);
        for (service, capacity) in capacities {
            if capacity.slots <= 0.0 {
                continue;
            }
            let ratio = ratios.get(service).copied().unwrap_or(1.0);
            // The reports of entry nodes and of servers may be a window apart, which makes the
            // ratio of a plan that grows fast too large.
            let utilisation =
                (capacity.used_slots / capacity.slots * ratio).min(WorkReport::DEMAND_RATIO_MAX);
            let correction = self.corrections.entry(service.clone()).or_insert(1.0);
            let fills_slots =
                self.bottlenecks.contains(service) && self.refusals.lost_share(service) <= 0.0;
            if fills_slots || utilisation > TARGET_UTILISATION {
                *correction = (*correction + step * (TARGET_UTILISATION - utilisation))
                    .clamp(CORRECTION_MIN, CORRECTION_MAX);
            } else {
                *correction += 0.2 * step * (1.0 - *correction);
            }
        }
    }

    /// Returns the kinds of requests with their rates and needs, in the order of admission.
    fn kinds_by_priority(&self) -> Vec<KindDemand> {
        let mut rates: BTreeMap<RequestKind, f64> = BTreeMap::new();
        for state in self.nodes.values() {
            for (kind, rate) in &state.offered {
                *rates.entry(kind.clone()).or_default() += rate;
            }
        }
        let mut kinds: Vec<_> = rates
            .into_iter()
            .map(|(kind, rate)| {
                let needs = self.needs_of(&kind.route);
                KindDemand { kind, rate, needs }
            })
            .collect();
        sort_by_value(&mut kinds, &self.refusals);
        kinds
    }

    /// Returns what one request on a route needs of each service.
    fn needs_of(&self, route: &RouteName) -> Vec<ServiceNeed> {
        let mut needs: HashMap<ServiceName, (f64, f64)> = HashMap::new();
        let mut level: HashMap<RouteName, f64> = HashMap::from([(route.clone(), 1.0)]);
        for _ in 0..DEPTH_MAX {
            let mut next_level: HashMap<RouteName, f64> = HashMap::new();
            for (route, count) in level {
                if let Some(profile) = self.routes.get(&route) {
                    let (calls, slot_s) = needs.entry(profile.service.clone()).or_default();
                    *calls += count;
                    *slot_s += count * profile.service_time_s;
                }
                for (called, calls) in self.fanout.calls_per_run(&route) {
                    *next_level.entry(called.clone()).or_default() += count * calls;
                }
            }
            if next_level.is_empty() {
                break;
            }
            level = next_level;
        }
        let needs = needs.into_iter();
        needs
            .map(|(service, (calls, slot_s))| ServiceNeed {
                service,
                calls,
                slot_s,
            })
            .collect()
    }
}

/// Returns the fraction of every kind that is admitted first.
///
/// It is smaller when a service has lost most of its capacity, so that what is left goes to the
/// important kinds.
fn min_fraction(kinds: &[KindDemand], remaining: &HashMap<ServiceName, f64>) -> f64 {
    let mut loads: HashMap<&ServiceName, f64> = HashMap::new();
    for demand in kinds {
        for need in &demand.needs {
            *loads.entry(&need.service).or_default() += need.slot_s * demand.rate * MIN_FRACTION;
        }
    }
    let fractions = loads.into_iter().filter_map(|(service, load)| {
        let capacity = remaining.get(service)?.max(0.0) * MIN_FRACTION_CAPACITY;
        (load > capacity).then(|| MIN_FRACTION * capacity / load)
    });
    fractions.fold(MIN_FRACTION, f64::min)
}

/// Raises the fractions of the kinds in their order up to `target` where capacity remains, and
/// returns the services that limited some kind.
fn admit_up_to(
    target: f64,
    kinds: &[KindDemand],
    fractions: &mut [f64],
    remaining: &mut HashMap<ServiceName, f64>,
) -> Vec<ServiceName> {
    let mut limiting = Vec::new();
    for (demand, admitted) in kinds.iter().zip(fractions) {
        let wanted = target - *admitted;
        let (fraction, bottlenecks) = fitting_fraction(wanted, demand, remaining);
        *admitted += fraction;
        limiting.extend(bottlenecks);
        for need in &demand.needs {
            if let Some(free) = remaining.get_mut(&need.service) {
                *free -= need.slot_s * demand.rate * fraction;
            }
        }
    }
    limiting
}

/// Returns the fraction of a kind that fits into the remaining capacity, and the services that
/// limit it.
fn fitting_fraction(
    wanted: f64,
    demand: &KindDemand,
    remaining: &HashMap<ServiceName, f64>,
) -> (f64, Vec<ServiceName>) {
    let mut fraction = wanted;
    let mut bottlenecks = Vec::new();
    for need in &demand.needs {
        let Some(capacity) = remaining.get(&need.service) else {
            continue;
        };
        let load = need.slot_s * demand.rate;
        if load * wanted > *capacity && load > 0.0 {
            fraction = fraction.min(capacity.max(0.0) / load);
            bottlenecks.push(need.service.clone());
        }
    }
    (fraction, bottlenecks)
}
