//! The concurrency limiter of a backend server with known slots, with more calls than slots.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use admit::SlotDecision;
use admit::SlotLimiter;
use model::context::CallRank;

const MS: Duration = Duration::from_millis(1);

fn rank(importance: u8) -> CallRank {
    CallRank::new(importance, 0, 0)
}

#[test]
fn runs_as_many_calls_as_there_are_slots() {
    let mut limiter = SlotLimiter::default();
    limiter.set_slots(2);
    let now = Instant::now();
    assert_eq!(limiter.offer(1, rank(1), 500 * MS, now), SlotDecision::Run);
    assert_eq!(limiter.offer(2, rank(1), 500 * MS, now), SlotDecision::Run);
    assert_eq!(limiter.offer(3, rank(1), 500 * MS, now), SlotDecision::Wait);
    let dequeued = limiter.finish(Some(30 * MS), now + 30 * MS);
    assert_eq!(dequeued.started, [3]);
}

#[test]
fn the_most_important_call_starts_first() {
    let mut limiter = SlotLimiter::default();
    limiter.set_slots(1);
    let now = Instant::now();
    limiter.offer(1, rank(1), 500 * MS, now);
    limiter.offer(2, rank(1), 500 * MS, now);
    limiter.offer(3, rank(9), 500 * MS, now);
    assert_eq!(limiter.finish(None, now).started, [3]);
    assert_eq!(limiter.finish(None, now).started, [2]);
}

#[test]
fn a_call_that_waited_too_long_is_refused_though_a_slot_is_free() {
    let mut limiter = SlotLimiter::default();
    limiter.set_slots(1);
    let now = Instant::now();
    limiter.offer(1, rank(1), 500 * MS, now);
    limiter.offer(2, rank(1), 100 * MS, now);
    let dequeued = limiter.finish(Some(400 * MS), now + 400 * MS);
    assert!(dequeued.started.is_empty());
    assert_eq!(dequeued.refused[0].0, 2);
}

#[test]
fn a_call_that_cannot_start_in_time_is_refused_at_once() {
    let mut limiter = SlotLimiter::default();
    limiter.set_slots(1);
    let now = Instant::now();
    limiter.offer(0, rank(1), 500 * MS, now);
    limiter.finish(Some(100 * MS), now);
    limiter.offer(1, rank(1), 500 * MS, now);
    limiter.offer(2, rank(1), 600 * MS, now);
    let refused = limiter.offer(3, rank(1), 500 * MS, now);
    assert!(matches!(refused, SlotDecision::Refuse { .. }));
    // A call of a higher rank than all queued ones is first in the queue.
    assert_eq!(limiter.offer(4, rank(2), 500 * MS, now), SlotDecision::Wait);
}

/// Load pattern: twice as many calls as the slots can serve. The slots must stay busy without
/// more calls running than there are slots.
#[test]
fn twice_the_capacity_keeps_the_slots_busy_within_the_limit() {
    let (slots, service) = (57_u32, 30 * MS);
    let mut limiter = SlotLimiter::default();
    limiter.set_slots(slots);
    let start = Instant::now();
    let mut ends = BinaryHeap::new();
    let (mut completed, mut offered) = (0_u32, 0_u64);
    for step in 0..10_000_u32 {
        let now = start + step * (MS / 2);
        while let Some(Reverse(end)) = ends.peek().copied()
            && end <= now
        {
            ends.pop();
            completed += 1;
            let dequeued = limiter.finish(Some(service), now);
            ends.extend(dequeued.started.iter().map(|_| Reverse(now + service)));
        }
        for _ in 0..2 {
            offered += 1;
            if limiter.offer(offered, rank(1), 700 * MS, now) == SlotDecision::Run {
                ends.push(Reverse(now + service));
            }
        }
    }
    let possible = f64::from(slots) * 5.0 / service.as_secs_f64();
    assert!(f64::from(completed) >= 0.95 * possible, "{completed}");
    assert!(limiter.load().in_flight <= slots);
}

/// Guards against a server that is filled up to the load at which every call takes longer, and
/// against a server of few slots that loses one of them.
#[test]
fn a_server_that_reports_its_pace_keeps_a_twentieth_of_its_slots_free() {
    for (slots, keeps, limit) in [
        (105, true, 99),
        (105, false, 105),
        (20, true, 19),
        (10, true, 10),
    ] {
        let mut limiter = SlotLimiter::default();
        limiter.set_slots(slots);
        limiter.set_keeps_full_speed(keeps);
        assert_eq!(limiter.load().limit, limit, "{slots}");
        let now = Instant::now();
        let mut offer = |id| limiter.offer(id, CallRank::MAX, Duration::from_secs(5), now);
        let started = (0..200).filter(|id| offer(*id) == SlotDecision::Run);
        assert_eq!(started.count(), limit as usize, "{slots}");
    }
}
