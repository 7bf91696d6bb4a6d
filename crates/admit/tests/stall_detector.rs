//! Virtual-time tests of the decision whether a connection is stalled.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::StallDetector;
use admit::StalledCall;
use model::ids::RouteName;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
/// Interval between two calls, and between two checks.
const CALL_PERIOD: Duration = Duration::from_millis(2);
const CHECKS_AFTER_CALLS: u64 = 25;
/// Number of the call that is never answered unless a test says otherwise.
const SILENT: u64 = 1_000;

/// A server that runs calls for a time that may change; one call is sent every 2 ms.
struct SimulatedServer {
    detector: StallDetector,
    route: RouteName,
    now: Instant,
    next_id: u64,
    ends: BTreeSet<(Instant, u64)>,
    stalled: Vec<StalledCall>,
}

impl SimulatedServer {
    fn new() -> Self {
        Self {
            detector: StallDetector::default(),
            route: Arc::from("reads"),
            now: Instant::now(),
            next_id: 0,
            ends: BTreeSet::new(),
            stalled: Vec::new(),
        }
    }

    /// Runs for `length`, with calls that take `service`, and up to twice that for some; `None` if
    /// the server answers none of them.
    fn run(&mut self, length: Duration, service: impl Fn(u64) -> Option<Duration>) {
        let until = self.now + length;
        while self.now < until {
            self.now += CALL_PERIOD;
            while let Some(&(at, id)) = self.ends.first()
                && at <= self.now
            {
                self.ends.pop_first();
                self.detector.finish(id, true, self.now);
            }
            self.next_id += 1;
            self.detector.begin(self.next_id, &self.route, self.now);
            if let Some(service) = service(self.next_id) {
                let spread = service.mul_f64((self.next_id % 10) as f64 / 10.0);
                let end = self.now + service + spread;
                self.ends.insert((end, self.next_id));
            }
            if self.next_id.is_multiple_of(CHECKS_AFTER_CALLS) {
                self.stalled.extend(self.detector.check(self.now));
            }
        }
    }
}

/// Service time of all calls but the silent one.
fn usual(id: u64) -> Option<Duration> {
    (id != SILENT).then_some(20 * MS)
}

/// Guards against a stalled connection that is noticed only at the deadline of its call.
#[test]
fn a_silent_call_is_found_early_while_later_ones_are_answered() {
    let mut server = SimulatedServer::new();
    server.run(5 * SECOND, usual);
    let ids: Vec<u64> = server.stalled.iter().map(|call| call.id).collect();
    assert_eq!(ids, [SILENT]);
    // 4 times the longest usual time of 40 ms, rounded up to a bucket, and one check.
    assert!(server.stalled[0].silence < 260 * MS, "{:?}", server.stalled);
}

/// Guards against calls that are given up because the whole server became slow: first its calls
/// take twelve times as long, then it answers in order from a growing queue.
#[test]
fn a_slow_server_has_no_stalled_connection() {
    let mut server = SimulatedServer::new();
    server.run(15 * SECOND, |_| Some(20 * MS));
    server.run(10 * SECOND, |_| Some(240 * MS));
    server.run(20 * SECOND, |_| Some(20 * MS));
    for (position, id) in (1..).zip(server.next_id + 1..server.next_id + 500) {
        let end = server.now + CALL_PERIOD + 15 * position * MS;
        server.ends.insert((end, id));
    }
    server.run(5 * SECOND, |_| None);
    assert_eq!(server.stalled, []);
}

/// Guards against calls that are given up because the whole server stood still. When it goes on,
/// the calls that have just been sent are answered first.
#[test]
fn a_server_that_freezes_and_goes_on_has_no_stalled_connection() {
    let mut server = SimulatedServer::new();
    server.run(3 * SECOND, |_| Some(20 * MS));
    let first_held = server.next_id - 9;
    server.ends.clear();
    server.run(3 * SECOND, |_| None);
    for id in first_held..=server.next_id {
        let is_new = id + 100 > server.next_id;
        let delay = if is_new { Duration::ZERO } else { 200 * MS };
        server.ends.insert((server.now + delay, id));
    }
    server.run(3 * SECOND, |_| Some(20 * MS));
    assert_eq!(server.stalled, []);
}

/// Guards against a call that is given up while the server waits for a call of its own.
#[test]
fn a_call_with_a_call_of_its_own_under_way_is_not_stalled() {
    let mut server = SimulatedServer::new();
    server.run(2_010 * MS, usual);
    server.detector.begin_child(SILENT);
    server.run(SECOND, usual);
    assert_eq!(server.stalled, []);
    server.detector.end_child(SILENT, server.now);
    server.run(SECOND, usual);
    assert_eq!(server.stalled.len(), 1);
}

/// Guards against a route whose rare long calls are given up every time. All are kept here until
/// they are answered, as calls that are not idempotent are.
#[test]
fn rare_long_calls_are_recognised_once_one_was_answered() {
    let mut server = SimulatedServer::new();
    let service = |id: u64| {
        Some(if id.is_multiple_of(500) {
            900 * MS
        } else {
            20 * MS
        })
    };
    server.run(10 * SECOND, service);
    let early = server.stalled.len();
    assert!(early >= 1);
    server.run(50 * SECOND, service);
    assert_eq!(server.stalled.len(), early);
}
