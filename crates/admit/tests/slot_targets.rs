//! The order of queued calls by target latency, with more calls than slots, on virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use admit::CallTiming;
use admit::SlotDecision;
use admit::SlotLimiter;
use model::context::CallRank;

const MS: Duration = Duration::from_millis(1);
const SLOTS: u32 = 105;
/// Calls per second relative to what the slots can run.
const OVERLOAD: f64 = 1.4;
const SEARCHES_PER_S: f64 = 104.0;
const SECONDS: f64 = 5.0;

/// Duration of a call, and when its response has full value and is due.
#[derive(Clone, Copy)]
struct CallKind {
    service: Duration,
    target: Duration,
    timeout: Duration,
}

const SEARCH: CallKind = CallKind {
    service: Duration::from_millis(36),
    target: Duration::from_millis(200),
    timeout: Duration::from_millis(1_500),
};
const READ: CallKind = CallKind {
    service: Duration::from_millis(23),
    target: Duration::from_millis(300),
    timeout: Duration::from_secs(3),
};

fn rank() -> CallRank {
    CallRank::new(1, 0, 0)
}

const fn timing(target_ms: u64, has_alternative: bool) -> CallTiming {
    CallTiming {
        time_left: Duration::from_secs(1),
        target_left: Duration::from_millis(target_ms),
        has_alternative,
    }
}

/// Returns a limiter of one busy slot with a mean service time of 20 ms.
fn busy_limiter(now: Instant) -> SlotLimiter {
    let mut limiter = SlotLimiter::default();
    limiter.set_slots(1);
    limiter.offer(0, rank(), timing(500, false), now);
    limiter.finish(Some(20 * MS), now);
    limiter.offer(0, rank(), timing(500, false), now);
    limiter
}

/// Calls of one kind by what became of them.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    offered: u32,
    on_time: u32,
    late: u32,
    /// Refused while another server could still have met the target.
    refused_in_time: u32,
    refused_late: u32,
}

/// A replay of one server with its calls by id.
struct Replay {
    limiter: SlotLimiter,
    calls: Vec<(CallKind, Instant)>,
    ends: BinaryHeap<Reverse<(Instant, u64)>>,
    outcomes: BTreeMap<Duration, Outcomes>,
}

impl Replay {
    fn outcomes(&mut self, id: u64) -> (&mut Outcomes, CallKind, Instant) {
        let (kind, at) = self.calls[usize::try_from(id).unwrap()];
        (self.outcomes.entry(kind.target).or_default(), kind, at)
    }

    fn start(&mut self, id: u64, now: Instant) {
        let (outcomes, kind, at) = self.outcomes(id);
        let end = now + kind.service;
        if end <= at + kind.target {
            outcomes.on_time += 1;
        } else {
            outcomes.late += 1;
        }
        self.ends.push(Reverse((end, id)));
    }

    fn refuse(&mut self, id: u64, now: Instant) {
        let (outcomes, kind, at) = self.outcomes(id);
        if now + kind.service < at + kind.target {
            outcomes.refused_in_time += 1;
        } else {
            outcomes.refused_late += 1;
        }
    }

    fn offer(&mut self, kind: CallKind, now: Instant) {
        let id = self.calls.len() as u64;
        self.calls.push((kind, now));
        self.outcomes(id).0.offered += 1;
        let timing = CallTiming {
            time_left: kind.timeout,
            target_left: kind.target,
            has_alternative: true,
        };
        match self.limiter.offer(id, rank(), timing, now) {
            SlotDecision::Run => self.start(id, now),
            SlotDecision::Wait => {}
            SlotDecision::Refuse { .. } => self.refuse(id, now),
        }
    }

    fn finish_until(&mut self, now: Instant) {
        while let Some(Reverse((end, id))) = self.ends.peek().copied()
            && end <= now
        {
            self.ends.pop();
            let service = self.outcomes(id).1.service;
            let dequeued = self.limiter.finish(Some(service), end);
            dequeued.started.iter().for_each(|id| self.start(*id, end));
            let refused = dequeued.refused.iter();
            refused.for_each(|(id, _)| self.refuse(*id, end));
        }
    }
}

/// Replays searches and reads of equal importance at an even rate; returns their outcomes.
fn replay() -> (Outcomes, Outcomes) {
    let start = Instant::now();
    let mut limiter = SlotLimiter::default();
    limiter.set_slots(SLOTS);
    let mut replay = Replay {
        limiter,
        calls: Vec::new(),
        ends: BinaryHeap::new(),
        outcomes: BTreeMap::new(),
    };
    let busy = f64::from(SLOTS) * OVERLOAD - SEARCHES_PER_S * SEARCH.service.as_secs_f64();
    let reads_per_s = busy / READ.service.as_secs_f64();
    let (mut next_search, mut next_read) = (0.0_f64, 0.0_f64);
    while next_search.min(next_read) < SECONDS {
        let is_search = next_search < next_read;
        let at = start + Duration::from_secs_f64(next_search.min(next_read));
        replay.finish_until(at);
        if is_search {
            replay.offer(SEARCH, at);
            next_search += 1.0 / SEARCHES_PER_S;
        } else {
            replay.offer(READ, at);
            next_read += 1.0 / reads_per_s;
        }
    }
    replay.finish_until(start + Duration::from_secs(10));
    let outcomes = |kind: CallKind| replay.outcomes[&kind.target];
    (outcomes(SEARCH), outcomes(READ))
}

/// Load pattern: 1.4 times the calls that the slots can run, for 5 s. Guards against searches that
/// wait behind reads with more time, and against calls that run here too late for a target which
/// another server would have met.
#[test]
fn searches_meet_their_target_beside_more_reads_than_the_slots_run() {
    let (searches, reads) = replay();
    assert_eq!(searches.on_time, searches.offered, "{searches:?}");
    assert_eq!((reads.late, reads.refused_late), (0, 0), "{reads:?}");
    let possible = f64::from(SLOTS) - SEARCHES_PER_S * SEARCH.service.as_secs_f64();
    let possible = possible / READ.service.as_secs_f64() * SECONDS;
    assert!(f64::from(reads.on_time) >= 0.97 * possible, "{reads:?}");
}

#[test]
fn the_earliest_target_starts_first_among_equals_and_a_lost_target_last() {
    let now = Instant::now();
    let mut limiter = busy_limiter(now);
    for (id, target_ms) in [(1, 0), (2, 300), (3, 200), (4, 400)] {
        let decision = limiter.offer(id, rank(), timing(target_ms, true), now);
        assert_eq!(decision, SlotDecision::Wait);
    }
    let started = (0..4).flat_map(|_| limiter.finish(None, now).started);
    assert_eq!(started.collect::<Vec<_>>(), [3, 2, 4, 1]);
}

/// Guards against a call that holds up others although its own response is late in any case, and
/// against its refusal while slots are free.
#[test]
fn a_call_that_loses_its_target_in_the_queue_runs_after_those_that_meet_theirs() {
    let now = Instant::now();
    let mut limiter = busy_limiter(now);
    limiter.offer(1, rank(), timing(100, false), now);
    let later = now + 90 * MS;
    limiter.offer(2, rank(), timing(200, true), later);
    let first = limiter.finish(None, later);
    assert_eq!((first.started, first.demoted), (vec![2], 1));
    assert_eq!(limiter.finish(None, later).started, [1]);
}

/// Guards against calls that are held until their target has passed by a server that froze as a
/// whole, while other servers could still meet it.
#[test]
fn calls_leave_the_queue_of_a_frozen_server_in_time_for_another_one() {
    let now = Instant::now();
    let mut limiter = busy_limiter(now);
    limiter.offer(1, rank(), timing(200, true), now);
    limiter.offer(2, rank(), timing(200, false), now);
    assert!(limiter.process_queue(now + 80 * MS).refused.is_empty());
    let dequeued = limiter.process_queue(now + 100 * MS);
    assert_eq!(dequeued.refused.len(), 1);
    assert_eq!(dequeued.refused[0].0, 1);
    // The sender of the other call has no other server.
    assert_eq!(limiter.process_queue(now + 310 * MS).refused[0].0, 2);
}

/// Guards against a wait at one server after another: a call that would start too late for its
/// target is refused at once while its sender has another server, and runs late without one.
#[test]
fn a_call_that_would_miss_its_target_waits_only_at_the_last_server() {
    let now = Instant::now();
    let mut limiter = busy_limiter(now);
    for id in 1..=7 {
        limiter.offer(id, rank(), timing(300, true), now);
    }
    assert_eq!(limiter.load().queued, 7);
    let refused = limiter.offer(8, rank(), timing(300, true), now);
    assert!(
        matches!(refused, SlotDecision::Refuse { .. }),
        "{refused:?}"
    );
    let queued = limiter.offer(9, rank(), timing(300, false), now);
    assert_eq!(queued, SlotDecision::Wait);
}
