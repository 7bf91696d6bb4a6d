//! Admission at one backend server, on virtual time.

use std::collections::HashMap;
use std::time::Duration;

use admit::AdmitDecision;
use admit::AdmitGate;
use admit::CallOffer;
use admit::CallOutcome;
use admit::GateAction;
use admit::GateActions;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use clock::Clock;
use clock::VirtualClock;
use model::context::CallRank;
use model::exchange::ServerState;
use model::verdict::FailureCause;
use model::verdict::RunVerdict;

/// Input bytes of each property run; the number of runs follows from the seeds below.
const INPUT_BYTES: u32 = 4096;
/// Fixed seeds, so that the verdict is the same every time.
const SEEDS: u64 = 40;

fn offer(clock: &VirtualClock, id: u64, rank: u32, time_left_ms: u64) -> CallOffer {
    CallOffer {
        id,
        rank: CallRank(rank),
        deadline: clock.now() + Duration::from_millis(time_left_ms),
        fingerprint: id,
    }
}

fn full_gate(clock: &VirtualClock) -> (AdmitGate<VirtualClock>, u64) {
    let mut gate = AdmitGate::new(clock.clone());
    let mut id = 0;
    while gate.offer(offer(clock, id, 100, 1000)).decision == AdmitDecision::Run {
        id += 1;
    }
    (gate, id + 1)
}

#[test]
fn a_higher_rank_displaces_the_lowest_waiting_call() {
    let clock = VirtualClock::new();
    let (mut gate, mut id) = full_gate(&clock);
    let mut waiting = vec![id - 1];
    let refused = loop {
        let outcome = gate.offer(offer(&clock, id, 100, 1000));
        match outcome.decision {
            AdmitDecision::Queued => waiting.push(id),
            AdmitDecision::Refuse(failure) => break failure,
            AdmitDecision::Run => panic!("ran above the limit"),
        }
        id += 1;
    };
    assert_eq!(refused.cause, FailureCause::Overloaded);
    assert_eq!(refused.verdict, RunVerdict::NotRun);

    let outcome = gate.offer(offer(&clock, 9000, 101, 1000));
    assert_eq!(outcome.decision, AdmitDecision::Queued);
    let [GateAction::Refuse(displaced, _)] = outcome.actions.as_slice() else {
        panic!("nothing was displaced: {:?}", outcome.actions);
    };
    assert!(waiting.contains(displaced));
    let actions = gate.finish(0, CallOutcome::Completed);
    assert_eq!(actions.as_slice(), [GateAction::Start(9000)]);
}

#[test]
fn a_call_that_cannot_finish_in_time_is_refused() {
    let clock = VirtualClock::new();
    let (mut gate, id) = full_gate(&clock);
    let outcome = gate.offer(offer(&clock, id, 200, 10));
    assert_eq!(outcome.decision, AdmitDecision::Queued);
    clock.advance(Duration::from_millis(11));
    let actions = gate.expire();
    let [GateAction::Refuse(refused, failure)] = actions.as_slice() else {
        panic!("not expired: {actions:?}");
    };
    assert_eq!(*refused, id);
    assert_eq!(failure.cause, FailureCause::DeadlineExceeded);
}

#[test]
fn a_draining_server_gets_nothing_and_an_absent_one_refuses_what_waits() {
    let clock = VirtualClock::new();
    let (mut gate, id) = full_gate(&clock);
    assert!(gate.set_state(ServerState::Draining).is_empty());
    let outcome = gate.offer(offer(&clock, id, 200, 1000));
    let AdmitDecision::Refuse(failure) = outcome.decision else {
        panic!("admitted while draining");
    };
    assert_eq!(failure.cause, FailureCause::Draining);
    let actions = gate.set_state(ServerState::Absent);
    assert_eq!(actions.len(), 1);
}

#[test]
fn a_crash_names_what_ran_and_refuses_what_waited() {
    let clock = VirtualClock::new();
    let (mut gate, id) = full_gate(&clock);
    let crashed = gate.crashed();
    assert_eq!(crashed.running.len() as u64, id - 1);
    assert_eq!(crashed.fingerprints.len() as u64, id - 1);
    assert_eq!(crashed.actions.len(), 1);
    assert_eq!(gate.load().in_flight, 0);
}

#[test]
fn no_cut_is_published_before_anything_completed() {
    let clock = VirtualClock::new();
    let (mut gate, id) = full_gate(&clock);
    for id in id..id + 200 {
        gate.offer(offer(&clock, id, 100, 1000));
    }
    clock.advance(Duration::from_millis(150));
    gate.expire();
    assert_eq!(gate.cut(), CallRank::MIN);
}

/// Where each call that was offered stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallStage {
    Waiting,
    Running,
    Ended,
}

/// Follows every call, so that none is lost, started twice or ended twice.
#[derive(Default)]
struct CallLedger {
    stages: HashMap<u64, CallStage>,
}

impl CallLedger {
    fn move_on(&mut self, id: u64, from: CallStage, to: CallStage) {
        let before = self.stages.insert(id, to);
        assert_eq!(before, Some(from), "call {id} cannot become {to:?}");
    }

    fn apply(&mut self, actions: &GateActions) {
        for action in actions {
            match action {
                GateAction::Start(id) => self.move_on(*id, CallStage::Waiting, CallStage::Running),
                GateAction::Refuse(id, failure) => {
                    assert_eq!(failure.verdict, RunVerdict::NotRun);
                    self.move_on(*id, CallStage::Waiting, CallStage::Ended);
                }
            }
        }
    }

    fn at(&self, stage: CallStage) -> Vec<u64> {
        let calls = self.stages.iter().filter(|(_, at)| **at == stage);
        let mut ids: Vec<u64> = calls.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }
}

fn any_history(input: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let clock = VirtualClock::new();
    let mut gate = AdmitGate::new(clock.clone());
    let mut ledger = CallLedger::default();
    gate.hint_slots(input.int_in_range(0..=20)?);
    let mut id = 0;
    while !input.is_empty() {
        let limit_before = gate.load().limit;
        match input.int_in_range(0..=9)? {
            0..=4 => {
                id += 1;
                let rank = u32::from(input.arbitrary::<u8>()?) << 24;
                let time_left_ms = input.int_in_range(0..=400)?;
                let outcome = gate.offer(offer(&clock, id, rank, time_left_ms));
                ledger.apply(&outcome.actions);
                let stage = match outcome.decision {
                    AdmitDecision::Run => CallStage::Running,
                    AdmitDecision::Queued => CallStage::Waiting,
                    AdmitDecision::Refuse(_) => CallStage::Ended,
                };
                ledger.stages.insert(id, stage);
                let admitted = stage == CallStage::Running;
                let load = gate.load();
                assert!(!admitted || load.in_flight <= load.limit.max(limit_before));
            }
            5..=6 => {
                let running = ledger.at(CallStage::Running);
                if !running.is_empty() {
                    let id = *input.choose(&running)?;
                    ledger.move_on(id, CallStage::Running, CallStage::Ended);
                    let outcomes = [
                        CallOutcome::Completed,
                        CallOutcome::Shed,
                        CallOutcome::Failed,
                        CallOutcome::Cancelled,
                    ];
                    let outcome = *input.choose(&outcomes)?;
                    ledger.apply(&gate.finish(id, outcome));
                }
            }
            7 => {
                let waiting = ledger.at(CallStage::Waiting);
                if !waiting.is_empty() {
                    let id = *input.choose(&waiting)?;
                    ledger.move_on(id, CallStage::Waiting, CallStage::Ended);
                    ledger.apply(&gate.cancel(id));
                }
            }
            8 => {
                clock.advance(Duration::from_millis(input.int_in_range(1..=150)?));
                ledger.apply(&gate.expire());
            }
            _ => {
                let states = [
                    ServerState::Ready,
                    ServerState::Starting,
                    ServerState::Draining,
                ];
                let state = *input.choose(&states)?;
                ledger.apply(&gate.set_state(state));
            }
        }
        let load = gate.load();
        assert_eq!(load.in_flight as usize, ledger.at(CallStage::Running).len());
        assert_eq!(load.queued as usize, ledger.at(CallStage::Waiting).len());
    }
    Ok(())
}

#[test]
fn every_offer_ends_exactly_once_and_the_limit_holds() {
    for seed in 0..SEEDS {
        let seed = (seed << 32) | u64::from(INPUT_BYTES);
        arbtest(any_history).seed(seed).run();
    }
}
