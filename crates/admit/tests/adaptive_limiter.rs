//! The adaptive concurrency limiter of one backend server, in virtual time.

use std::collections::HashMap;
use std::time::Duration;

use admit::AdaptiveLimiter;
use admit::AdmitDecision;
use admit::CallOffer;
use admit::CallOutcome;
use admit::QueueAction;
use admit::QueueActions;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use clock::Clock;
use clock::VirtualClock;
use model::context::CallRank;
use model::exchange::ServerState;
use model::verdict::FailureCause;
use model::verdict::RunVerdict;

/// Length of the random input of each run of the property test; there is one run for each seed.
const INPUT_BYTES: u32 = 4096;
/// Number of seeds; they are fixed, so that the result is the same every time.
const SEEDS: u64 = 40;

fn offer(clock: &VirtualClock, id: u64, rank: u32, time_left_ms: u64) -> CallOffer {
    CallOffer {
        id,
        rank: CallRank(rank),
        deadline: clock.now() + Duration::from_millis(time_left_ms),
        fingerprint: id,
    }
}

fn full_limiter(clock: &VirtualClock) -> (AdaptiveLimiter<VirtualClock>, u64) {
    let mut limiter = AdaptiveLimiter::new(clock.clone());
    let mut id = 0;
    while limiter.offer(offer(clock, id, 100, 1000)).decision == AdmitDecision::Run {
        id += 1;
    }
    (limiter, id + 1)
}

#[test]
fn a_higher_rank_evicts_the_lowest_queued_call() {
    let clock = VirtualClock::new();
    let (mut limiter, mut id) = full_limiter(&clock);
    let mut queued = vec![id - 1];
    let refused = loop {
        let outcome = limiter.offer(offer(&clock, id, 100, 1000));
        match outcome.decision {
            AdmitDecision::Queued => queued.push(id),
            AdmitDecision::Refuse(failure) => break failure,
            AdmitDecision::Run => panic!("ran above the limit"),
        }
        id += 1;
    };
    assert_eq!(refused.cause, FailureCause::Overloaded);
    assert_eq!(refused.verdict, RunVerdict::NotRun);

    let outcome = limiter.offer(offer(&clock, 9000, 101, 1000));
    assert_eq!(outcome.decision, AdmitDecision::Queued);
    let [QueueAction::Refuse(evicted, _)] = outcome.actions.as_slice() else {
        panic!("nothing was evicted: {:?}", outcome.actions);
    };
    assert!(queued.contains(evicted));
    let actions = limiter.finish(0, CallOutcome::Completed);
    assert_eq!(actions.as_slice(), [QueueAction::Start(9000)]);
}

#[test]
fn a_call_that_cannot_finish_in_time_is_refused() {
    let clock = VirtualClock::new();
    let (mut limiter, id) = full_limiter(&clock);
    let outcome = limiter.offer(offer(&clock, id, 200, 10));
    assert_eq!(outcome.decision, AdmitDecision::Queued);
    clock.advance(Duration::from_millis(11));
    let actions = limiter.expire();
    let [QueueAction::Refuse(refused, failure)] = actions.as_slice() else {
        panic!("not expired: {actions:?}");
    };
    assert_eq!(*refused, id);
    assert_eq!(failure.cause, FailureCause::DeadlineExceeded);
}

#[test]
fn a_draining_server_gets_no_calls_and_an_absent_one_refuses_queued_calls() {
    let clock = VirtualClock::new();
    let (mut limiter, id) = full_limiter(&clock);
    assert!(limiter.set_state(ServerState::Draining).is_empty());
    let outcome = limiter.offer(offer(&clock, id, 200, 1000));
    let AdmitDecision::Refuse(failure) = outcome.decision else {
        panic!("admitted while draining");
    };
    assert_eq!(failure.cause, FailureCause::Draining);
    let actions = limiter.set_state(ServerState::Absent);
    assert_eq!(actions.len(), 1);
}

#[test]
fn a_crash_returns_the_running_calls_and_refuses_the_queued_ones() {
    let clock = VirtualClock::new();
    let (mut limiter, id) = full_limiter(&clock);
    let crashed = limiter.record_crash();
    assert_eq!(crashed.running.len() as u64, id - 1);
    assert_eq!(crashed.fingerprints.len() as u64, id - 1);
    assert_eq!(crashed.actions.len(), 1);
    assert_eq!(limiter.load().in_flight, 0);
}

#[test]
fn no_threshold_is_published_before_the_first_completion() {
    let clock = VirtualClock::new();
    let (mut limiter, id) = full_limiter(&clock);
    for id in id..id + 200 {
        limiter.offer(offer(&clock, id, 100, 1000));
    }
    clock.advance(Duration::from_millis(150));
    limiter.expire();
    assert_eq!(limiter.rank_threshold(), CallRank::MIN);
}

/// State of an offered call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallState {
    Queued,
    Running,
    Ended,
}

/// Tracks the state of every call, to check that none is lost, started twice or ended twice.
#[derive(Default)]
struct CallTracker {
    calls: HashMap<u64, CallState>,
}

impl CallTracker {
    fn advance(&mut self, id: u64, from: CallState, to: CallState) {
        let before = self.calls.insert(id, to);
        assert_eq!(before, Some(from), "call {id} cannot become {to:?}");
    }

    fn apply(&mut self, actions: &QueueActions) {
        for action in actions {
            match action {
                QueueAction::Start(id) => self.advance(*id, CallState::Queued, CallState::Running),
                QueueAction::Refuse(id, failure) => {
                    assert_eq!(failure.verdict, RunVerdict::NotRun);
                    self.advance(*id, CallState::Queued, CallState::Ended);
                }
            }
        }
    }

    fn calls_in(&self, state: CallState) -> Vec<u64> {
        let calls = self.calls.iter().filter(|(_, current)| **current == state);
        let mut ids: Vec<u64> = calls.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        ids
    }
}

fn random_events(input: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let clock = VirtualClock::new();
    let mut limiter = AdaptiveLimiter::new(clock.clone());
    let mut tracker = CallTracker::default();
    limiter.hint_slots(input.int_in_range(0..=20)?);
    let mut id = 0;
    while !input.is_empty() {
        let limit_before = limiter.load().limit;
        match input.int_in_range(0..=9)? {
            0..=4 => {
                id += 1;
                let rank = u32::from(input.arbitrary::<u8>()?) << 24;
                let time_left_ms = input.int_in_range(0..=400)?;
                let outcome = limiter.offer(offer(&clock, id, rank, time_left_ms));
                tracker.apply(&outcome.actions);
                let call_state = match outcome.decision {
                    AdmitDecision::Run => CallState::Running,
                    AdmitDecision::Queued => CallState::Queued,
                    AdmitDecision::Refuse(_) => CallState::Ended,
                };
                tracker.calls.insert(id, call_state);
                let admitted = call_state == CallState::Running;
                let load = limiter.load();
                assert!(!admitted || load.in_flight <= load.limit.max(limit_before));
            }
            5..=6 => {
                let running = tracker.calls_in(CallState::Running);
                if !running.is_empty() {
                    let id = *input.choose(&running)?;
                    tracker.advance(id, CallState::Running, CallState::Ended);
                    let outcomes = [
                        CallOutcome::Completed,
                        CallOutcome::Shed,
                        CallOutcome::Failed,
                        CallOutcome::Cancelled,
                    ];
                    let outcome = *input.choose(&outcomes)?;
                    tracker.apply(&limiter.finish(id, outcome));
                }
            }
            7 => {
                let queued = tracker.calls_in(CallState::Queued);
                if !queued.is_empty() {
                    let id = *input.choose(&queued)?;
                    tracker.advance(id, CallState::Queued, CallState::Ended);
                    tracker.apply(&limiter.cancel(id));
                }
            }
            8 => {
                clock.advance(Duration::from_millis(input.int_in_range(1..=150)?));
                tracker.apply(&limiter.expire());
            }
            _ => {
                let states = [
                    ServerState::Ready,
                    ServerState::Starting,
                    ServerState::Draining,
                ];
                let state = *input.choose(&states)?;
                tracker.apply(&limiter.set_state(state));
            }
        }
        let load = limiter.load();
        assert_eq!(
            load.in_flight as usize,
            tracker.calls_in(CallState::Running).len()
        );
        assert_eq!(
            load.queued as usize,
            tracker.calls_in(CallState::Queued).len()
        );
    }
    Ok(())
}

#[test]
fn every_call_ends_exactly_once_and_the_limit_is_kept() {
    for seed in 0..SEEDS {
        let seed = (seed << 32) | u64::from(INPUT_BYTES);
        arbtest(random_events).seed(seed).run();
    }
}
