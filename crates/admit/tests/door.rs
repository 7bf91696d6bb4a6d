//! The door, replaying the load of a scarce service several calls below the entry.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::DoorDecision;
use admit::DoorKeeper;
use admit::DoorPlanner;
use admit::DoorRequest;
use model::entry::EntryShare;
use model::entry::OfferedRequests;
use model::entry::RequestKind;
use model::entry::RouteCalls;
use model::entry::RouteExecutions;
use model::entry::ServerCapacity;
use model::entry::WorkReport;
use model::ids::RouteName;

const WINDOW: Duration = Duration::from_millis(300);

fn kind(route: &str, route_order: u8, team_order: u8) -> RequestKind {
    RequestKind {
        route_priority: route_order,
        team_priority: team_order,
        route: RouteName::from(route),
    }
}

/// Requests per second that are offered, by kind.
struct Offered {
    quotes: f64,
    refills: f64,
    checks: f64,
}

/// Plays the call graph of a quote (two stock lookups, each a ledger lookup,
/// each four queue lookups), of a refill (one ledger lookup) and of a status
/// check, with the parts of the last plan applied; returns the last plan and
/// the part of the deep service's slots in use.
fn play(offered: &Offered, slots: u32, windows: u32) -> (Vec<EntryShare>, f64) {
    let mut planner = DoorPlanner::default();
    let start = Instant::now();
    let mut plan: Vec<EntryShare> = Vec::new();
    let mut used = 0.0;
    for window in 0..windows {
        let now = start + WINDOW * window;
        let part = |route: &str| {
            let share = plan.iter().find(|share| &*share.kind.route == route);
            share.map_or(1.0, |share| f64::from(share.admitted_milli) / 1000.0)
        };
        let quotes = offered.quotes * part("quote");
        let refills = offered.refills * part("refill");
        let checks = offered.checks * part("check");
        let lookups = 8.0 * quotes + 4.0 * refills;
        let busy_s = lookups * 0.030 + checks * 0.048;
        used = busy_s / f64::from(slots);
        let offers = [
            (kind("quote", 2, 0), offered.quotes),
            (kind("refill", 0, 0), offered.refills),
            (kind("check", 1, 0), offered.checks),
        ];
        let reports = [
            (
                "quotes",
                500,
                vec![run("quote", quotes, 0.12)],
                vec![call("quote", "stock", 2.0 * quotes)],
            ),
            (
                "orders",
                900,
                vec![
                    run("stock", 2.0 * quotes, 0.015),
                    run("refill", refills, 0.16),
                ],
                vec![
                    call("stock", "ledger", 2.0 * quotes),
                    call("refill", "ledger", refills),
                ],
            ),
            (
                "payments",
                900,
                vec![run("ledger", 2.0 * quotes + refills, 0.015)],
                vec![call("ledger", "queue", lookups)],
            ),
            (
                "workshop",
                slots,
                vec![run("queue", lookups, 0.030), run("check", checks, 0.048)],
                Vec::new(),
            ),
        ];
        for (node, (service, slots, runs, calls)) in (0_u64..).zip(reports) {
            let offered = offers.iter().filter(|_| node == 0);
            let work = WorkReport {
                window_ms: 300,
                offered: offered
                    .map(|(kind, rate)| OfferedRequests {
                        kind: kind.clone(),
                        count: count(*rate),
                    })
                    .collect(),
                runs,
                calls,
                refused: 0,
            };
            let place = ServerCapacity {
                service: Arc::from(service),
                slots,
            };
            planner.report(node, place, &work, now);
        }
        plan = planner.plan(now);
    }
    (plan, used)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small counts"
)]
fn count(per_s: f64) -> u32 {
    (per_s * WINDOW.as_secs_f64()).round() as u32
}

fn run(route: &str, per_s: f64, busy_s: f64) -> RouteExecutions {
    let runs = count(per_s);
    RouteExecutions {
        route: RouteName::from(route),
        started: runs,
        count: runs,
        busy_ms: count(per_s * busy_s * 1000.0),
    }
}

fn call(parent: &str, route: &str, per_s: f64) -> RouteCalls {
    RouteCalls {
        parent: RouteName::from(parent),
        route: RouteName::from(route),
        count: count(per_s),
    }
}

fn part(plan: &[EntryShare], route: &str) -> u16 {
    let share = plan.iter().find(|share| &*share.kind.route == route);
    share.unwrap().admitted_milli
}

#[test]
fn everything_enters_while_there_is_room() {
    let offered = Offered {
        quotes: 300.0,
        refills: 150.0,
        checks: 130.0,
    };
    let (plan, _) = play(&offered, 171, 20);
    assert!(
        plan.iter().all(|share| share.admitted_milli == 1000),
        "{plan:?}"
    );
}

#[test]
fn quotes_are_cut_to_what_the_deep_service_can_do_and_nothing_else_is() {
    let offered = Offered {
        quotes: 900.0,
        refills: 390.0,
        checks: 300.0,
    };
    let (plan, used) = play(&offered, 171, 60);
    assert_eq!(part(&plan, "refill"), 1000);
    assert_eq!(part(&plan, "check"), 1000);
    assert!((350..=560).contains(&part(&plan, "quote")), "{plan:?}");
    assert!((0.88..=0.98).contains(&used), "{used}");
}

#[test]
fn no_kind_starves_when_two_of_three_servers_are_gone() {
    let offered = Offered {
        quotes: 900.0,
        refills: 390.0,
        checks: 300.0,
    };
    let (plan, _) = play(&offered, 57, 60);
    assert!(
        plan.iter().all(|share| share.admitted_milli >= 100),
        "{plan:?}"
    );
    assert!(part(&plan, "refill") > part(&plan, "quote"), "{plan:?}");
}

/// Load pattern: callers ask for many times what the deep service can do after it lost two of
/// three servers, most of them for the least important kind.
#[test]
fn the_least_important_kind_does_not_take_what_a_shrunken_service_has_left() {
    let offered = Offered {
        quotes: 1_600.0,
        refills: 390.0,
        checks: 300.0,
    };
    let (plan, used) = play(&offered, 57, 60);
    assert!(part(&plan, "refill") >= 350, "{plan:?}");
    assert!(part(&plan, "quote") >= 50, "{plan:?}");
    assert!((0.85..=0.98).contains(&used), "{used}");
}

/// Load pattern: calls take twice as long as was learned, so a service that is full refuses as
/// many calls as it runs.
#[test]
fn a_service_that_refuses_calls_gets_less_within_a_second() {
    let mut planner = DoorPlanner::default();
    let start = Instant::now();
    let mut parts = Vec::new();
    for window in 0..24 {
        let refused = if window < 20 { 0 } else { 60 };
        let work = WorkReport {
            window_ms: 300,
            offered: vec![OfferedRequests {
                kind: kind("quote", 2, 0),
                count: 120,
            }],
            runs: vec![run("quote", 200.0, 0.25)],
            calls: Vec::new(),
            refused,
        };
        let place = ServerCapacity {
            service: Arc::from("quotes"),
            slots: 50,
        };
        let now = start + WINDOW * window;
        planner.report(1, place, &work, now);
        parts.push(part(&planner.plan(now), "quote"));
    }
    let (calm, pressed) = (parts[19], parts[23]);
    assert!(pressed <= calm * 3 / 4, "{parts:?}");
}

fn keeper(part_milli: u16, now: Instant) -> DoorKeeper {
    let mut keeper = DoorKeeper::default();
    let share = EntryShare {
        kind: kind("quote", 2, 0),
        admitted_milli: part_milli,
    };
    keeper.follow(&[share], now);
    keeper
}

/// Offers newcomers, of whom those turned away come back once; returns the
/// parts of newcomers and of returned callers that entered.
fn offer(keeper: &mut DoorKeeper, now: Instant) -> (f64, f64) {
    let kind = kind("quote", 2, 0);
    let request = |deadline_ms| DoorRequest {
        kind: &kind,
        deadline: Duration::from_millis(deadline_ms),
        aim: Duration::from_millis(1500),
    };
    let mut state = 0_u32;
    let mut random = move || {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        f64::from(state) / f64::from(u32::MAX)
    };
    let (mut entered, mut back, mut back_entered) = (0, 0, 0);
    for number in 0..4_000 {
        let drawn = (random(), random());
        if keeper.decide(request(5_000), drawn, now) == DoorDecision::Enter {
            entered += 1;
            continue;
        }
        if number < 1_000 {
            continue;
        }
        back += 1;
        let drawn = (random(), random());
        let decision = keeper.decide(request(4_000), drawn, now);
        back_entered += u32::from(decision == DoorDecision::Enter);
    }
    (
        f64::from(entered) / 4_000.0,
        f64::from(back_entered) / f64::from(back.max(1)),
    )
}

#[test]
fn callers_who_came_back_enter_before_new_ones() {
    let now = Instant::now();
    let (new, returned) = offer(&mut keeper(600, now), now);
    assert!(returned > 0.95, "{returned}");
    assert!(new < 0.6, "{new}");
}

#[test]
fn the_delay_leaves_time_for_an_answer_within_the_aim() {
    let now = Instant::now();
    let kind = kind("quote", 2, 0);
    let request = DoorRequest {
        kind: &kind,
        deadline: Duration::from_secs(5),
        aim: Duration::from_millis(1500),
    };
    let mut keeper = keeper(0, now);
    for drawn in [0.0, 0.5, 0.999] {
        let decision = keeper.decide(request, (0.5, drawn), now);
        let DoorDecision::Later { retry_after } = decision else {
            panic!("entered");
        };
        assert!(retry_after <= Duration::from_millis(900));
        assert!(retry_after >= Duration::from_millis(200));
    }
}

#[test]
fn everyone_enters_without_a_plan_or_when_it_is_old() {
    let now = Instant::now();
    let kind = kind("quote", 2, 0);
    let request = DoorRequest {
        kind: &kind,
        deadline: Duration::from_secs(5),
        aim: Duration::from_millis(1500),
    };
    let drawn = (0.5, 0.5);
    let fresh = DoorKeeper::default().decide(request, drawn, now);
    assert_eq!(fresh, DoorDecision::Enter);
    let later = now + Duration::from_secs(4);
    let old = keeper(0, now).decide(request, drawn, later);
    assert_eq!(old, DoorDecision::Enter);
}

#[test]
fn what_was_offered_is_counted_also_when_it_was_turned_away() {
    let now = Instant::now();
    let mut keeper = keeper(0, now);
    offer(&mut keeper, now);
    assert_eq!(keeper.offered()[0].count, 7_000);
    assert!(keeper.offered().is_empty());
}
