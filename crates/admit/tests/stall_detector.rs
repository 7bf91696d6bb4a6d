//! Virtual-time tests of the decision whether a connection is stalled.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::StallDetector;
use admit::StalledCall;
use model::ids::RouteName;

const MS: Duration = Duration::from_millis(1);
/// Interval between two calls, and between two checks.
const CALL_PERIOD: Duration = Duration::from_millis(2);
const CHECKS_AFTER_CALLS: u64 = 25;
/// Number of the call that is never answered unless a test says otherwise.
const SILENT: u64 = 1_000;

/// A server that runs calls for a time that may change; one call is sent every 2 ms.
struct SimulatedServer {
    detector: StallDetector,
    route: RouteName,
    start: Instant,
    now: Instant,
    next_id: u64,
    ends: BTreeSet<(Instant, u64)>,
    stalled: Vec<StalledCall>,
}

impl SimulatedServer {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            detector: StallDetector::default(),
            route: Arc::from("reads"),
            start,
            now: start,
            next_id: 0,
            ends: BTreeSet::new(),
            stalled: Vec::new(),
        }
    }

    /// Runs until `end`, with calls that take `service`, and up to twice that for some; `None`
    /// if the server answers none of them.
    fn run(&mut self, end: Duration, service: impl Fn(u64) -> Option<Duration>) {
        while self.now < self.start + end {
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

/// Guards against a stalled connection that is noticed only at the deadline of its call.
#[test]
fn a_silent_call_is_found_early_while_later_ones_are_answered() {
    let mut server = SimulatedServer::new();
    server.run(5 * 1000 * MS, |id| (id != SILENT).then_some(20 * MS));
    let ids: Vec<u64> = server.stalled.iter().map(|call| call.id).collect();
    assert_eq!(ids, [SILENT]);
    // 4 times the longest usual time of 40 ms, rounded up to a bucket, and one check.
    assert!(server.stalled[0].silence < 260 * MS, "{:?}", server.stalled);
}

/// Guards against calls that are given up because the whole server became slow.
#[test]
fn a_server_that_becomes_twelve_times_slower_has_no_stalled_connection() {
    let mut server = SimulatedServer::new();
    server.run(3_000 * MS, |_| Some(20 * MS));
    server.run(8_000 * MS, |_| Some(240 * MS));
    assert_eq!(server.stalled, []);
}

/// Guards against calls that are given up because the whole server stood still; the calls of that
/// time are answered all at once.
#[test]
fn a_server_that_freezes_and_goes_on_has_no_stalled_connection() {
    let mut server = SimulatedServer::new();
    server.run(3_000 * MS, |_| Some(20 * MS));
    let thaw = server.start + 6_000 * MS;
    for (_, id) in std::mem::take(&mut server.ends) {
        server.ends.insert((thaw, id));
    }
    server.run(6_000 * MS, |_| None);
    for id in 1_501..=server.next_id {
        server.ends.insert((thaw, id));
    }
    server.run(9_000 * MS, |_| Some(20 * MS));
    assert_eq!(server.stalled, []);
}

/// Guards against a call that is given up while the server waits for a call of its own.
#[test]
fn a_call_with_a_call_of_its_own_under_way_is_not_stalled() {
    let mut server = SimulatedServer::new();
    let service = |id| (id != SILENT).then_some(20 * MS);
    server.run(2_010 * MS, service);
    server.detector.begin_child(SILENT);
    server.run(3_500 * MS, service);
    assert_eq!(server.stalled, []);
    server.detector.end_child(SILENT, server.now);
    server.run(4_500 * MS, service);
    assert_eq!(server.stalled.len(), 1);
}

/// Guards against a route whose rare long calls are given up every time.
#[test]
fn rare_long_calls_are_recognised_once_one_was_answered() {
    let mut server = SimulatedServer::new();
    let is_long = |id: u64| id.is_multiple_of(500);
    // All are kept here until they are answered, as calls that are not idempotent are.
    server.run(10_000 * MS, |id| {
        Some(if is_long(id) { 900 * MS } else { 20 * MS })
    });
    let early = server.stalled.len();
    assert!(early >= 1);
    server.run(60_000 * MS, |id| {
        Some(if is_long(id) { 900 * MS } else { 20 * MS })
    });
    assert_eq!(server.stalled.len(), early);
}
