//! The leader changes in the middle of a burst, over 59 nodes.

use std::time::Duration;
use std::time::Instant;

use admit::EntryAdmission;
use admit::EntryDecision;
use admit::EntryPlanner;
use admit::EntryRequest;
use admit::PlanGate;
use admit::PlanInputs;
use model::entry::EntryShare;
use model::entry::WorkReport;

use crate::support::WINDOW_MS;
use crate::support::offer;
use crate::support::place;
use crate::support::run;

const NODES: u64 = 59;
/// Requests of the burst that one node receives in a window: 2.3 times the usual 10.
const BURST: f64 = 23.0;

/// A leader since `start`, and the number of nodes that have reported to it.
struct NewLeader {
    gate: PlanGate,
    planner: EntryPlanner,
    reported: usize,
    start: Instant,
}

impl NewLeader {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            gate: PlanGate::new(start),
            planner: EntryPlanner::default(),
            reported: 0,
            start,
        }
    }

    /// Takes the report of a node whose server ran `done` calls, and returns the plan if one is
    /// issued then.
    fn take_report(&mut self, node: u64, done: f64, at_ms: u64) -> Option<Vec<EntryShare>> {
        let now = self.start + Duration::from_millis(at_ms);
        let mut runs = run("quote", done, 0.0, 300.0);
        runs.started = 11;
        let work = WorkReport {
            window_ms: WINDOW_MS,
            offered: vec![offer("quote", 2, BURST)],
            runs: vec![runs],
            ..WorkReport::default()
        };
        self.planner
            .add_report(node, place("quotes", 11), &work, now);
        self.reported += 1;
        let inputs = PlanInputs {
            known_nodes: 59,
            reported_nodes: self.reported.min(59),
            untimed_routes: self.planner.untimed_routes(),
        };
        let is_open = self.gate.update(inputs, now).is_open();
        is_open.then(|| self.planner.plan(now))
    }
}

/// Guards against a plan from the reports of a few nodes, which admitted the whole burst.
#[test]
fn a_new_leader_issues_no_plan_before_nine_tenths_of_the_nodes_have_reported() {
    let mut leader = NewLeader::new();
    for node in 1..=NODES {
        let plan = leader.take_report(node, 11.0, 5 * node);
        assert_eq!(plan.is_some(), node >= 54, "{node}");
        let admitted = plan.map_or(500, |plan| plan[0].admitted_milli);
        assert!((350..700).contains(&admitted), "{admitted}");
    }
}

/// Guards against a plan without service times, which finds no load and admits everything.
#[test]
fn a_new_leader_issues_no_plan_before_it_knows_the_service_times() {
    let mut leader = NewLeader::new();
    for node in 1..=NODES {
        assert_eq!(leader.take_report(node, 0.0, 0), None);
    }
    assert!(leader.take_report(1, 11.0, 300).is_some());
}

/// Guards against a leader that waits for nodes which never report.
#[test]
fn the_plan_is_held_back_for_a_second_and_a_half_at_most() {
    let start = Instant::now();
    let mut gate = PlanGate::new(start);
    for (at_ms, is_open) in [(0, false), (1_499, false), (1_500, true), (1_501, true)] {
        let now = start + Duration::from_millis(at_ms);
        let reported_nodes = 3;
        let inputs = PlanInputs {
            reported_nodes,
            ..PlanInputs::default()
        };
        assert_eq!(gate.update(inputs, now).is_open(), is_open);
    }
}

/// Guards against admitting the whole burst at once when the plan of the next leader is late.
#[test]
fn an_old_plan_is_kept_and_relaxed_evenly() {
    let start = Instant::now();
    let kind = offer("quote", 2, BURST).kind;
    let request = EntryRequest {
        kind: &kind,
        time_left: Duration::from_secs(5),
        target_latency: Duration::from_millis(1500),
    };
    let share = EntryShare {
        kind: kind.clone(),
        admitted_milli: 400,
    };
    let expected = [
        (0, 0.4, false),
        (2_500, 0.4, false),
        (3_500, 0.52, true),
        (5_000, 0.7, true),
        (7_000, 0.94, true),
        (7_500, 1.0, false),
    ];
    for (millis, fraction, is_old) in expected {
        let now = start + Duration::from_millis(millis);
        let mut admission = EntryAdmission::default();
        admission.apply_plan(std::slice::from_ref(&share), start);
        let mut admits = |draw| admission.decide(request, (draw, 0.5), now) == EntryDecision::Admit;
        assert!(admits(fraction - 0.002), "{millis}");
        let admits_more = admits((fraction + 0.002).min(0.999));
        assert_eq!(admits_more, fraction >= 1.0, "{millis}");
        assert_eq!(admission.is_plan_old(now), is_old, "{millis}");
    }
}
