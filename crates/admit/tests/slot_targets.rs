//! The order of queued calls by target latency, with more calls than slots, on virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use admit::CallTiming;
use admit::SlotDecision;
use admit::SlotLimiter;
use model::context::CallRank;

const MS: Duration = Duration::from_millis(1);
const SLOTS: u32 = 105;
/// Calls that are offered relative to what the slots can run.
const OVERLOAD: f64 = 1.4;
const SECONDS: f64 = 5.0;
/// Service time and target of a kind of call, in milliseconds, and calls per second.
type CallKind = (u32, u32, f64);
const SEARCH: CallKind = (36, 200, 104.0);
const READ: CallKind = (23, 300, 6_228.0);

const fn timing(target_ms: u32, has_alternative: bool) -> CallTiming {
    CallTiming {
        time_left: Duration::from_millis(1_200),
        target_left: Duration::from_millis(target_ms as u64),
        has_alternative,
    }
}

fn offer(limiter: &mut SlotLimiter, id: u64, timing: CallTiming, now: Instant) -> SlotDecision {
    limiter.offer(id, CallRank::new(1, 0, 0), timing, now)
}

/// Returns a limiter of one busy slot with a mean service time of 20 ms.
fn busy_limiter(now: Instant) -> SlotLimiter {
    let mut limiter = SlotLimiter::default();
    limiter.set_slots(1);
    offer(&mut limiter, 0, timing(500, false), now);
    limiter.finish(Some(20 * MS), now);
    offer(&mut limiter, 0, timing(500, false), now);
    limiter
}

/// Load pattern: 1.4 times the calls that the slots can run, for 5 s. Guards against searches that
/// wait behind reads with more time, and against calls that run here too late for a target which
/// another server would have met.
#[test]
fn searches_meet_their_target_beside_more_reads_than_the_slots_run() {
    let start = Instant::now();
    let calls = |kind: CallKind| {
        let numbers = (0_u32..).map(move |number| f64::from(number) / kind.2);
        let times = numbers.take_while(|at_s| *at_s < SECONDS);
        times.map(move |at_s| (start + Duration::from_secs_f64(at_s), kind))
    };
    let mut calls: Vec<_> = calls(SEARCH).chain(calls(READ)).collect();
    calls.sort_by_key(|call| call.0);
    let mut limiter = SlotLimiter::default();
    limiter.set_slots(SLOTS);
    let (mut ends, mut starts, mut refusals) = (BinaryHeap::new(), Vec::new(), Vec::new());
    for (id, (now, kind)) in (0..).zip(&calls) {
        while let Some(Reverse((end, service))) = ends.peek().copied()
            && end <= *now
        {
            ends.pop();
            let dequeued = limiter.finish(Some(service), end);
            for id in dequeued.started {
                starts.push((id, end));
                let service = calls[usize::try_from(id).unwrap()].1.0 * MS;
                ends.push(Reverse((end + service, service)));
            }
            refusals.extend(dequeued.refused.iter().map(|(id, _)| (*id, end)));
        }
        match offer(&mut limiter, id, timing(kind.1, true), *now) {
            SlotDecision::Run => {
                starts.push((id, *now));
                ends.push(Reverse((*now + kind.0 * MS, kind.0 * MS)));
            }
            SlotDecision::Wait => {}
            SlotDecision::Refuse { .. } => refusals.push((id, *now)),
        }
    }
    let is_in_time = |(id, at): &(u64, Instant)| {
        let (offered, (service_ms, target_ms, _)) = calls[usize::try_from(*id).unwrap()];
        *at + service_ms * MS <= offered + target_ms * MS
    };
    assert!(starts.iter().chain(&refusals).all(is_in_time));
    let is_search = |id: u64| calls[usize::try_from(id).unwrap()].1 == SEARCH;
    assert!(!refusals.iter().any(|(id, _)| is_search(*id)));
    let expected = calls.len() as f64 / OVERLOAD;
    assert!(starts.len() as f64 >= 0.97 * expected, "{}", starts.len());
}

#[test]
fn the_earliest_target_starts_first_among_equals_and_a_lost_target_last() {
    let now = Instant::now();
    let mut limiter = busy_limiter(now);
    for (id, target_ms) in [(1, 0), (2, 300), (3, 200), (4, 400)] {
        let decision = offer(&mut limiter, id, timing(target_ms, true), now);
        assert_eq!(decision, SlotDecision::Wait);
    }
    let started = (0..4).flat_map(|_| limiter.finish(None, now).started);
    assert_eq!(started.collect::<Vec<_>>(), [3, 2, 4, 1]);
}

/// Guards against calls that a server which froze as a whole holds until their target has passed,
/// while other servers could still meet it, and against a late call that holds up others.
#[test]
fn calls_leave_the_queue_of_a_frozen_server_in_time_for_another_one() {
    let now = Instant::now();
    let mut limiter = busy_limiter(now);
    offer(&mut limiter, 1, timing(200, true), now);
    offer(&mut limiter, 2, timing(200, false), now);
    assert!(limiter.process_queue(now + 80 * MS).refused.is_empty());
    let refused = limiter.process_queue(now + 100 * MS).refused;
    assert_eq!(refused.iter().map(|call| call.0).collect::<Vec<_>>(), [1]);
    // The sender of the other call has no other server, so it goes behind those in time.
    let later = now + 190 * MS;
    offer(&mut limiter, 3, timing(400, true), later);
    let dequeued = limiter.finish(None, later);
    assert_eq!((dequeued.started, dequeued.demoted), (vec![3], 1));
    assert_eq!(limiter.finish(None, later).started, [2]);
}
