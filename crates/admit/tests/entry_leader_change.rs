//! Entry admission when the leader changes in the middle of a burst, over 59 nodes.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::EntryAdmission;
use admit::EntryDecision;
use admit::EntryPlanner;
use admit::EntryRequest;
use admit::PlanGate;
use admit::PlanInputs;
use model::entry::EntryShare;
use model::entry::OfferedRequests;
use model::entry::RequestKind;
use model::entry::RouteExecutions;
use model::entry::ServerCapacity;
use model::entry::WorkReport;
use model::ids::RouteName;

const NODES: u64 = 59;
/// Requests of the burst that one node receives in a window: 2.3 times the usual 10.
const BURST: u32 = 23;

fn kind() -> RequestKind {
    RequestKind {
        route_priority: 2,
        team_priority: 0,
        route: RouteName::from("quote"),
    }
}

/// Adds the report of a node in the burst; `completed` calls have a known service time.
fn report(planner: &mut EntryPlanner, node: u64, completed: u32, now: Instant) {
    let route = RouteName::from("quote");
    let work = WorkReport {
        window_ms: 300,
        offered: vec![OfferedRequests {
            kind: kind(),
            count: BURST,
        }],
        runs: vec![RouteExecutions {
            route,
            started: BURST / 2,
            refused: 0,
            count: completed,
            busy_ms: completed * 300,
        }],
        ..WorkReport::default()
    };
    let place = ServerCapacity {
        service: Arc::from("quotes"),
        slots: 11,
    };
    planner.add_report(node, place, &work, now);
}

/// Returns the plan that a leader issues with the reports it has.
fn issue(
    gate: &mut PlanGate,
    planner: &mut EntryPlanner,
    reported: u64,
    now: Instant,
) -> Option<Vec<EntryShare>> {
    let inputs = PlanInputs {
        known_nodes: usize::try_from(NODES).unwrap(),
        reported_nodes: usize::try_from(reported).unwrap(),
        untimed_routes: planner.untimed_routes(),
    };
    gate.update(inputs, now)
        .is_open()
        .then(|| planner.plan(now))
}

/// Guards against a plan from the reports of a few nodes, which admitted the whole burst.
#[test]
fn a_new_leader_issues_no_plan_before_nine_tenths_of_the_nodes_have_reported() {
    let start = Instant::now();
    let (mut gate, mut planner) = (PlanGate::new(start), EntryPlanner::default());
    for node in 1..=NODES {
        let now = start + Duration::from_millis(5 * node);
        report(&mut planner, node, BURST / 2, now);
        let plan = issue(&mut gate, &mut planner, node, now);
        assert_eq!(plan.is_some(), node >= 54, "{node}");
        if let Some(plan) = plan {
            assert!((350..700).contains(&plan[0].admitted_milli), "{plan:?}");
        }
    }
}

/// Guards against a plan without service times, which finds no load and admits everything.
#[test]
fn a_new_leader_issues_no_plan_before_it_knows_the_service_times() {
    let start = Instant::now();
    let (mut gate, mut planner) = (PlanGate::new(start), EntryPlanner::default());
    for node in 1..=NODES {
        report(&mut planner, node, 0, start);
    }
    assert_eq!(issue(&mut gate, &mut planner, NODES, start), None);
    let next = start + Duration::from_millis(300);
    report(&mut planner, 1, BURST / 2, next);
    assert!(issue(&mut gate, &mut planner, NODES, next).is_some());
}

/// Guards against a leader that waits for nodes which never report.
#[test]
fn the_plan_is_held_back_for_a_second_and_a_half_at_most() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut gate = PlanGate::new(start);
    let none_named = PlanInputs {
        reported_nodes: 3,
        ..PlanInputs::default()
    };
    assert!(!gate.update(none_named, at(1_499)).is_open());
    assert!(gate.update(none_named, at(1_500)).is_open());
    assert!(gate.update(PlanInputs::default(), at(1_501)).is_open());
}

/// Returns the fraction of new requests that a node admits `millis` after a plan of 400 thousandths.
fn admitted_after(millis: u64) -> (f64, bool) {
    let start = Instant::now();
    let now = start + Duration::from_millis(millis);
    let kind = kind();
    let mut admission = EntryAdmission::default();
    let share = EntryShare {
        kind: kind.clone(),
        admitted_milli: 400,
    };
    admission.apply_plan(&[share], start);
    let request = EntryRequest {
        kind: &kind,
        time_left: Duration::from_secs(5),
        target_latency: Duration::from_millis(1500),
    };
    let draws = (0..1_000).map(|draw| (f64::from(draw) / 1_000.0, 0.5));
    let admitted =
        draws.filter(|draw| admission.decide(request, *draw, now) == EntryDecision::Admit);
    let admitted = u32::try_from(admitted.count()).unwrap();
    (f64::from(admitted) / 1_000.0, admission.is_plan_old(now))
}

/// Guards against admitting the whole burst at once when the plan of the next leader is late.
#[test]
fn an_old_plan_is_kept_and_relaxed_evenly() {
    let expected = [
        (0, 0.4, false),
        (2_500, 0.4, false),
        (3_500, 0.52, true),
        (5_000, 0.7, true),
        (7_000, 0.94, true),
        (7_500, 1.0, false),
    ];
    for (millis, fraction, is_old) in expected {
        let (admitted, was_old) = admitted_after(millis);
        assert!((admitted - fraction).abs() < 0.002, "{millis}: {admitted}");
        assert_eq!(was_old, is_old, "{millis}");
    }
}
