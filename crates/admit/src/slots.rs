//! Guard of a backend server that says how many calls it runs at once.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use model::context::CallRank;
use model::context::ServerLoad;

/// Slots assumed before the backend server named its own.
const SLOTS_ASSUMED: u32 = 32;
/// Part of the time left that a call may spend waiting.
const WAIT_PART: f64 = 0.3;
/// Longest wait of any call, in milliseconds.
const WAIT_MAX_MS: u64 = 400;
/// Weight of the newest service time in the average.
const SERVICE_WEIGHT: f64 = 0.05;
/// Shortest and longest delay named to callers that are refused, in milliseconds.
const RETRY_MIN_MS: u64 = 50;
const RETRY_MAX_MS: u64 = 2_000;

/// What the guard decides on a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotDecision {
    /// It may run now.
    Run,
    /// It waits for a slot.
    Wait,
    /// It would wait for too long.
    Refuse {
        /// When there may be room.
        retry_after: Duration,
    },
}

/// What becomes of calls that waited.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SlotChanges {
    /// May run now.
    pub started: Vec<u64>,
    /// Are refused, with the delay after which there may be room.
    pub refused: Vec<(u64, Duration)>,
}

/// A call that waits.
#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    id: u64,
    /// When it is refused if it has not started.
    leave_by: Instant,
}

/// Order of the queue: the highest rank first, and first come, first served within it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    outranked: u8,
    arrival: u64,
}

/// Admission to one backend server whose slots are known.
///
/// Load pattern: more calls than slots for seconds on end. As many calls run as
/// there are slots, so that the backend server itself queues and sheds nothing.
/// The rest wait here, the most important first, and only as long as their
/// deadline leaves room: what would start too late is refused at once, which
/// tells the caller early enough to try elsewhere.
#[derive(Clone, Debug)]
pub struct SlotGate {
    slots: u32,
    running: u32,
    queue: BTreeMap<QueueKey, WaitingCall>,
    arrivals: u64,
    service_s: f64,
}

impl Default for SlotGate {
    fn default() -> Self {
        Self {
            slots: SLOTS_ASSUMED,
            running: 0,
            queue: BTreeMap::new(),
            arrivals: 0,
            service_s: 0.0,
        }
    }
}

impl SlotGate {
    /// Takes over the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Decides on a call with `time_left` until its deadline.
    pub fn offer(
        &mut self,
        id: u64,
        rank: CallRank,
        time_left: Duration,
        now: Instant,
    ) -> SlotDecision {
        if self.running < self.slots && self.queue.is_empty() {
            self.running += 1;
            return SlotDecision::Run;
        }
        let key = QueueKey {
            outranked: u8::MAX - rank.importance(),
            arrival: self.arrivals,
        };
        let patience = time_left
            .mul_f64(WAIT_PART)
            .min(Duration::from_millis(WAIT_MAX_MS));
        let ahead = self.queue.range(..key).count();
        let wait = self.expected_wait(ahead + 1);
        if wait > patience {
            let retry_after = self.retry_after();
            return SlotDecision::Refuse { retry_after };
        }
        self.arrivals += 1;
        let leave_by = now + patience;
        self.queue.insert(key, WaitingCall { id, leave_by });
        SlotDecision::Wait
    }

    /// Notes that a running call ended; `service` is its time in the backend
    /// server when it completed.
    pub fn finish(&mut self, service: Option<Duration>, now: Instant) -> SlotChanges {
        self.running = self.running.saturating_sub(1);
        if let Some(service) = service {
            let service_s = service.as_secs_f64();
            self.service_s = if self.service_s == 0.0 {
                service_s
            } else {
                self.service_s + SERVICE_WEIGHT * (service_s - self.service_s)
            };
        }
        self.advance(now)
    }

    /// Forgets a call that waited and was given up.
    pub fn forget(&mut self, id: u64) {
        self.queue.retain(|_, call| call.id != id);
    }

    /// Starts what there is room for, and refuses what has waited too long.
    pub fn advance(&mut self, now: Instant) -> SlotChanges {
        let mut changes = SlotChanges::default();
        while self.running < self.slots {
            let Some((_, call)) = self.queue.pop_first() else {
                break;
            };
            if now >= call.leave_by {
                changes.refused.push((call.id, self.retry_after()));
                continue;
            }
            self.running += 1;
            changes.started.push(call.id);
        }
        let late: Vec<QueueKey> = self
            .queue
            .iter()
            .filter(|(_, call)| now >= call.leave_by)
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            if let Some(call) = self.queue.remove(&key) {
                changes.refused.push((call.id, self.retry_after()));
            }
        }
        changes
    }

    /// Returns the load to report.
    #[must_use]
    pub fn load(&self) -> ServerLoad {
        ServerLoad {
            in_flight: self.running,
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            limit: self.slots,
        }
    }

    /// Returns how long the call at a place in the queue waits, counted from 1.
    fn expected_wait(&self, place: usize) -> Duration {
        let turn_s = self.service_s / f64::from(self.slots);
        Duration::from_secs_f64(turn_s * place as f64)
    }

    fn retry_after(&self) -> Duration {
        self.expected_wait(self.queue.len() + 1).clamp(
            Duration::from_millis(RETRY_MIN_MS),
            Duration::from_millis(RETRY_MAX_MS),
        )
    }
}
