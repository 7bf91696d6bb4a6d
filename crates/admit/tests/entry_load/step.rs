//! A step of the load at 3 unequal servers whose work takes longer under load.

use std::time::Duration;
use std::time::Instant;

use admit::EntryPlanner;
use model::entry::WorkReport;

use crate::support::WINDOW_MS;
use crate::support::offer;
use crate::support::place;
use crate::support::run;

const SLOTS: f64 = 105.0;
const SPEEDS: [f64; 3] = [0.5, 1.0, 1.5];
/// Calls per second that the servers would complete if work took no longer under load.
const IDLE_PER_S: f64 = 3_150.0;
/// Increase of the service time at full utilisation, to 2.3 times that of idle servers.
const STRETCH: f64 = 1.3;
const TICK_S: f64 = 0.1;
/// Utilisation that the plan aims at.
const TARGET: f64 = 0.93;

/// Calls per second that all servers complete at a utilisation.
fn throughput(utilisation: f64) -> f64 {
    IDLE_PER_S * utilisation / (1.0 + STRETCH * utilisation)
}

/// Returns the utilisation at which the servers complete `per_s` calls, 1 at the most.
fn utilisation_at(per_s: f64) -> f64 {
    (per_s / (IDLE_PER_S - STRETCH * per_s).max(per_s)).min(1.0)
}

/// Counts of one node since its last report.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    offered: f64,
    done: f64,
    busy_s: f64,
    refused: f64,
}

impl Counts {
    fn report(self) -> WorkReport {
        let busy_ms = self.busy_s * 1000.0 / self.done.max(1.0);
        WorkReport {
            window_ms: WINDOW_MS,
            offered: vec![offer("quote", 1, self.offered)],
            runs: vec![run("quote", self.done, 0.0, busy_ms)],
            refused: run("quote", self.refused, 0.0, 0.0).count,
            ..WorkReport::default()
        }
    }
}

/// Replays offered loads, one for each tick, relative to what the servers do at the target.
///
/// Returns the admitted load in each tick, relative to the same.
fn replay(loads: &[f64]) -> Vec<f64> {
    let (mut planner, start) = (EntryPlanner::default(), Instant::now());
    let mut nodes = [(Counts::default(), 1.0); 3];
    let mut admitted = Vec::new();
    for (tick, load) in loads.iter().enumerate() {
        let offered = load * throughput(TARGET) * TICK_S;
        let parts = nodes.iter().map(|(_, part)| part / 3.0);
        let entered = offered * parts.sum::<f64>();
        admitted.push(entered / (throughput(TARGET) * TICK_S));
        let utilisation = utilisation_at(entered / TICK_S);
        let done = throughput(utilisation) * TICK_S;
        for ((counts, _), speed) in nodes.iter_mut().zip(SPEEDS) {
            let share = speed / SPEEDS.iter().sum::<f64>();
            counts.offered += offered / 3.0;
            counts.done += done * share;
            counts.busy_s += SLOTS * utilisation * TICK_S;
            counts.refused += (entered - done).max(0.0) * share;
        }
        let now = start + Duration::from_millis(100 * tick as u64);
        let node = tick % 3;
        let work = std::mem::take(&mut nodes[node].0).report();
        planner.add_report(node as u64, place("quotes", 105), &work, now);
        let plan = planner.plan(now);
        nodes[node].1 = f64::from(plan[0].admitted_milli) / 1000.0;
    }
    admitted
}

/// Guards against a plan that corrects the same excess again before the reports show the effect of
/// the first correction, and so admits half of what the servers can do after a step of the load.
#[test]
fn the_plan_settles_within_three_seconds_of_a_step() {
    for step in [1.5, 2.3, 4.0] {
        let loads: Vec<f64> = (0..130)
            .map(|tick| if tick < 40 { 0.4 } else { step })
            .collect();
        let admitted = replay(&loads);
        let settled = admitted[40..].iter().position(|load| *load <= 1.15);
        let settled = 40 + settled.unwrap();
        assert!(settled < 70, "{step}: {admitted:.2?}");
        for load in &admitted[settled..] {
            assert!((0.85..=1.15).contains(load), "{step}: {admitted:.2?}");
        }
    }
}
