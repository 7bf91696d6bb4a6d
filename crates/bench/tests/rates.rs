//! Bounds on requests refused although their team was within its rate.

use std::time::Duration;

use bench::experiment::rates;
use bench::experiment::rates::DemandShape;
use bench::experiment::rates::RateCase;
use bench::experiment::scenario::TeamRate;

const SEEDS: [u64; 3] = [1, 2, 3];
const NODES: [usize; 3] = [1, 18, 180];
const TOTAL: Duration = Duration::from_mins(1);

/// Runs all cases and fails if any refuses more than `share_max` or admits more than the rate.
fn check(shape: DemandShape, rates_per_s: &[f64], share_max: f64) {
    let mut missed = Vec::new();
    for per_s in rates_per_s {
        for nodes in NODES {
            let rate = TeamRate {
                per_s: *per_s,
                burst: per_s.max(1.0),
            };
            let case = RateCase {
                rate,
                nodes,
                shape,
                total: TOTAL,
            };
            let figures = SEEDS.map(|seed| rates::measure(case, seed));
            assert!(figures.iter().all(|figures| figures.over_issued == 0));
            let within_rate: u64 = figures.iter().map(|figures| figures.within_rate).sum();
            let refused: u64 = figures.iter().map(|figures| figures.refused).sum();
            if refused as f64 > share_max * within_rate as f64 {
                missed.push(format!(
                    "{per_s}/s, {nodes} nodes: {refused} of {within_rate}"
                ));
            }
        }
    }
    assert!(missed.is_empty(), "bound missed by {missed:#?}");
}

#[test]
fn evenly_spread_teams_are_refused_once_in_a_thousand_at_most() {
    check(DemandShape::Even, &[50.0, 500.0, 5000.0], 0.001);
}

#[test]
fn evenly_spread_teams_of_tiny_rate_are_refused_once_in_a_thousand_at_most() {
    check(DemandShape::Even, &[0.5, 5.0], 0.001);
}

#[test]
fn bursts_that_move_are_refused_once_in_a_hundred_at_most() {
    check(DemandShape::Moving, &[5.0, 50.0, 500.0, 5000.0], 0.01);
}
