//! Concurrency limiter for a backend server that announces how many calls it runs at once.

mod occupancy;

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use model::context::CallRank;
use model::context::FailureShare;
use model::context::ServerLoad;

use crate::AbandonedCalls;
use crate::ColdPacer;
use crate::PaceLimit;

/// Slots assumed before the backend server announces its own.
const SLOTS_DEFAULT: u32 = 32;
/// Fraction of its slots up to which a backend server works at full speed. Beyond it, every call
/// takes longer; in a model of the queue this costs more than the slots once calls take 7% longer.
const FULL_SPEED_FRACTION: f64 = 0.95;
/// Fewest slots of a backend server of which some are kept free. Of fewer, one slot is too much.
const RESERVE_SLOTS_MIN: u32 = 20;
/// Fraction of the time to its deadline that a call may wait.
const WAIT_FRACTION: f64 = 0.3;
/// Longest wait of any call, in milliseconds.
const WAIT_MAX_MS: u64 = 400;
/// Weight of the newest service time in the moving average.
const SERVICE_WEIGHT: f64 = 0.05;
/// Shortest and longest retry delay returned to refused callers, in milliseconds.
const RETRY_MIN_MS: u64 = 50;
const RETRY_MAX_MS: u64 = 2_000;

/// Decision on an offered call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotDecision {
    /// The call may run now.
    Run,
    /// The call is queued until a slot is free.
    Wait,
    /// The call is refused, because it would wait for too long.
    Refuse {
        /// Delay after which a slot may be free.
        retry_after: Duration,
    },
}

/// Calls that left the queue.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DequeuedCalls {
    /// Calls that may run now.
    pub started: Vec<u64>,
    /// Refused calls, each with the delay after which a slot may be free.
    pub refused: Vec<(u64, Duration)>,
}

/// A queued call.
#[derive(Clone, Copy, Debug)]
struct QueuedCall {
    id: u64,
    /// Time at which the call is refused if it has not started.
    wait_until: Instant,
}

/// Sort key of the queue: the most important calls first, in order of arrival among equals.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueueKey {
    /// The complement of the importance, so that the most important calls sort first.
    inverse_importance: u8,
    arrival: u64,
}

/// Concurrency limiter for one backend server with a known number of slots.
///
/// Load pattern: more calls than slots for several seconds. As many calls run as
/// there are slots, so that the backend server itself queues and sheds nothing.
/// The rest wait here in a priority queue, for a limited part of the time to their
/// deadline. A call that would start too late is refused at once, early enough for
/// the caller to try elsewhere.
///
/// Calls that were given up while the server may still run them occupy slots until the server
/// reports otherwise or their deadline is over; see [`AbandonedCalls`].
///
/// A backend server that is cold gets its calls from a [`ColdPacer`] besides: a
/// call that exceeds the pace waits or is refused as if no slot were free.
#[derive(Clone, Debug)]
pub struct SlotLimiter {
    slots: u32,
    /// Whether the backend server is kept below the load at which it slows down.
    keeps_full_speed: bool,
    running: u32,
    abandoned: AbandonedCalls,
    queue: BTreeMap<QueueKey, QueuedCall>,
    arrivals: u64,
    service_s: f64,
    /// Only for a backend server whose service limits the rate while it is cold.
    pacer: Option<ColdPacer>,
}

impl Default for SlotLimiter {
    fn default() -> Self {
        Self {
            slots: SLOTS_DEFAULT,
            keeps_full_speed: false,
            running: 0,
            abandoned: AbandonedCalls::default(),
            queue: BTreeMap::new(),
            arrivals: 0,
            service_s: 0.0,
            pacer: None,
        }
    }
}

impl SlotLimiter {
    /// Sets the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Sets whether the backend server is kept below the load at which it slows down.
    ///
    /// Servers that report their pace do; for others no such load is known.
    pub const fn set_keeps_full_speed(&mut self, keeps_full_speed: bool) {
        self.keeps_full_speed = keeps_full_speed;
    }

    /// Returns the number of calls that run at the same time.
    fn limit(&self) -> u32 {
        if !self.keeps_full_speed || self.slots < RESERVE_SLOTS_MIN {
            return self.slots;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a fraction of the slots"
        )]
        let limit = (f64::from(self.slots) * FULL_SPEED_FRACTION) as u32;
        limit
    }

    /// Sets the rate that the backend server tolerates while it is cold; `None` for any rate.
    ///
    /// When there was no limit before, any number of calls may have been sent up to `now`.
    pub fn set_pace_limit(&mut self, limit: Option<PaceLimit>, now: Instant) {
        match (limit, &mut self.pacer) {
            (Some(limit), Some(pacer)) => pacer.set_limit(limit),
            (limit, pacer) => *pacer = limit.map(|limit| ColdPacer::new(limit, now)),
        }
    }

    /// Sets the time until which the backend server is cold; of no effect without a limit.
    pub const fn set_cold_until(&mut self, cold_until: Option<Instant>) {
        if let Some(pacer) = &mut self.pacer {
            pacer.set_cold_until(cold_until);
        }
    }

    /// Returns whether the backend server is cold and its rate therefore limited.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.pacer.as_ref().is_some_and(|pacer| pacer.is_cold(now))
    }

    /// Returns the slots that the calls of a cold backend server use at the rate that it
    /// tolerates, at least one; all slots while its rate is not limited.
    #[must_use]
    pub fn usable_slots(&self, now: Instant) -> u32 {
        let pacer = self.pacer.as_ref().filter(|pacer| pacer.is_cold(now));
        let Some(pacer) = pacer else {
            return self.slots;
        };
        let used = pacer.limit().rate_per_s() * self.service_s;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a cast of a float saturates"
        )]
        let used = used as u32;
        used.clamp(1, self.slots)
    }

    /// Returns whether calls wait although a slot is free, since the backend server is cold.
    #[must_use]
    pub fn is_paced(&self, now: Instant) -> bool {
        self.running < self.open_slots() && self.next_start(now) > now
    }

    /// Returns when the next queued call may start, if only the pace holds it back.
    #[must_use]
    pub fn next_wake(&self, now: Instant) -> Option<Instant> {
        let is_held_back = !self.queue.is_empty() && self.is_paced(now);
        is_held_back.then(|| self.next_start(now))
    }

    /// Returns whether a health check may be sent now without delaying a call, and if so counts
    /// it as sent. It uses no slot of the limiter.
    pub fn try_check(&mut self, now: Instant) -> bool {
        let is_free = self.running < self.open_slots() && self.queue.is_empty();
        if !is_free || self.next_start(now) > now {
            return false;
        }
        self.record_start(now);
        true
    }

    /// Runs, queues or refuses a call with `time_left` until its deadline.
    pub fn offer(
        &mut self,
        id: u64,
        rank: CallRank,
        time_left: Duration,
        now: Instant,
    ) -> SlotDecision {
        let is_free = self.running < self.open_slots() && self.queue.is_empty();
        if is_free && self.next_start(now) <= now {
            self.running += 1;
            self.record_start(now);
            return SlotDecision::Run;
        }
        let key = QueueKey {
            inverse_importance: u8::MAX - rank.importance(),
            arrival: self.arrivals,
        };
        let max_wait = time_left
            .mul_f64(WAIT_FRACTION)
            .min(Duration::from_millis(WAIT_MAX_MS));
        let ahead = self.queue.range(..key).count();
        let wait = self.expected_wait(ahead + 1, now);
        if wait > max_wait {
            let retry_after = self.retry_after(now);
            return SlotDecision::Refuse { retry_after };
        }
        self.arrivals += 1;
        let wait_until = now + max_wait;
        self.queue.insert(key, QueuedCall { id, wait_until });
        SlotDecision::Wait
    }

    /// Ends a running call and starts queued ones; `service` is the service time of a call that
    /// completed.
    pub fn finish(&mut self, service: Option<Duration>, now: Instant) -> DequeuedCalls {
        self.running = self.running.saturating_sub(1);
        if let Some(service) = service {
            let service_s = service.as_secs_f64();
            self.service_s = if self.service_s == 0.0 {
                service_s
            } else {
                self.service_s + SERVICE_WEIGHT * (service_s - self.service_s)
            };
        }
        self.process_queue(now)
    }

    /// Removes a queued call that was cancelled.
    pub fn cancel_queued(&mut self, id: u64) {
        self.queue.retain(|_, call| call.id != id);
    }

    /// Starts queued calls while slots are free, and refuses those that waited too long.
    pub fn process_queue(&mut self, now: Instant) -> DequeuedCalls {
        self.abandoned.expire(now);
        let mut dequeued = DequeuedCalls::default();
        while self.running < self.open_slots() && self.next_start(now) <= now {
            let Some((_, call)) = self.queue.pop_first() else {
                break;
            };
            if now >= call.wait_until {
                dequeued.refused.push((call.id, self.retry_after(now)));
                continue;
            }
            self.running += 1;
            self.record_start(now);
            dequeued.started.push(call.id);
        }
        let expired: Vec<QueueKey> = self
            .queue
            .iter()
            .filter(|(_, call)| now >= call.wait_until)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            if let Some(call) = self.queue.remove(&key) {
                dequeued.refused.push((call.id, self.retry_after(now)));
            }
        }
        dequeued
    }

    /// Returns the load to report to other nodes.
    #[must_use]
    pub fn load(&self) -> ServerLoad {
        ServerLoad {
            in_flight: self.running,
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            limit: self.open_slots(),
            pace: None,
            failing: FailureShare::default(),
        }
    }

    /// Returns when the pace allows the next call.
    fn next_start(&self, now: Instant) -> Instant {
        self.pacer.as_ref().map_or(now, |pacer| pacer.next_at(now))
    }

    fn record_start(&mut self, now: Instant) {
        if let Some(pacer) = &mut self.pacer {
            pacer.record(now);
        }
    }

    /// Returns the expected wait of the call at a position of the queue, counted from 1.
    fn expected_wait(&self, position: usize, now: Instant) -> Duration {
        let per_slot_s = self.service_s / f64::from(self.open_slots());
        let for_slot = Duration::from_secs_f64(per_slot_s * position as f64);
        let pacer = self.pacer.as_ref();
        let for_pace = pacer.map(|pacer| pacer.expected_delay(position - 1, now));
        for_slot.max(for_pace.unwrap_or_default())
    }

    fn retry_after(&self, now: Instant) -> Duration {
        self.expected_wait(self.queue.len() + 1, now).clamp(
            Duration::from_millis(RETRY_MIN_MS),
            Duration::from_millis(RETRY_MAX_MS),
        )
    }
}
