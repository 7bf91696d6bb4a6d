//! Entry admission while the servers of the deepest service refuse calls themselves.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::EntryPlanner;
use model::entry::EntryShare;
use model::entry::OfferedRequests;
use model::entry::RequestKind;
use model::entry::RouteCalls;
use model::entry::RouteExecutions;
use model::entry::ServerCapacity;
use model::entry::WorkReport;
use model::ids::RouteName;

const WINDOW_MS: u32 = 300;
/// Slots of the deepest service: 3 servers of 105.
const SLOTS: u32 = 315;
/// Quotes per window, with which the deepest service has little room left.
const QUOTES: u32 = 140;
/// Kinds with their route priority, requests per window, calls on the deepest service per
/// request and service time at the entry service, in milliseconds.
const KINDS: [(&str, u8, u32, u32, u32); 3] = [
    ("quote", 1, QUOTES, 8, 20),
    ("refill", 1, 200, 4, 60),
    ("check", 2, 200, 1, 400),
];

/// Outcome of one window.
#[derive(Clone, Debug, Default, PartialEq)]
struct Window {
    plan: Vec<EntryShare>,
    /// Requests of each kind that succeeded.
    succeeded: [f64; 3],
    /// Calls that ran for requests which failed later.
    wasted: f64,
}

impl Window {
    fn admitted(&self, route: &str) -> u16 {
        let share = self.plan.iter().find(|share| &*share.kind.route == route);
        share.map_or(1000, |share| share.admitted_milli)
    }
}

/// Replays windows in which servers refuse a share of the calls, each of which is sent twice at
/// most; a request makes no call after one that failed. The reports name the refused calls if
/// `is_reported`.
fn replay(quotes: u32, refused_shares: &[f64], is_reported: bool) -> Vec<Window> {
    let (mut planner, start) = (EntryPlanner::default(), Instant::now());
    let mut windows: Vec<Window> = Vec::new();
    for (number, refused_share) in (0..).zip(refused_shares) {
        let now = start + Duration::from_millis(u64::from(WINDOW_MS)) * number;
        let mut window = Window::default();
        let (mut entry, mut deep) = (WorkReport::default(), WorkReport::default());
        (entry.window_ms, deep.window_ms) = (WINDOW_MS, WINDOW_MS);
        let lost = refused_share * refused_share;
        let mut calls = 0.0;
        for (position, (route, priority, rate, fan, busy_ms)) in KINDS.into_iter().enumerate() {
            let rate = if route == "quote" { quotes } else { rate };
            let part = windows.last().map_or(1000, |last| last.admitted(route));
            let admitted = f64::from(rate) * f64::from(part) / 1000.0;
            let success = (1.0 - lost).powf(f64::from(fan));
            let made: f64 = (0..fan)
                .map(|call| (1.0 - lost).powf(f64::from(call)))
                .sum();
            window.succeeded[position] = admitted * success;
            window.wasted += admitted * (made * (1.0 - lost) - f64::from(fan) * success);
            calls += admitted * made;
            let kind = RequestKind {
                route_priority: priority,
                team_priority: 0,
                route: RouteName::from(route),
            };
            entry.offered.push(OfferedRequests { kind, count: rate });
            entry.runs.push(run(route, admitted, 0.0, busy_ms));
            entry.calls.push(RouteCalls {
                parent: RouteName::from(route),
                route: RouteName::from("stock"),
                count: whole(admitted * made),
            });
        }
        let sent = calls * (1.0 + refused_share);
        deep.runs = vec![run("stock", sent, sent * refused_share, 38)];
        if !is_reported {
            deep.runs[0].refused = 0;
        }
        planner.add_report(1, place("shop", 2_000), &entry, now);
        planner.add_report(2, place("stock", SLOTS), &deep, now);
        window.plan = planner.plan(now);
        windows.push(window);
    }
    windows
}

fn run(route: &str, sent: f64, refused: f64, busy_ms: u32) -> RouteExecutions {
    let count = whole(sent - refused);
    RouteExecutions {
        route: RouteName::from(route),
        started: whole(sent),
        refused: whole(refused),
        count,
        busy_ms: count * busy_ms,
    }
}

fn place(service: &str, slots: u32) -> ServerCapacity {
    ServerCapacity {
        service: Arc::from(service),
        slots,
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

/// 20 windows without refusals, 28 (8.4 s) with them and 20 after.
fn with_fault(quotes: u32, refused_share: f64) -> Vec<Window> {
    let share_in = |window| match window {
        20..48 => refused_share,
        _ => 0.0,
    };
    replay(quotes, &(0..68).map(share_in).collect::<Vec<_>>(), true)
}

/// Guards against work that is wasted below failed calls while servers refuse 55% of their calls.
#[test]
fn kinds_with_many_calls_are_cut_first_while_servers_refuse_calls() {
    let windows = with_fault(QUOTES, 0.55);
    for window in &windows[26..48] {
        let parts = ["check", "refill", "quote"].map(|route| window.admitted(route));
        assert_eq!(parts[0], 1000, "{parts:?}");
        assert!(parts[1] > parts[2] && parts[2] >= 100, "{parts:?}");
    }
    let (before, during) = (&windows[19], &windows[40]);
    assert!(before.plan.iter().all(|share| share.admitted_milli == 1000));
    assert!(during.succeeded[2] > 130.0, "{:?}", during.succeeded);
    assert!(during.wasted < 450.0, "{}", during.wasted);
    let after = &windows[60].plan;
    assert!(after.iter().all(|share| share.admitted_milli >= 950));
}

/// Guards against room for kinds whose requests mostly fail while kinds that make one call wait.
#[test]
fn success_weighs_more_than_one_step_of_priority_while_servers_refuse_calls() {
    let windows = with_fault(300, 0.55);
    let (before, during) = (&windows[19], &windows[40]);
    assert!(before.admitted("check") < 200, "{:?}", before.plan);
    assert!(during.admitted("check") > 950, "{:?}", during.plan);
    let quotes = during.admitted("quote");
    assert!((100..400).contains(&quotes), "{:?}", during.plan);
    assert!(during.wasted < 350.0, "{}", during.wasted);
}

/// Guards against a plan that starves kinds, or never notices the end, when all calls are refused.
#[test]
fn every_kind_keeps_its_minimum_while_servers_refuse_all_calls() {
    let windows = with_fault(QUOTES, 1.0);
    let minimum = windows[26..48].iter().flat_map(|window| &window.plan);
    assert!(minimum.clone().all(|share| share.admitted_milli >= 100));
    assert!(minimum.clone().any(|share| share.admitted_milli < 200));
    let after = &windows[60].plan;
    assert!(after.iter().all(|share| share.admitted_milli >= 950));
}

/// Guards against plans that change where servers refuse few calls.
#[test]
fn refusals_of_a_twentieth_change_nothing() {
    let plans = |windows: Vec<Window>| windows.into_iter().map(|window| window.plan);
    let reported = plans(replay(300, &[0.04; 40], true));
    assert!(reported.eq(plans(replay(300, &[0.04; 40], false))));
}
