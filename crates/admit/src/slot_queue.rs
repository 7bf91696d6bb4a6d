//! Queue of the calls that wait for a slot of a backend server, ordered by importance and target.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

/// Fraction of the time to its deadline that a call may wait.
const WAIT_FRACTION: f64 = 0.3;
/// Longest wait of any call, in milliseconds.
const WAIT_MAX_MS: u64 = 400;
/// Fraction of the time in which a call must start to meet its target that it may wait while its
/// sender has another server; the rest is for the wait at that server.
const TARGET_WAIT_FRACTION: f64 = 0.5;

/// How long the response to an offered call may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallTiming {
    /// Time left until the deadline of the call.
    pub time_left: Duration,
    /// Time left until its target latency; zero once that has passed.
    pub target_left: Duration,
    /// Whether the sender tries another server if this one refuses the call.
    pub has_alternative: bool,
}

/// Whether a queued call is expected to meet its target; the lesser starts first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum TargetState {
    Reachable,
    Lost,
}

/// Sort key of the queue: the most important calls first; among equals, the calls that can still
/// meet their target by that target, then the others by their deadline.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    /// The complement of the importance, so that the most important calls sort first.
    inverse_importance: u8,
    target: TargetState,
    due: Instant,
    arrival: u64,
}

/// A queued call.
#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    id: u64,
    deadline: Instant,
    /// Time at which the call is refused if it has not started.
    wait_until: Instant,
}

/// A place in the queue that a call may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuePlace {
    key: QueueKey,
    deadline: Instant,
    /// Longest expected wait with which the call takes the place.
    max_expected: Duration,
    wait_until: Instant,
}

impl QueuePlace {
    /// Returns whether a call with this expected wait starts early enough to take the place.
    pub(crate) fn allows(&self, expected_wait: Duration) -> bool {
        expected_wait <= self.max_expected
    }
}

/// Calls that wait for a slot.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotQueue {
    calls: BTreeMap<QueueKey, QueuedCall>,
    arrivals: u64,
}

impl SlotQueue {
    /// Returns the places that a call may take, the better one first: among the calls that can
    /// meet their target, and behind these.
    ///
    /// A call that can still meet its target takes a place behind these only if its sender has no
    /// other server. `service` is the expected service time.
    pub(crate) fn places(
        &self,
        importance: u8,
        timing: CallTiming,
        service: Duration,
        now: Instant,
    ) -> (Option<QueuePlace>, Option<QueuePlace>) {
        let longest = timing.time_left.mul_f64(WAIT_FRACTION);
        let longest = longest.min(Duration::from_millis(WAIT_MAX_MS));
        let deadline = now + timing.time_left;
        let place = |target, due, max_expected, wait_until| QueuePlace {
            key: QueueKey {
                inverse_importance: u8::MAX - importance,
                target,
                due,
                arrival: self.arrivals,
            },
            deadline,
            max_expected,
            wait_until,
        };
        let behind = place(TargetState::Lost, deadline, longest, now + longest);
        let slack = timing.target_left.saturating_sub(service);
        if slack.is_zero() {
            return (None, Some(behind));
        }
        let target_at = now + timing.target_left;
        if timing.has_alternative {
            let wait = slack.mul_f64(TARGET_WAIT_FRACTION).min(longest);
            let on_time = place(TargetState::Reachable, target_at, wait, now + wait);
            return (Some(on_time), None);
        }
        let wait = slack.min(longest);
        let on_time = place(TargetState::Reachable, target_at, wait, now + longest);
        (Some(on_time), Some(behind))
    }

    /// Returns the number of calls ahead of a place.
    pub(crate) fn ahead(&self, place: &QueuePlace) -> usize {
        self.calls.range(..place.key).count()
    }

    /// Queues a call at a place that [`Self::places`] has just returned.
    pub(crate) fn insert(&mut self, id: u64, place: QueuePlace) {
        self.arrivals += 1;
        let call = QueuedCall {
            id,
            deadline: place.deadline,
            wait_until: place.wait_until,
        };
        self.calls.insert(place.key, call);
    }

    /// Moves the calls that can no longer meet their target behind those that can; returns how
    /// many there are.
    pub(crate) fn demote_late(&mut self, service: Duration, now: Instant) -> usize {
        let earliest_due = now + service;
        let is_late =
            |key: &QueueKey| key.target == TargetState::Reachable && key.due < earliest_due;
        let late: Vec<QueueKey> = self
            .calls
            .keys()
            .filter(|key| is_late(key))
            .copied()
            .collect();
        for key in &late {
            if let Some(call) = self.calls.remove(key) {
                let key = QueueKey {
                    target: TargetState::Lost,
                    due: call.deadline,
                    ..*key
                };
                self.calls.insert(key, call);
            }
        }
        late.len()
    }

    /// Removes the calls that have waited for as long as they may.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<u64> {
        let mut expired = Vec::new();
        self.calls.retain(|_, call| {
            let is_expired = now >= call.wait_until;
            if is_expired {
                expired.push(call.id);
            }
            !is_expired
        });
        expired
    }

    /// Removes the call that starts next.
    pub(crate) fn pop_first(&mut self) -> Option<u64> {
        self.calls.pop_first().map(|(_, call)| call.id)
    }

    /// Removes a call that was cancelled.
    pub(crate) fn remove(&mut self, id: u64) {
        self.calls.retain(|_, call| call.id != id);
    }

    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
