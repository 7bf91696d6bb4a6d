//! Computes how many calls of one service should leave each data centre, from its load alone.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use model::ids::DataCentreName;

use super::estimate::RouteWork;
use super::estimate::SiteLoads;

/// Utilisation of its own slots from which a data centre sends calls to others, and up to which it
/// takes calls of others. A level that rises with the demand of all moved more calls without fewer
/// refusals.
const TARGET_UTILISATION: f64 = 0.85;
/// Utilisation from which a data centre takes no more calls than it is planned to get already.
const FULL_UTILISATION: f64 = 1.0;

/// Shares of the calls of one service by origin and destination, as fractions.
pub(super) type ShareTable = BTreeMap<(DataCentreName, DataCentreName), f64>;

/// What leaves a data centre because servers elsewhere answer sooner.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerShare {
    /// Fraction of the calls.
    pub(super) fraction: f64,
    /// Data centres that answer sooner by more than it costs to leave.
    pub(super) destinations: BTreeSet<DataCentreName>,
}

/// Capacity and demand of one service in one data centre, in calls per second.
#[derive(Clone, Debug)]
struct SiteRoom {
    name: DataCentreName,
    capacity: f64,
    demand: f64,
    /// Calls that should leave for lack of capacity.
    excess: f64,
    /// Further calls that should leave for sooner answers, and where these are given.
    for_latency: f64,
    sooner_at: BTreeSet<DataCentreName>,
    /// Calls of others that can be taken.
    free: f64,
}

impl SiteRoom {
    fn has_servers(&self) -> bool {
        self.capacity > 0.0
    }
}

/// Returns the shares that would serve the present demand, for one service; `None` while no service
/// time is known.
///
/// `answer_shares` are the fractions that leave because servers elsewhere answer sooner;
/// `arriving` are the planned calls per second that each data centre gets from others now.
pub(super) fn target_shares(
    sites: &SiteLoads,
    answer_shares: &BTreeMap<DataCentreName, AnswerShare>,
    arriving: &BTreeMap<DataCentreName, f64>,
) -> Option<ShareTable> {
    let mut rooms = site_rooms(sites)?;
    for room in &mut rooms {
        let stays = TARGET_UTILISATION * room.capacity;
        room.excess = (room.demand - stays).max(0.0);
        if let Some(answer) = answer_shares.get(&room.name) {
            room.for_latency = (answer.fraction * room.demand - room.excess).max(0.0);
            room.sooner_at.clone_from(&answer.destinations);
        }
        if room.excess + room.for_latency <= 0.0 {
            room.free = stays - room.demand;
            let site = &sites[&room.name];
            if site.busy_slots >= FULL_UTILISATION * site.slots {
                // What was estimated to be free is in use, by calls outside the plan.
                let arriving = arriving.get(&room.name).copied().unwrap_or(0.0);
                room.free = room.free.min(arriving);
            }
        }
    }
    Some(distribute(&rooms))
}

/// Returns capacities and demands; `None` while no service time is known.
fn site_rooms(sites: &SiteLoads) -> Option<Vec<SiteRoom>> {
    let mut all = RouteWork::default();
    for site in sites.values() {
        let work = site.work();
        all.busy_s += work.busy_s;
        all.count += work.count;
    }
    let usual_s = all.mean_s().filter(|&mean_s| mean_s > 0.0)?;
    let rooms = sites.iter().map(|(name, site)| {
        let known_s = site.work().mean_s().filter(|&mean_s| mean_s > 0.0);
        SiteRoom {
            name: name.clone(),
            capacity: site.slots / known_s.unwrap_or(usual_s),
            demand: site.sent_per_s,
            excess: 0.0,
            for_latency: 0.0,
            sooner_at: BTreeSet::new(),
            free: 0.0,
        }
    });
    Some(rooms.collect())
}

/// Distributes what leaves in proportion to what is free.
///
/// Calls of a data centre without servers come first, then those that lack capacity. What of the
/// first exceeds the free capacity is distributed in proportion to all capacity: it has to run
/// somewhere.
fn distribute(rooms: &[SiteRoom]) -> ShareTable {
    let total = |amount: fn(&SiteRoom) -> f64| rooms.iter().map(amount).sum::<f64>();
    let free = total(|room| room.free);
    let capacity = total(|room| room.capacity);
    let displaced = total(|room| if room.has_servers() { 0.0 } else { room.demand });
    let excess = total(|room| if room.has_servers() { room.excess } else { 0.0 });
    let fitting = fraction((free - displaced).max(0.0), excess);
    let unused = 1.0 - fraction(displaced + excess, free);
    let for_latency = total(|room| room.for_latency);
    let fitting_for_latency = fraction(free * unused, for_latency);
    let fitting_displaced = fraction(free, displaced);
    let mut shares = ShareTable::new();
    for origin in rooms.iter().filter(|room| room.demand > 0.0) {
        let sooner = rooms.iter();
        let sooner = sooner.filter(|room| origin.sooner_at.contains(&room.name));
        let sooner_free: f64 = sooner.map(|room| room.free).sum();
        let moving = (origin.for_latency * fitting_for_latency).min(sooner_free * unused);
        for destination in rooms.iter().filter(|room| room.has_servers()) {
            let of_free = fraction(destination.free, free);
            let share = if origin.has_servers() {
                let is_sooner = origin.sooner_at.contains(&destination.name);
                let of_sooner =
                    f64::from(u8::from(is_sooner)) * fraction(destination.free, sooner_free);
                (origin.excess * fitting * of_free + moving * of_sooner) / origin.demand
            } else {
                fitting_displaced * of_free
                    + (1.0 - fitting_displaced) * destination.capacity / capacity
            };
            if share > 0.0 && origin.name != destination.name {
                let key = (origin.name.clone(), destination.name.clone());
                shares.insert(key, share);
            }
        }
    }
    shares
}

/// Returns which fraction of `whole` `part` is, at most 1.
fn fraction(part: f64, whole: f64) -> f64 {
    (part / whole.max(f64::MIN_POSITIVE)).min(1.0)
}
