//! Allocation of the capacity of services to kinds of requests, in whole requests.

use std::collections::HashMap;

use model::ids::ServiceName;

use crate::entry::demand::KindDemand;

/// Fraction of every kind that is admitted before more important kinds are admitted in full,
/// so that no kind and no team starves.
const MIN_FRACTION: f64 = 0.15;
/// Fraction of a service's capacity that these minimum fractions may take together.
const MIN_FRACTION_CAPACITY: f64 = 0.7;

/// Slots of each service that the plan may fill.
pub(super) type ServiceRooms = HashMap<ServiceName, f64>;

/// Returns the services whose room all requests together exceed, with that room.
pub(super) fn scarce_rooms(kinds: &[KindDemand], rooms: &ServiceRooms) -> ServiceRooms {
    let mut loads: HashMap<&ServiceName, f64> = HashMap::new();
    for demand in kinds {
        for need in &demand.needs {
            *loads.entry(&need.service).or_default() += need.slot_s * demand.rate;
        }
    }
    let rooms = rooms.iter();
    rooms
        .filter(|(service, room)| loads.get(*service).is_some_and(|load| load > *room))
        .map(|(service, room)| (service.clone(), *room))
        .collect()
}

/// Returns the fraction of every kind that is admitted first.
///
/// It is smaller when a service has lost most of its capacity, so that what is left goes to the
/// important kinds.
pub(super) fn min_fraction(kinds: &[KindDemand], remaining: &ServiceRooms) -> f64 {
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

/// Raises the fractions of the kinds in their order up to their target where capacity remains, and
/// returns the services that limited some kind.
pub(super) fn admit_up_to(
    target: impl Fn(&KindDemand) -> f64,
    kinds: &[KindDemand],
    fractions: &mut [f64],
    remaining: &mut ServiceRooms,
) -> Vec<ServiceName> {
    let mut limiting = Vec::new();
    for (demand, admitted) in kinds.iter().zip(fractions) {
        let wanted = (target(demand) - *admitted).max(0.0);
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
    remaining: &ServiceRooms,
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
