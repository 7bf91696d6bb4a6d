//! Compares on virtual time how a call that meets a full backend server gets to another one.

mod parts;
mod simulation;

use crate::parts::Strategy;
use crate::simulation::Outcome;
use crate::simulation::Scenario;
use crate::simulation::run;

const SCENARIOS: [Scenario; 3] = [
    (59, 3, 105, (0.5, 1.5), false),
    (67, 6, 24, (0.6, 1.7), true),
    (67, 30, 8, (0.5, 1.7), false),
];

/// Runs strategies one after another, and prints their outcomes.
fn compare<const N: usize>(
    strategies: [Strategy; N],
    scenario: Scenario,
    load: f64,
) -> [Outcome; N] {
    strategies.map(|strategy| {
        let outcome = run(strategy, scenario, load);
        println!(
            "{} servers, load {load}, {strategy:?}: {outcome:.3?}",
            scenario.1
        );
        outcome
    })
}

/// Guards against calls that wait at a full server while others have free slots.
#[test]
fn below_saturation_a_refusal_at_once_serves_as_many_in_time_as_any_other_way() {
    let strategies = [
        Strategy::SenderRetry,
        Strategy::RefuseAtOnce,
        Strategy::Forward,
        Strategy::IdleQueue,
        Strategy::Pull,
    ];
    for scenario in SCENARIOS {
        let [retry, at_once, others @ ..] = compare(strategies, scenario, 0.8);
        let (late, late_before) = (1.0 - at_once.in_aim, 1.0 - retry.in_aim);
        assert!(late < 0.8 * late_before, "{at_once:?}, {retry:?}");
        for other in others {
            assert!(
                at_once.in_aim > other.in_aim - 0.03,
                "{at_once:?}, {other:?}"
            );
        }
    }
}

/// Guards against messages without use once all servers are full.
#[test]
fn above_saturation_a_refusal_at_once_costs_little_and_serves_as_many_as_a_retry() {
    let strategies = [Strategy::SenderRetry, Strategy::RefuseAtOnce];
    for scenario in SCENARIOS {
        let [retry, at_once] = compare(strategies, scenario, 1.15);
        assert!(at_once.answered > retry.answered - 0.03, "{at_once:?}");
        assert!(at_once.in_aim > retry.in_aim - 0.03, "{at_once:?}");
        assert!(at_once.messages < 1.2 * retry.messages, "{at_once:?}");
    }
}
