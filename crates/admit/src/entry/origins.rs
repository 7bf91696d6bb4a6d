//! Where requests of a kind come from, their usual rates, and how the kind's share is divided.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use model::entry::RequestKind;
use model::ids::DataCentreName;
use model::ids::TeamName;

/// Time constant with which the usual rate of an origin follows its rate, in seconds.
const USUAL_S: f64 = 30.0;
/// Ratio to the usual rate up to which an origin's rate counts for the usual one.
///
/// The usual rate thus rises by less than 1% in a second, so that a burst of 8 s hardly changes it.
const RISE_RATIO: f64 = 1.25;
/// Ratio to the usual rate of a kind up to which its rate is not a burst, since rates vary by
/// chance.
const BURST_RATIO: f64 = 1.1;
/// Rate below which an origin without requests is forgotten, in requests per second.
const FORGET_RATE: f64 = 0.01;
/// Minimum weight of an origin, relative to the mean weight of the origins of its kind.
const WEIGHT_MIN: f64 = 0.25;

/// A team whose callers send requests of a kind to the nodes of a data centre.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct RequestOrigin {
    pub(super) kind: RequestKind,
    pub(super) team: TeamName,
    pub(super) data_centre: DataCentreName,
}

/// Requests per second from one origin.
#[derive(Clone, Debug)]
pub(super) struct OriginDemand {
    pub(super) team: TeamName,
    pub(super) data_centre: DataCentreName,
    pub(super) rate: f64,
    /// Mean rate of the past.
    pub(super) usual: f64,
}

/// Returns the fraction of a kind's requests that is not a burst.
pub(super) fn regular_fraction(origins: &[OriginDemand]) -> f64 {
    let rate: f64 = origins.iter().map(|origin| origin.rate).sum();
    let usual: f64 = origins.iter().map(|origin| origin.usual).sum();
    (BURST_RATIO * usual / rate.max(f64::MIN_POSITIVE)).min(1.0)
}

/// Usual rate of one origin.
#[derive(Clone, Copy, Debug, Default)]
struct UsualRate {
    mean: f64,
    /// Time since the first request, up to the time constant.
    age: Duration,
}

impl UsualRate {
    /// Adds the rate of the last `elapsed`.
    fn update(&mut self, rate: f64, elapsed: Duration) {
        let settled = Duration::from_secs_f64(USUAL_S);
        let is_settled = self.age >= settled;
        self.age = (self.age + elapsed).min(settled);
        if self.age.is_zero() {
            self.mean = rate;
            return;
        }
        // Until then, the mean is that of the time since the first request.
        let counted = if is_settled {
            rate.min(self.mean * RISE_RATIO)
        } else {
            rate
        };
        let weight = elapsed.div_duration_f64(self.age);
        self.mean += weight * (counted - self.mean);
    }
}

/// Usual rates of all origins.
///
/// Load pattern: one team, data centre or kind sends several times its usual rate for some
/// seconds. A new leader takes the rates that it meets as usual, and so does any leader for the
/// first seconds of a new origin.
#[derive(Clone, Debug, Default)]
pub(super) struct UsualRates {
    rates: HashMap<RequestOrigin, UsualRate>,
    updated_at: Option<Instant>,
}

impl UsualRates {
    /// Updates the usual rates with the present ones; a known origin without one counts as 0.
    pub(super) fn update(&mut self, present: &BTreeMap<RequestOrigin, f64>, now: Instant) {
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(updated_at);
        for (origin, usual) in &mut self.rates {
            let rate = present.get(origin).copied().unwrap_or(0.0);
            usual.update(rate, elapsed);
        }
        for (origin, rate) in present {
            if !self.rates.contains_key(origin) {
                let mut usual = UsualRate::default();
                usual.update(*rate, Duration::ZERO);
                self.rates.insert(origin.clone(), usual);
            }
        }
        self.rates
            .retain(|origin, usual| usual.mean > FORGET_RATE || present.contains_key(origin));
    }

    /// Returns the usual rate of an origin.
    pub(super) fn usual(&self, origin: &RequestOrigin) -> f64 {
        self.rates.get(origin).map_or(0.0, |usual| usual.mean)
    }
}

/// Divides an admitted rate among the origins of a kind; returns the admitted fraction of each.
///
/// The division is max-min fair, weighted by usual rates: an origin that sends no more than its
/// usual part is served in full before one that sends more.
pub(super) fn divide(admitted_rate: f64, origins: &[OriginDemand]) -> Vec<f64> {
    let usual: f64 = origins.iter().map(|origin| origin.usual).sum();
    let weight_min = (WEIGHT_MIN * usual / origins.len().max(1) as f64).max(f64::MIN_POSITIVE);
    let weight = |index: usize| origins[index].usual.max(weight_min);
    let level = |index: usize| origins[index].rate / weight(index);
    let mut order: Vec<usize> = (0..origins.len()).collect();
    order.sort_by(|a, b| level(*a).total_cmp(&level(*b)));
    let mut fractions = vec![1.0; origins.len()];
    let mut remaining = admitted_rate;
    let mut weights: f64 = order.iter().map(|index| weight(*index)).sum();
    for index in order {
        let OriginDemand { rate, .. } = origins[index];
        let given = rate.min(remaining.max(0.0) * weight(index) / weights);
        if rate > 0.0 {
            fractions[index] = given / rate;
        }
        remaining -= given;
        weights -= weight(index);
    }
    fractions
}
