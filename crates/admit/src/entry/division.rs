//! Division of the admitted requests of a kind among data centres and teams.

use std::collections::BTreeMap;

use model::entry::EntryShare;
use model::entry::RequestKind;
use model::ids::DataCentreName;
use model::ids::TeamName;
use model::share::to_milli;

use crate::entry::origins::OriginRate;

/// Minimum weight of an origin, relative to the mean weight.
const WEIGHT_MIN: f64 = 0.25;
/// Difference from the share of most teams below which a team has no share of its own, in
/// thousandths; plans stay small with many teams.
const SAME_SHARE_MILLI: u16 = 20;

/// Rates of one kind of request, by data centre and team.
#[derive(Clone, Debug, Default)]
pub(super) struct KindOrigins {
    by_data_centre: BTreeMap<DataCentreName, BTreeMap<TeamName, OriginRate>>,
}

impl KindOrigins {
    pub(super) fn add(&mut self, data_centre: &DataCentreName, team: &TeamName, rate: OriginRate) {
        let teams = self.by_data_centre.entry(data_centre.clone()).or_default();
        teams.insert(team.clone(), rate);
    }

    /// Returns the fraction of the requests that is not a burst of the kind as a whole.
    pub(super) fn regular_fraction(&self) -> f64 {
        let teams = self.by_data_centre.values().flat_map(BTreeMap::values);
        OriginRate::sum(teams.copied()).regular_fraction()
    }

    /// Divides the admitted `fraction` of the kind, first among data centres, then among teams.
    pub(super) fn shares(&self, kind: &RequestKind, fraction: f64) -> Vec<EntryShare> {
        let centres = self.by_data_centre.values();
        let centres = centres.map(|teams| OriginRate::sum(teams.values().copied()));
        let fractions = divide(fraction, &centres.collect::<Vec<_>>());
        let centres = self.by_data_centre.iter().zip(fractions);
        centres
            .flat_map(|((data_centre, teams), fraction)| {
                let rates: Vec<OriginRate> = teams.values().copied().collect();
                let parts: Vec<u16> = divide(fraction, &rates).into_iter().map(to_milli).collect();
                let common = most_common(&parts);
                let own = teams.keys().zip(parts);
                let own = own.filter(move |(_, part)| part.abs_diff(common) > SAME_SHARE_MILLI);
                let own = own.map(|(team, part)| (Some(team.clone()), part));
                [(None, common)]
                    .into_iter()
                    .chain(own)
                    .map(|(team, part)| EntryShare {
                        kind: kind.clone(),
                        team,
                        data_centre: data_centre.clone(),
                        admitted_milli: part,
                    })
            })
            .collect()
    }
}

fn most_common(parts: &[u16]) -> u16 {
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    for part in parts {
        *counts.entry(*part).or_default() += 1;
    }
    let most = counts.into_iter().max_by_key(|(_, count)| *count);
    most.map_or(to_milli(1.0), |(part, _)| part)
}

/// Divides an admitted fraction of all requests among their origins; returns that of each.
///
/// The division is max-min fair, weighted by usual rates: an origin that sends no more than its
/// usual part is served before one that sends more.
fn divide(fraction: f64, rates: &[OriginRate]) -> Vec<f64> {
    let usual = OriginRate::sum(rates.iter().copied()).usual;
    let weight_min = (WEIGHT_MIN * usual / rates.len().max(1) as f64).max(f64::MIN_POSITIVE);
    let origins = rates.iter();
    let origins = origins.map(|rate| (rate.expected(), rate.usual.max(weight_min)));
    let origins: Vec<(f64, f64)> = origins.collect();
    let level = |index: usize| origins[index].0 / origins[index].1;
    let mut order: Vec<usize> = (0..origins.len()).collect();
    order.sort_by(|a, b| level(*a).total_cmp(&level(*b)));
    let mut remaining = fraction * origins.iter().map(|(rate, _)| rate).sum::<f64>();
    let mut weights: f64 = origins.iter().map(|(_, weight)| weight).sum();
    let mut fractions = vec![1.0; origins.len()];
    for index in order {
        let (rate, weight) = origins[index];
        let part = remaining.max(0.0) * weight / weights.max(weight);
        if rate > part {
            fractions[index] = part / rate;
        }
        remaining -= rate.min(part);
        weights -= weight;
    }
    fractions
}
