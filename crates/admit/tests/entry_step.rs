//! Entry admission after a step of the load, over 3 unequal servers whose work takes longer under
//! load.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::EntryPlanner;
use model::entry::OfferedRequests;
use model::entry::RequestKind;
use model::entry::RouteExecutions;
use model::entry::ServerCapacity;
use model::entry::WorkReport;
use model::ids::RouteName;

const SLOTS: f64 = 105.0;
const SPEEDS: [f64; 3] = [0.5, 1.0, 1.5];
/// Service time of an idle server of usual speed, in seconds.
const IDLE_S: f64 = 0.1;
/// Largest ratio of the service time to that of an idle server.
const STRETCH: f64 = 2.3;
const TICK_MS: u32 = 100;
const TICK_S: f64 = 0.1;
/// Ticks between two reports of a node, which take turns.
const REPORT_TICKS: usize = 3;
/// Utilisation that the plan aims at.
const TARGET: f64 = 0.93;

/// Calls per second that all servers complete at a utilisation.
fn throughput(utilisation: f64) -> f64 {
    let slots: f64 = SPEEDS.iter().map(|speed| SLOTS * speed).sum();
    slots * utilisation / service_time_s(utilisation)
}

fn service_time_s(utilisation: f64) -> f64 {
    IDLE_S * (1.0 + (STRETCH - 1.0) * utilisation)
}

/// Returns the utilisation at which the servers complete `per_s` calls, 1 at the most.
fn utilisation_at(per_s: f64) -> f64 {
    let steps = (0..=1_000).map(|step| f64::from(step) / 1_000.0);
    let mut enough = steps.skip_while(|step| throughput(*step) < per_s);
    enough.next().unwrap_or(1.0)
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
    fn report(self, ticks: u32) -> WorkReport {
        let route = RouteName::from("quote");
        WorkReport {
            window_ms: ticks * TICK_MS,
            offered: vec![OfferedRequests {
                kind: RequestKind {
                    route_priority: 1,
                    team_priority: 0,
                    route: route.clone(),
                },
                count: whole(self.offered),
            }],
            runs: vec![RouteExecutions {
                route,
                started: whole(self.done),
                refused: 0,
                count: whole(self.done),
                busy_ms: whole(self.busy_s * 1000.0),
            }],
            refused: whole(self.refused),
            ..WorkReport::default()
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small counts"
)]
fn whole(count: f64) -> u32 {
    count.round() as u32
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
        let now = start + Duration::from_millis(u64::from(TICK_MS)) * u32::try_from(tick).unwrap();
        let node = tick % REPORT_TICKS;
        let work = std::mem::take(&mut nodes[node].0).report(3);
        let place = ServerCapacity {
            service: Arc::from("quotes"),
            slots: whole(SLOTS),
        };
        planner.add_report(node as u64, place, &work, now);
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
