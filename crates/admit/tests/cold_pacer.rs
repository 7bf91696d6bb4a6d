//! The pace of requests to a backend server that is cold, on virtual time.

use std::time::Duration;
use std::time::Instant;

use admit::ColdPacer;
use admit::PaceLimit;
use admit::SlotDecision;
use admit::SlotLimiter;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use model::context::CallRank;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// 17 requests per second with an overage of 1.5, and the slack beside it.
const RATE_PER_S: f64 = 25.5;
const SLACK: f64 = 8.0;
/// Requests of any one second that the pacer sends at this rate.
const PER_SECOND: usize = 25;

fn limit() -> PaceLimit {
    PaceLimit::new(RATE_PER_S, SLACK)
}

/// Returns a limiter with many slots, beside a server that is cold until `cold_until`.
fn cold_limiter(now: Instant, cold_until: Option<Instant>) -> SlotLimiter {
    let mut limiter = SlotLimiter::default();
    limiter.set_slots(100);
    limiter.set_pace_limit(Some(limit()), now);
    limiter.set_cold_until(cold_until);
    limiter
}

fn offer(limiter: &mut SlotLimiter, id: u64, now: Instant) -> SlotDecision {
    limiter.offer(id, CallRank::new(1, 0, 0), 5 * SECOND, now)
}

/// Returns the most times within one second.
fn most_in_a_second(times: &[Instant]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, time) in times.iter().enumerate() {
        while *time >= times[first] + SECOND {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

/// Sends as many requests as the pacer allows for ten seconds.
fn send_all(pacer: &mut ColdPacer, start: Instant) -> Vec<Instant> {
    let mut sent = Vec::new();
    let mut now = pacer.next_at(start);
    while now < start + 10 * SECOND {
        pacer.record(now);
        sent.push(now);
        now = pacer.next_at(now);
    }
    sent
}

/// Guards against a second with more requests than a cold server survives, also when it becomes
/// cold while calls run, or the limit changes.
#[test]
fn no_second_of_a_cold_server_exceeds_the_rate() {
    arbtest(check_random_calls).budget_ms(2_000);
}

fn check_random_calls(input: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let mut now = Instant::now();
    let mut limiter = cold_limiter(now, None);
    let mut cold_until = now;
    let (mut sent, mut running) = (Vec::new(), 0);
    let mut id = 0;
    while !input.is_empty() {
        let mut started = 0;
        match input.int_in_range(0..=9)? {
            0..=3 => now += input.int_in_range(0..=300)? * MS,
            4..=6 => {
                for _ in 0..input.int_in_range(1..=60)? {
                    id += 1;
                    started += usize::from(offer(&mut limiter, id, now) == SlotDecision::Run);
                }
            }
            7 if running > 0 => {
                running -= 1;
                started = limiter.finish(Some(30 * MS), now).started.len();
            }
            8 => {
                cold_until = now + input.int_in_range(0..=3_000)? * MS;
                limiter.set_cold_until(Some(cold_until));
            }
            _ => limiter.set_pace_limit(Some(limit()), now),
        }
        started += limiter.process_queue(now).started.len();
        running += started;
        if limiter.try_check(now) {
            started += 1;
        }
        sent.extend((0..started).map(|_| now));
        let last_second = sent.iter().filter(|time| **time + SECOND > now).count();
        let is_within = started == 0 || now >= cold_until || last_second <= PER_SECOND;
        assert!(is_within, "{last_second}");
    }
    Ok(())
}

/// Guards against two bursts, sent a second apart, that arrive within one second since the
/// requests of the first one took longer to reach the server.
#[test]
fn requests_that_take_up_to_100_ms_to_arrive_stay_within_rate_and_slack() {
    arbtest(|input| {
        let start = Instant::now();
        let mut pacer = ColdPacer::new(limit(), start);
        pacer.set_cold_until(Some(start + 60 * SECOND));
        let mut received = send_all(&mut pacer, start);
        for time in &mut received {
            *time += input.int_in_range(0..=100)? * MS;
        }
        received.sort();
        let most = most_in_a_second(&received);
        assert!(most as f64 <= RATE_PER_S + SLACK, "{most}");
        Ok(())
    })
    .budget_ms(1_000);
}

/// Guards against a pace that leaves a part of the rate unused.
#[test]
fn the_rate_is_used_when_calls_wait() {
    let start = Instant::now();
    let mut pacer = ColdPacer::new(limit(), start);
    pacer.set_cold_until(Some(start + 60 * SECOND));
    let sent = send_all(&mut pacer, start);
    // The first second belongs to requests that an earlier process may have sent.
    assert!(sent[0] >= start + SECOND);
    assert!(sent.len() >= 9 * PER_SECOND, "{}", sent.len());
    assert_eq!(most_in_a_second(&sent), PER_SECOND);
}

/// Guards against requests that are forgotten when a configuration raises the rate.
#[test]
fn a_raised_limit_counts_the_requests_before_it() {
    let start = Instant::now();
    let mut pacer = ColdPacer::new(PaceLimit::new(2.0, SLACK), start);
    pacer.set_cold_until(Some(start + 60 * SECOND));
    let later = start + 5 * SECOND;
    (0..100).for_each(|_| pacer.record(later));
    pacer.set_limit(limit());
    assert!(pacer.next_at(later) >= later + SECOND);
}

/// Guards against limits that cannot be computed or let nothing through.
#[test]
fn odd_limits_still_let_requests_through() {
    for (rate_per_s, slack) in [(0.0, 0.0), (0.4, 0.0), (1e-9, 8.0), (1e9, 1e9), (25.5, 1e6)] {
        let start = Instant::now();
        let mut pacer = ColdPacer::new(PaceLimit::new(rate_per_s, slack), start);
        pacer.set_cold_until(Some(start + SECOND));
        assert!(pacer.expected_delay(1_000_000, start) <= SECOND);
        assert!(pacer.next_at(start) <= start + SECOND);
    }
}

/// Guards against calls that stay queued until the next maintenance although the pace allows
/// them, and against calls that wait in vain.
#[test]
fn queued_calls_start_when_the_window_allows() {
    let start = Instant::now();
    let now = start + 2 * SECOND;
    let mut limiter = cold_limiter(start, Some(start + 60 * SECOND));
    let decisions: Vec<_> = (0..60).map(|id| offer(&mut limiter, id, now)).collect();
    let count = |wanted| decisions.iter().filter(|found| **found == wanted).count();
    let (run, wait) = (count(SlotDecision::Run), count(SlotDecision::Wait));
    assert!(run == 4 && (8..=12).contains(&wait), "{run} {wait}");
    assert!(limiter.is_paced(now));
    let mut started = 0;
    while let Some(wake) = limiter.next_wake(now + started * MS) {
        let dequeued = limiter.process_queue(wake);
        assert!(dequeued.refused.is_empty() && !dequeued.started.is_empty());
        started = u32::try_from((wake - now).as_millis()).unwrap() + 1;
    }
    assert_eq!(limiter.load().queued, 0);
    assert_eq!(limiter.load().in_flight as usize, run + wait);
}

/// Guards against a cold server that is offered to others with all its slots, and against a
/// limit that remains when it is warm.
#[test]
fn a_cold_server_offers_the_slots_of_its_rate() {
    let start = Instant::now();
    let mut limiter = cold_limiter(start, None);
    assert_eq!(offer(&mut limiter, 1, start), SlotDecision::Run);
    limiter.finish(Some(200 * MS), start);
    assert_eq!(limiter.usable_slots(start), 100);
    limiter.set_cold_until(Some(start + SECOND));
    assert_eq!(limiter.usable_slots(start), 5);
    assert!(!limiter.try_check(start));
    let warm = start + SECOND;
    assert_eq!(limiter.usable_slots(warm), 100);
    assert!((2..100).all(|id| offer(&mut limiter, id, warm) == SlotDecision::Run));
}

/// Guards against effects on services without a cold limit.
#[test]
fn without_a_limit_cold_time_has_no_effect() {
    let now = Instant::now();
    let mut limiter = cold_limiter(now, None);
    limiter.set_pace_limit(None, now);
    limiter.set_cold_until(Some(now + 60 * SECOND));
    assert!((0..100).all(|id| offer(&mut limiter, id, now) == SlotDecision::Run));
    assert_eq!(offer(&mut limiter, 100, now), SlotDecision::Wait);
    assert_eq!(
        (limiter.is_cold(now), limiter.next_wake(now)),
        (false, None)
    );
    assert_eq!(limiter.usable_slots(now), 100);
}
