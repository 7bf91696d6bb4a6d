//! The servers of the deepest service refuse calls themselves.

use std::time::Duration;
use std::time::Instant;

use admit::EntryPlanner;
use model::entry::EntryShare;
use model::entry::RouteCalls;
use model::entry::WorkReport;
use model::ids::RouteName;

use crate::support::WINDOW_MS;
use crate::support::offer;
use crate::support::place;
use crate::support::run;

/// Kinds with their route priority, requests per window, calls on the deepest service per
/// request and service time at the entry service, in milliseconds.
const KINDS: [(&str, u8, f64, i32, f64); 3] = [
    ("quote", 1, 300.0, 8, 20.0),
    ("refill", 1, 200.0, 4, 60.0),
    ("check", 2, 200.0, 1, 400.0),
];

/// The plan after a window, and the calls that ran in it for requests which failed later.
type Window = (Vec<EntryShare>, f64);

fn admitted(plan: &[EntryShare], route: &str) -> u16 {
    let share = plan.iter().find(|share| &*share.kind.route == route);
    share.map_or(1000, |share| share.admitted_milli)
}

/// Replays windows in which the 3 servers of 105 slots refuse a share of the calls, each of which
/// is sent twice at most; a request makes no call after one that failed. The reports name the
/// refused calls if `is_reported`.
fn replay(refused_shares: &[f64], is_reported: bool) -> Vec<Window> {
    let (mut planner, start) = (EntryPlanner::default(), Instant::now());
    let mut windows: Vec<Window> = Vec::new();
    for (number, refused_share) in (0..).zip(refused_shares) {
        let now = start + Duration::from_millis(u64::from(WINDOW_MS)) * number;
        let (mut entry, mut deep) = (WorkReport::default(), WorkReport::default());
        (entry.window_ms, deep.window_ms) = (WINDOW_MS, WINDOW_MS);
        let passed = 1.0 - refused_share * refused_share;
        let (mut calls, mut wasted) = (0.0, 0.0);
        for (route, priority, rate, fan, busy_ms) in KINDS {
            let part = windows.last().map_or(1000, |last| admitted(&last.0, route));
            let entered = rate * f64::from(part) / 1000.0;
            let made = entered * (0..fan).map(|call| passed.powi(call)).sum::<f64>();
            wasted += made * passed - entered * f64::from(fan) * passed.powi(fan);
            calls += made;
            entry.offered.push(offer(route, priority, rate));
            entry.runs.push(run(route, entered, 0.0, busy_ms));
            entry.calls.push(RouteCalls {
                parent: RouteName::from(route),
                route: RouteName::from("stock"),
                count: run(route, made, 0.0, 0.0).count,
            });
        }
        let sent = calls * (1.0 + refused_share);
        deep.runs = vec![run("stock", sent, sent * refused_share, 38.0)];
        if !is_reported {
            deep.runs[0].refused = 0;
        }
        planner.add_report(1, place("shop", 2_000), &entry, now);
        planner.add_report(2, place("stock", 315), &deep, now);
        windows.push((planner.plan(now), wasted));
    }
    windows
}

/// 20 windows without refusals, 28 (8.4 s) with them and 20 after.
fn with_fault(refused_share: f64) -> Vec<Window> {
    let mut shares = [0.0; 68];
    shares[20..48].fill(refused_share);
    replay(&shares, true)
}

/// Guards against work that is wasted below failed calls while servers refuse 55% of their calls,
/// and against kinds whose requests mostly fail taking the room of one that makes one call.
#[test]
fn kinds_with_many_calls_are_cut_first_while_servers_refuse_calls() {
    let windows = with_fault(0.55);
    let parts = |window: usize| {
        ["check", "refill", "quote"].map(|route| admitted(&windows[window].0, route))
    };
    let before = parts(19);
    assert!(before[0] < 200 && before[2] > 500, "{before:?}");
    for (window, (_, wasted)) in windows.iter().enumerate().take(48).skip(28) {
        let [checks, refills, quotes] = parts(window);
        assert!(checks > 950 && refills > 950, "{:?}", parts(window));
        assert!((100..400).contains(&quotes), "{:?}", parts(window));
        assert!(*wasted < 350.0, "{wasted}");
    }
    for window in 51..68 {
        assert!(
            parts(window)[2].abs_diff(before[2]) < 50,
            "{:?}",
            parts(window)
        );
    }
}

/// Guards against a plan that starves kinds, or never notices the end, when all calls are refused.
#[test]
fn every_kind_keeps_its_minimum_while_servers_refuse_all_calls() {
    let windows = with_fault(1.0);
    for (window, (plan, _)) in windows.iter().enumerate().take(48) {
        assert!(plan.iter().all(|share| share.admitted_milli >= 100));
        let is_minimum = plan.iter().all(|share| share.admitted_milli < 200);
        assert!(is_minimum || window < 40, "{window}: {plan:?}");
    }
    assert!(admitted(&windows[60].0, "quote") > 500);
}

/// Guards against plans that change where servers refuse few calls.
#[test]
fn refusals_of_a_twentieth_change_nothing() {
    assert_eq!(replay(&[0.04; 40], true), replay(&[0.04; 40], false));
}
