//! Requests that return after a refusal, under a plan that stays below 1 for several seconds.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use admit::EntryAdmission;
use admit::EntryDecision;
use admit::EntryRequest;
use model::entry::EntryShare;
use model::ids::TeamName;
use model::share::to_milli;

use crate::support::TEAM;
use crate::support::offer;

/// Requests per second at one node, and how many of these there is capacity for.
const NEW_PER_S: u32 = 40;
const POSSIBLE_PER_S: f64 = 28.0;
const SECONDS: u32 = 8;
const WINDOW: Duration = Duration::from_millis(300);
const TARGET: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_secs(3);

/// Replays callers that return after each refusal until their deadline. The plan of each window
/// admits what there is capacity for of the requests of the window before.
///
/// Returns whether each request of the last 7 s was new and whether it was admitted.
fn replay() -> Vec<(bool, bool)> {
    let (start, team) = (Instant::now(), TeamName::from(TEAM));
    let kind = offer("quote", 1, 0.0).kind;
    let mut admission = EntryAdmission::default();
    let sends = (0..NEW_PER_S * SECONDS).map(|number| start + TARGET * number / NEW_PER_S);
    let mut arrivals: BinaryHeap<_> = sends.map(|at| Reverse((at, at))).collect();
    let (mut decisions, mut next_plan, mut draw) = (Vec::new(), start, 1_u32);
    let mut random = move || {
        draw = draw.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        f64::from(draw) / f64::from(u32::MAX)
    };
    while let Some(Reverse((now, sent))) = arrivals.pop() {
        if now >= next_plan {
            let offered = admission.take_offered();
            let offered = offered.first().map_or(12, |kind| kind.count);
            let part = POSSIBLE_PER_S * WINDOW.as_secs_f64() / f64::from(offered);
            let share = EntryShare {
                kind: kind.clone(),
                team: None,
                data_centre: "a".into(),
                admitted_milli: to_milli(part.min(1.0)),
            };
            admission.apply_plan(&[share], now);
            next_plan = now + WINDOW;
        }
        let request = EntryRequest {
            kind: &kind,
            team: &team,
            time_left: (sent + TIMEOUT).saturating_duration_since(now),
            target_latency: TARGET,
        };
        let decision = admission.decide(request, (random(), random()), now);
        if let EntryDecision::Refuse { retry_after } = decision
            && now + retry_after < sent + TIMEOUT
        {
            arrivals.push(Reverse((now + retry_after, sent)));
        }
        if (start + TARGET..start + TARGET * SECONDS).contains(&now) {
            decisions.push((now == sent, decision == EntryDecision::Admit));
        }
    }
    decisions
}

/// Guards against admitting more than the plan until the share of returning requests is known,
/// and against callers that return before there is capacity and are refused again.
#[test]
fn returning_requests_come_first_within_the_plan_and_return_when_there_is_capacity() {
    let decisions = replay();
    let count = |is_new, is_admitted| {
        let same = decisions
            .iter()
            .filter(|kind| **kind == (is_new, is_admitted));
        same.count() as f64
    };
    let possible = POSSIBLE_PER_S * f64::from(SECONDS - 1);
    let admitted = (count(true, true) + count(false, true)) / possible;
    assert!((0.9..=1.1).contains(&admitted), "{admitted}");
    let returned = count(false, true) / (count(false, true) + count(false, false));
    let new = count(true, true) / (count(true, true) + count(true, false));
    assert!(returned > 0.8 && returned > new, "{returned} {new}");
}
