//! Slots of calls that were given up while the server may still run them.

use std::time::Duration;
use std::time::Instant;

use admit::AbandonReason;
use admit::SlotDecision;
use admit::SlotLimiter;
use model::context::CallRank;

const MS: Duration = Duration::from_millis(1);
const SLOTS: u32 = 8;

/// A full limiter beside a server that reports its load, of whose calls some are cancelled.
fn limiter_with_cancelled(cancelled: u32, now: Instant) -> SlotLimiter {
    let mut limiter = SlotLimiter::default();
    limiter.set_slots(SLOTS);
    for id in 0..u64::from(SLOTS) {
        let decision = limiter.offer(id, CallRank::new(1, 0, 0), 900 * MS, now);
        assert_eq!(decision, SlotDecision::Run);
    }
    limiter.note_report(Some(SLOTS), now);
    for id in 0..u64::from(cancelled) {
        limiter.abandon(id, AbandonReason::Cancelled, now + 900 * MS, now);
    }
    limiter
}

fn report(limiter: &mut SlotLimiter, count: u32, calls: u32, now: Instant) {
    for _ in 0..count {
        limiter.note_report(Some(calls), now);
    }
}

/// Guards against more calls at the server than its slots: those that it still runs count.
#[test]
fn cancelled_calls_keep_their_slots_while_reports_show_them() {
    let now = Instant::now();
    let mut limiter = limiter_with_cancelled(4, now);
    report(&mut limiter, 40, SLOTS, now);
    assert_eq!((limiter.load().in_flight, limiter.open_slots()), (4, 4));
    // Two of them have ended by then.
    report(&mut limiter, 8, SLOTS - 2, now);
    assert_eq!(limiter.open_slots(), 6);
    limiter.process_queue(now + 900 * MS);
    assert_eq!(limiter.open_slots(), SLOTS);
}

/// Guards against capacity lost at servers that stop work on a cancelled call at once.
#[test]
fn a_server_that_stops_at_once_gets_its_slots_back_with_its_next_reports() {
    let now = Instant::now();
    let mut limiter = limiter_with_cancelled(SLOTS, now);
    // Some calls can be sent, or no answer would ever report anything.
    assert_eq!(limiter.open_slots(), SLOTS / 4);
    report(&mut limiter, 8, 0, now);
    assert_eq!(limiter.open_slots(), SLOTS);
}

/// Guards against capacity lost beside a server that never reports its load.
#[test]
fn without_reports_only_stalled_calls_keep_their_slots() {
    let now = Instant::now();
    let mut limiter = SlotLimiter::default();
    limiter.set_slots(SLOTS);
    limiter.assume_earlier_calls(now + 60_000 * MS);
    assert_eq!(limiter.open_slots(), SLOTS / 2);
    limiter.note_report(None, now);
    limiter.abandon(1, AbandonReason::Cancelled, now + 900 * MS, now);
    assert_eq!(limiter.open_slots(), SLOTS);
    limiter.abandon(2, AbandonReason::Stalled, now + 900 * MS, now);
    assert_eq!(limiter.load().limit, SLOTS - 1);
    limiter.finish_abandoned(2, now);
    assert_eq!(limiter.open_slots(), SLOTS);
}
