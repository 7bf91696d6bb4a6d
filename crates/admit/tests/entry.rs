//! Admission at the entry node, with the load of a bottleneck service several calls below it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::EntryAdmission;
use admit::EntryDecision;
use admit::EntryPlanner;
use admit::EntryRequest;
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

/// Offered requests per second, by kind.
struct OfferedRates {
    quotes: f64,
    refills: f64,
    checks: f64,
}

/// Simulates the call graphs of a quote (two stock lookups, each of which makes a ledger
/// lookup, each of which makes four queue lookups), of a refill (one ledger lookup) and of
/// a status check, and admits the fractions of the last plan.
///
/// Returns the last plan and the utilisation of the service of the queue lookups.
fn simulate(offered: &OfferedRates, slots: u32, windows: u32) -> (Vec<EntryShare>, f64) {
    let mut planner = EntryPlanner::default();
    let start = Instant::now();
    let mut plan: Vec<EntryShare> = Vec::new();
    let mut utilisation = 0.0;
    for window in 0..windows {
        let now = start + WINDOW * window;
        let admitted = |route: &str| {
            let share = plan.iter().find(|share| &*share.kind.route == route);
            share.map_or(1.0, |share| f64::from(share.admitted_milli) / 1000.0)
        };
        let quotes = offered.quotes * admitted("quote");
        let refills = offered.refills * admitted("refill");
        let checks = offered.checks * admitted("check");
        let lookups = 8.0 * quotes + 4.0 * refills;
        let busy_s = lookups * 0.030 + checks * 0.048;
        utilisation = busy_s / f64::from(slots);
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
                sent: Vec::new(),
                refused: 0,
            };
            let place = ServerCapacity {
                service: Arc::from(service),
                slots,
                pace: None,
            };
            planner.add_report(node, place, &work, now);
        }
        plan = planner.plan(now);
    }
    (plan, utilisation)
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
        refused: 0,
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

fn admitted_milli(plan: &[EntryShare], route: &str) -> u16 {
    let share = plan.iter().find(|share| &*share.kind.route == route);
    share.unwrap().admitted_milli
}

#[test]
fn all_requests_are_admitted_below_capacity() {
    let offered = OfferedRates {
        quotes: 300.0,
        refills: 150.0,
        checks: 130.0,
    };
    let (plan, _) = simulate(&offered, 171, 20);
    assert!(
        plan.iter().all(|share| share.admitted_milli == 1000),
        "{plan:?}"
    );
}

#[test]
fn only_the_least_important_kind_is_reduced_to_the_capacity_of_the_bottleneck() {
    let offered = OfferedRates {
        quotes: 900.0,
        refills: 390.0,
        checks: 300.0,
    };
    let (plan, utilisation) = simulate(&offered, 171, 60);
    assert_eq!(admitted_milli(&plan, "refill"), 1000);
    assert_eq!(admitted_milli(&plan, "check"), 1000);
    assert!(
        (350..=560).contains(&admitted_milli(&plan, "quote")),
        "{plan:?}"
    );
    assert!((0.88..=0.98).contains(&utilisation), "{utilisation}");
}

#[test]
fn no_kind_starves_when_two_of_three_servers_are_lost() {
    let offered = OfferedRates {
        quotes: 900.0,
        refills: 390.0,
        checks: 300.0,
    };
    let (plan, _) = simulate(&offered, 57, 60);
    assert!(
        plan.iter().all(|share| share.admitted_milli >= 100),
        "{plan:?}"
    );
    assert!(
        admitted_milli(&plan, "refill") > admitted_milli(&plan, "quote"),
        "{plan:?}"
    );
}

/// Load pattern: the bottleneck service has lost two of three servers, and callers send many
/// times what it can do, mostly requests of the least important kind.
#[test]
fn the_least_important_kind_does_not_take_the_remaining_capacity_of_a_reduced_service() {
    let offered = OfferedRates {
        quotes: 1_600.0,
        refills: 390.0,
        checks: 300.0,
    };
    let (plan, utilisation) = simulate(&offered, 57, 60);
    assert!(admitted_milli(&plan, "refill") >= 350, "{plan:?}");
    assert!(admitted_milli(&plan, "quote") >= 50, "{plan:?}");
    assert!((0.85..=0.98).contains(&utilisation), "{utilisation}");
}

/// Load pattern: calls take twice as long as estimated, so that a saturated service refuses as
/// many calls as it runs.
#[test]
fn fewer_requests_are_admitted_about_a_second_after_a_service_refuses_calls() {
    let mut planner = EntryPlanner::default();
    let start = Instant::now();
    let mut fractions = Vec::new();
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
            sent: Vec::new(),
            refused,
        };
        let place = ServerCapacity {
            service: Arc::from("quotes"),
            slots: 50,
            pace: None,
        };
        let now = start + WINDOW * window;
        planner.add_report(1, place, &work, now);
        fractions.push(admitted_milli(&planner.plan(now), "quote"));
    }
    let (before, after) = (fractions[19], fractions[23]);
    assert!(after <= before * 3 / 4, "{fractions:?}");
}

fn with_plan(part_milli: u16, now: Instant) -> EntryAdmission {
    let mut admission = EntryAdmission::default();
    let share = EntryShare {
        kind: kind("quote", 2, 0),
        admitted_milli: part_milli,
    };
    admission.apply_plan(&[share], now);
    admission
}

/// Offers new requests, of which the refused ones are retried once; returns the
/// fractions of new requests and of retries that were admitted.
fn offer(admission: &mut EntryAdmission, now: Instant) -> (f64, f64) {
    let kind = kind("quote", 2, 0);
    let request = |time_left_ms| EntryRequest {
        kind: &kind,
        time_left: Duration::from_millis(time_left_ms),
        target_latency: Duration::from_millis(1500),
    };
    let mut state = 0_u32;
    let mut random = move || {
        state = state.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        f64::from(state) / f64::from(u32::MAX)
    };
    let (mut admitted, mut retries, mut retries_admitted) = (0, 0, 0);
    for number in 0..4_000 {
        let numbers = (random(), random());
        if admission.decide(request(5_000), numbers, now) == EntryDecision::Admit {
            admitted += 1;
            continue;
        }
        if number < 1_000 {
            continue;
        }
        retries += 1;
        let numbers = (random(), random());
        let decision = admission.decide(request(4_000), numbers, now);
        retries_admitted += u32::from(decision == EntryDecision::Admit);
    }
    (
        f64::from(admitted) / 4_000.0,
        f64::from(retries_admitted) / f64::from(retries.max(1)),
    )
}

#[test]
fn retries_are_admitted_before_new_requests() {
    let now = Instant::now();
    let (new, retried) = offer(&mut with_plan(600, now), now);
    assert!(retried > 0.95, "{retried}");
    assert!(new < 0.6, "{new}");
}

#[test]
fn the_retry_delay_leaves_time_for_a_response_within_the_target_latency() {
    let now = Instant::now();
    let kind = kind("quote", 2, 0);
    let request = EntryRequest {
        kind: &kind,
        time_left: Duration::from_secs(5),
        target_latency: Duration::from_millis(1500),
    };
    let mut admission = with_plan(0, now);
    for random in [0.0, 0.5, 0.999] {
        let decision = admission.decide(request, (0.5, random), now);
        let EntryDecision::Refuse { retry_after } = decision else {
            panic!("admitted");
        };
        assert!(retry_after <= Duration::from_millis(900));
        assert!(retry_after >= Duration::from_millis(200));
    }
}

#[test]
fn all_requests_are_admitted_without_a_plan_or_when_it_is_fully_relaxed() {
    let now = Instant::now();
    let kind = kind("quote", 2, 0);
    let request = EntryRequest {
        kind: &kind,
        time_left: Duration::from_secs(5),
        target_latency: Duration::from_millis(1500),
    };
    let random = (0.5, 0.5);
    let without = EntryAdmission::default().decide(request, random, now);
    assert_eq!(without, EntryDecision::Admit);
    let later = now + Duration::from_millis(7_500);
    let random = (0.999, 0.5);
    let relaxed = with_plan(0, now).decide(request, random, later);
    assert_eq!(relaxed, EntryDecision::Admit);
}

#[test]
fn refused_requests_are_counted_as_offered() {
    let now = Instant::now();
    let mut admission = with_plan(0, now);
    offer(&mut admission, now);
    assert_eq!(admission.take_offered()[0].count, 7_000);
    assert!(admission.take_offered().is_empty());
}
