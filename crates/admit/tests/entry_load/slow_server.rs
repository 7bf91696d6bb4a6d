//! One of three servers becomes 2.5 times slower under a load that needs all three.

use std::time::Duration;
use std::time::Instant;

use admit::EntryPlanner;
use model::context::ServerPace;
use model::entry::ServerCapacity;
use model::entry::WorkReport;

use crate::support::WINDOW_MS;
use crate::support::offer;
use crate::support::place;
use crate::support::run;

const SLOTS: f64 = 105.0;
const SERVICE_S: f64 = 0.03;
const OFFERED_PER_S: f64 = 20_000.0;
/// Tick of 100 ms at which the first server becomes slower.
const SLOW_FROM: u32 = 100;
const TICK_S: f64 = 0.1;

/// Returns the admitted load relative to the capacity, in each tick.
fn replay(reports_pace: bool) -> Vec<f64> {
    let (mut planner, start) = (EntryPlanner::default(), Instant::now());
    let mut parts = [1.0; 3];
    let mut loads = Vec::new();
    for tick in 0..200 {
        let percent = if tick < SLOW_FROM { 100 } else { 250 };
        let speeds = [100.0 / f64::from(percent), 1.0, 1.0];
        let capacity = speeds.iter().sum::<f64>() * SLOTS / SERVICE_S;
        let admitted = OFFERED_PER_S * parts.iter().sum::<f64>() / 3.0;
        loads.push(admitted / capacity);
        let node = (tick % 3) as usize;
        let rate = admitted.min(capacity) * speeds[node] / speeds.iter().sum::<f64>();
        let window_s = f64::from(WINDOW_MS) / 1_000.0;
        let refused = (admitted - capacity).max(0.0) / 3.0 * window_s;
        let busy_ms = SERVICE_S * 1_000.0 / speeds[node];
        let work = WorkReport {
            window_ms: WINDOW_MS,
            offered: vec![offer("quote", 1, OFFERED_PER_S / 3.0 * window_s)],
            runs: vec![run("quote", rate * window_s, 0.0, busy_ms)],
            refused: run("quote", refused, 0.0, 0.0).count,
            ..WorkReport::default()
        };
        let pace = ServerPace::from_percent(if node == 0 { percent } else { 100 });
        let reporting = ServerCapacity {
            pace: pace.filter(|_| reports_pace),
            ..place("quotes", 105)
        };
        let now = start + Duration::from_secs_f64(TICK_S) * tick;
        planner.add_report(node as u64, reporting, &work, now);
        parts[node] = f64::from(planner.plan(now)[0].admitted_milli) / 1_000.0;
    }
    loads
}

/// Guards against a plan that reduces the capacity for a slow server twice, by its speed and by its
/// longer service times, or that notices it only when the servers refuse calls.
#[test]
fn the_plan_settles_within_three_seconds_after_a_server_becomes_slower() {
    let lowest = |loads: &[f64]| loads[130..].iter().copied().fold(f64::MAX, f64::min);
    let (loads, without_pace) = (replay(true), replay(false));
    for load in loads[60..100].iter().chain(&loads[130..]) {
        assert!((0.9..=0.97).contains(load), "{loads:.2?}");
    }
    assert!(lowest(&loads) > lowest(&without_pace), "{without_pace:.2?}");
}
