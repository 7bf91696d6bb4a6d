//! The leader's plan: which part of each kind of request may enter.

use std::collections::BTreeMap;
use std::collections::HashMap;
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

use crate::door::cost::CallCosts;

/// Part of the slots that the plan fills.
const FILL_PART: f64 = 0.93;
/// Part of a rate that a window leaves when the rate falls; a rate that rises counts at once.
const RATE_KEPT: f64 = 0.7;
/// Weight of the newest window in times.
const TIME_WEIGHT: f64 = 0.1;
/// Part of every kind that enters before more important kinds get all they ask for,
/// so that no kind and no team starves.
const FLOOR_PART: f64 = 0.15;
/// Part of a service's room that such parts may take together.
const FLOOR_ROOM: f64 = 0.7;
/// Correction of a service's room for each second and unit of unused slots.
const TRIM_PER_S: f64 = 0.8;
/// Smallest and largest such correction.
const TRIM_MIN: f64 = 0.4;
const TRIM_MAX: f64 = 1.5;
/// Most that refused calls raise what a service is taken to be asked for.
const PRESSURE_MAX: f64 = 2.5;
/// Time after which a node's report counts no more, in milliseconds.
const STALE_MS: u64 = 1_500;
/// Depth of calls below a request, at the most.
const DEPTH_MAX: usize = 6;
/// Thousandths of a whole.
const MILLI: f64 = 1000.0;

/// A kind with its rate, and the slot seconds that one request needs of each service.
type PlannedKind = (RequestKind, f64, Vec<(ServiceName, f64)>);

#[derive(Clone, Debug)]
struct NodeWork {
    place: ServerCapacity,
    /// Requests per second that ask to enter here.
    offered: BTreeMap<RequestKind, f64>,
    /// Part of the slots that the calls of the last window asked for; above 1 when some
    /// were refused.
    used: f64,
    seen: Instant,
}

/// Calls on one route: where they run and for how long.
#[derive(Clone, Debug)]
struct RouteWork {
    service: ServiceName,
    time_s: f64,
}

/// Room of one service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceRoom {
    slots: f64,
    used: f64,
}

/// Plans at the leader which part of each kind of request may enter.
#[derive(Clone, Debug, Default)]
pub struct DoorPlanner {
    nodes: HashMap<NodeId, NodeWork>,
    routes: HashMap<RouteName, RouteWork>,
    costs: CallCosts,
    trims: HashMap<ServiceName, f64>,
    /// Services whose room bound some kind in the last plan.
    scarce: Vec<ServiceName>,
    planned: Option<Instant>,
}

impl DoorPlanner {
    /// Takes what a node saw.
    pub fn report(&mut self, node: NodeId, place: ServerCapacity, work: &WorkReport, now: Instant) {
        let window_s = f64::from(work.window_ms.max(1)) / MILLI;
        for run in work.runs.iter().filter(|run| run.count > 0) {
            let time_s = f64::from(run.busy_ms) / f64::from(run.count) / MILLI;
            let known = self.routes.entry(run.route.clone());
            let known = known.or_insert_with(|| RouteWork {
                service: place.service.clone(),
                time_s,
            });
            known.service = place.service.clone();
            known.time_s += TIME_WEIGHT * (time_s - known.time_s);
        }
        self.costs.learn(&work.runs, &work.calls);
        let busy_s: f64 = work
            .runs
            .iter()
            .map(|run| f64::from(run.busy_ms) / MILLI)
            .sum();
        let used = busy_s / window_s / f64::from(place.slots.max(1)) * pressure(work);
        let mut offered = self
            .nodes
            .remove(&node)
            .map_or_else(BTreeMap::new, |known| known.offered);
        for rate in offered.values_mut() {
            *rate *= RATE_KEPT;
        }
        for kind in &work.offered {
            let rate = f64::from(kind.count) / window_s;
            let known = offered.entry(kind.kind.clone()).or_default();
            *known = if rate > *known {
                rate
            } else {
                *known + (1.0 - RATE_KEPT) * rate
            };
        }
        let entry = NodeWork {
            place,
            offered,
            used,
            seen: now,
        };
        self.nodes.insert(node, entry);
    }

    /// Returns the part of each kind that may enter from now on.
    pub fn plan(&mut self, now: Instant) -> Vec<EntryShare> {
        let stale = Duration::from_millis(STALE_MS);
        self.nodes
            .retain(|_, work| now.saturating_duration_since(work.seen) < stale);
        let rooms = self.rooms();
        self.trim(&rooms, now);
        let mut left: HashMap<ServiceName, f64> = rooms
            .iter()
            .map(|(service, room)| {
                let trim = self.trims.get(service).copied().unwrap_or(1.0);
                (service.clone(), room.slots * FILL_PART * trim)
            })
            .collect();
        let kinds = self.kinds();
        let mut parts = vec![0.0; kinds.len()];
        self.scarce.clear();
        let floor = floor_part(&kinds, &left);
        for most in [floor, 1.0] {
            for (position, (_, rate, needs)) in kinds.iter().enumerate() {
                let wanted = most - parts[position];
                let (part, scarce) = fitting(wanted, *rate, needs, &left);
                parts[position] += part;
                if most >= 1.0 {
                    self.scarce.extend(scarce);
                }
                for (service, need) in needs {
                    if let Some(room) = left.get_mut(service) {
                        *room -= need * rate * part;
                    }
                }
            }
        }
        let shares = kinds.into_iter().zip(parts);
        shares
            .map(|((kind, _, _), part)| EntryShare {
                kind,
                admitted_milli: milli(part),
            })
            .collect()
    }

    /// Returns in one line what the plan rests on: the room of each service,
    /// and rate, needs and part of each kind.
    #[must_use]
    pub fn explain(&self, plan: &[EntryShare]) -> String {
        let mut line = String::new();
        for (service, room) in self.rooms() {
            let trim = self.trims.get(&service).copied().unwrap_or(1.0);
            let used = room.used / room.slots.max(1.0);
            let slots = room.slots;
            let _ = write!(
                line,
                "{service}:slots={slots:.0},used={used:.2},trim={trim:.2} "
            );
        }
        for (kind, rate, needs) in self.kinds() {
            let share = plan.iter().find(|share| share.kind == kind);
            let part = share.map_or(0, |share| share.admitted_milli);
            let (route, team) = (&kind.route, kind.team_priority);
            let _ = write!(line, "{route}/{team}:rate={rate:.0},part={part}");
            for (service, need) in needs {
                let _ = write!(line, ",{service}={need:.3}");
            }
            line.push(' ');
        }
        line
    }

    fn rooms(&self) -> HashMap<ServiceName, ServiceRoom> {
        let mut rooms: HashMap<ServiceName, ServiceRoom> = HashMap::new();
        for work in self.nodes.values() {
            let room = rooms.entry(work.place.service.clone()).or_default();
            let slots = f64::from(work.place.slots);
            room.slots += slots;
            room.used += slots * work.used;
        }
        rooms
    }

    /// Corrects the room of scarce services, so that what is learned of costs
    /// and times need not be exact.
    fn trim(&mut self, rooms: &HashMap<ServiceName, ServiceRoom>, now: Instant) {
        let elapsed = self
            .planned
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.planned = Some(now);
        let step = TRIM_PER_S * elapsed.as_secs_f64().min(1.0);
        for (service, room) in rooms {
            if room.slots <= 0.0 {
                continue;
            }
            let used = room.used / room.slots;
            let trim = self.trims.entry(service.clone()).or_insert(1.0);
            if self.scarce.contains(service) || used > FILL_PART {
                *trim = (*trim + step * (FILL_PART - used)).clamp(TRIM_MIN, TRIM_MAX);
            } else {
                *trim += 0.2 * step * (1.0 - *trim);
            }
        }
    }

    /// Returns the kinds of requests with their rates and what one request
    /// needs of each service, the most important first and the cheapest first among equals.
    fn kinds(&self) -> Vec<PlannedKind> {
        let mut rates: BTreeMap<RequestKind, f64> = BTreeMap::new();
        for work in self.nodes.values() {
            for (key, rate) in &work.offered {
                *rates.entry(key.clone()).or_default() += rate;
            }
        }
        let mut kinds: Vec<_> = rates
            .into_iter()
            .map(|(kind, rate)| {
                let needs = self.needs(&kind.route);
                (kind, rate, needs)
            })
            .collect();
        let total =
            |needs: &[(ServiceName, f64)]| -> f64 { needs.iter().map(|(_, need)| need).sum() };
        kinds.sort_by(|(a, _, a_needs), (b, _, b_needs)| {
            let order = |kind: &RequestKind| (kind.route_priority, kind.team_priority);
            order(a)
                .cmp(&order(b))
                .then(total(a_needs).total_cmp(&total(b_needs)))
        });
        kinds
    }

    /// Returns the slot seconds that one request needs of each service.
    fn needs(&self, route: &RouteName) -> Vec<(ServiceName, f64)> {
        let mut needs: HashMap<ServiceName, f64> = HashMap::new();
        let mut level: HashMap<RouteName, f64> = HashMap::from([(route.clone(), 1.0)]);
        for _ in 0..DEPTH_MAX {
            let mut below: HashMap<RouteName, f64> = HashMap::new();
            for (route, count) in level {
                if let Some(work) = self.routes.get(&route) {
                    *needs.entry(work.service.clone()).or_default() += count * work.time_s;
                }
                for (called, calls) in self.costs.of(&route) {
                    *below.entry(called.clone()).or_default() += count * calls;
                }
            }
            if below.is_empty() {
                break;
            }
            level = below;
        }
        needs.into_iter().collect()
    }
}

/// Returns how many times the calls that ran were asked for.
///
/// Slots in use say nothing of that once all are: a full service looks the same
/// under any load.
fn pressure(work: &WorkReport) -> f64 {
    let started: u32 = work.runs.iter().map(|run| run.started).sum();
    let refused = f64::from(work.refused) / f64::from(started.max(1));
    (1.0 + refused).min(PRESSURE_MAX)
}

/// Returns the part of every kind that enters first, smaller where a service has lost most
/// of its room, so that what is left goes to the important kinds.
fn floor_part(kinds: &[PlannedKind], room: &HashMap<ServiceName, f64>) -> f64 {
    let mut loads: HashMap<&ServiceName, f64> = HashMap::new();
    for (_, rate, needs) in kinds {
        for (service, need) in needs {
            *loads.entry(service).or_default() += need * rate * FLOOR_PART;
        }
    }
    let fitting = loads.into_iter().filter_map(|(service, load)| {
        let room = room.get(service)?.max(0.0) * FLOOR_ROOM;
        (load > room).then(|| FLOOR_PART * room / load)
    });
    fitting.fold(FLOOR_PART, f64::min)
}

/// Returns the part of a kind that fits into what is left, and the services that bound it.
fn fitting(
    wanted: f64,
    rate: f64,
    needs: &[(ServiceName, f64)],
    left: &HashMap<ServiceName, f64>,
) -> (f64, Vec<ServiceName>) {
    let mut part = wanted;
    let mut scarce = Vec::new();
    for (service, need) in needs {
        let Some(room) = left.get(service) else {
            continue;
        };
        let load = need * rate;
        if load * wanted > *room && load > 0.0 {
            part = part.min(room.max(0.0) / load);
            scarce.push(service.clone());
        }
    }
    (part, scarce)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part lies between 0 and 1"
)]
fn milli(part: f64) -> u16 {
    (part.clamp(0.0, 1.0) * MILLI).round() as u16
}
