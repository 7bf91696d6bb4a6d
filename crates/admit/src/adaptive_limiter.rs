//! Adaptive concurrency limiter for one backend server, with a priority queue.

mod call;
mod demand;
mod estimate;
mod limit;
mod queue;
mod window;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::context::CallRank;
use model::context::FailureShare;
use model::context::ServerLoad;
use model::exchange::ServerState;
use model::ids::Fingerprint;
use model::verdict::CallFailure;
use model::verdict::FailureCause;

pub use crate::adaptive_limiter::call::AdmitDecision;
pub use crate::adaptive_limiter::call::CallOffer;
pub use crate::adaptive_limiter::call::CallOutcome;
pub use crate::adaptive_limiter::call::CrashedCalls;
pub use crate::adaptive_limiter::call::LimiterStats;
pub use crate::adaptive_limiter::call::OfferOutcome;
pub use crate::adaptive_limiter::call::QueueAction;
pub use crate::adaptive_limiter::call::QueueActions;
use crate::adaptive_limiter::demand::DemandHistogram;
use crate::adaptive_limiter::demand::PeriodLoad;
use crate::adaptive_limiter::limit::ConcurrencyLimit;
use crate::adaptive_limiter::queue::QueuedCall;
use crate::adaptive_limiter::queue::RankQueue;

/// Period after which the rank threshold is updated, in milliseconds.
const CONTROL_PERIOD_MS: u64 = 100;
/// Target length of the queue, as the time in which the backend server completes the queued
/// calls, in milliseconds.
const QUEUE_TARGET_MS: u64 = 60;
/// Fraction of the time to its deadline that sets the length of the queue for a call of the
/// class refused last; such calls may wait in a longer queue.
const REFUSED_LAST_WAIT: f64 = 0.5;
/// Smallest and largest limit on the number of queued calls.
const QUEUE_MIN: usize = 4;
const QUEUE_MAX: usize = 512;
/// Longest wait of a call, except in the class refused last, in milliseconds.
const WAIT_MAX_MS: u64 = 250;
/// Divisor of the limit: up to this fraction of it, calls run without regard to the expected
/// service time, so that a wrong estimate corrects itself.
const EXPLORE_DIVISOR: u32 = 8;
/// Fraction of the mean service time that must be left before the deadline.
const MIN_TIME_LEFT_FRACTION: f64 = 0.5;
/// Retry delay returned to refused callers, in milliseconds.
const RETRY_AFTER_MS: u32 = 500;

/// A running call.
#[derive(Clone, Copy, Debug)]
struct RunningCall {
    fingerprint: Fingerprint,
}

/// Adaptive concurrency limiter for one backend server, run by the server's own node.
///
/// Calls run up to a concurrency limit that is derived from completions. Above it,
/// calls wait in a short queue, served by rank, then by deadline. When the queue is
/// full, the call of the lowest rank is evicted. Calls that can no longer finish in
/// time are refused. Under overload, the limiter derives a rank threshold for the
/// entry nodes from the demand that it observed by rank.
#[derive(Clone, Debug)]
pub struct AdaptiveLimiter<C> {
    clock: C,
    state: ServerState,
    running: HashMap<u64, RunningCall>,
    queue: RankQueue,
    limit: ConcurrencyLimit,
    demand: DemandHistogram,
    period_end: Instant,
    period: PeriodLoad,
    stats: LimiterStats,
}

impl<C: Clock> AdaptiveLimiter<C> {
    /// Creates a limiter for a backend server that is ready.
    #[must_use]
    pub fn new(clock: C) -> Self {
        let now = clock.now();
        Self {
            clock,
            state: ServerState::Ready,
            running: HashMap::with_capacity(QUEUE_MAX),
            queue: RankQueue::with_capacity(QUEUE_MAX),
            limit: ConcurrencyLimit::new(now),
            demand: DemandHistogram::new(),
            period_end: now + Duration::from_millis(CONTROL_PERIOD_MS),
            period: PeriodLoad::default(),
            stats: LimiterStats::default(),
        }
    }

    /// Runs, queues or refuses a call.
    pub fn offer(&mut self, offer: CallOffer) -> OfferOutcome {
        let now = self.clock.now();
        let mut actions = QueueActions::new();
        self.tick(now);
        self.stats.offered += 1;
        self.demand.offered(offer.rank);
        let decision = self.decide(offer, now, &mut actions);
        if let AdmitDecision::Refuse(_) = decision {
            self.stats.refused += 1;
        }
        OfferOutcome { decision, actions }
    }

    /// Records the end of a running call, and returns the queued calls that start or are refused
    /// now.
    pub fn finish(&mut self, id: u64, outcome: CallOutcome) -> QueueActions {
        let now = self.clock.now();
        let mut actions = QueueActions::new();
        if self.running.remove(&id).is_none() {
            return actions;
        }
        let in_flight = self.in_flight();
        match outcome {
            CallOutcome::Completed => {
                self.limit.completed(now, in_flight);
                self.stats.completed += 1;
                self.period.completed += 1;
            }
            CallOutcome::Shed => self.limit.shed(now, in_flight),
            CallOutcome::Failed | CallOutcome::Cancelled => self.limit.released(now, in_flight),
        }
        self.tick(now);
        self.start_queued(now, &mut actions);
        actions
    }

    /// Removes a call that its caller cancelled, whether it is queued or running.
    pub fn cancel(&mut self, id: u64) -> QueueActions {
        if self.queue.remove(id) {
            return QueueActions::new();
        }
        self.finish(id, CallOutcome::Cancelled)
    }

    /// Refuses queued calls that can no longer finish in time; call it about every 10 ms.
    pub fn expire(&mut self) -> QueueActions {
        let now = self.clock.now();
        let mut actions = QueueActions::new();
        self.tick(now);
        let min_time_left = self.min_time_left();
        while let Some(call) = self.queue.take_expired(now, min_time_left) {
            self.refuse(
                call.id,
                expiry_cause(&call, now, min_time_left),
                &mut actions,
            );
        }
        self.start_queued(now, &mut actions);
        actions
    }

    /// Returns the rank below which calls are refused here, to be sent with responses.
    #[must_use]
    pub fn rank_threshold(&self) -> CallRank {
        self.demand.threshold()
    }

    /// Returns the load to report with responses.
    #[must_use]
    pub fn load(&self) -> ServerLoad {
        ServerLoad {
            in_flight: self.in_flight(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            limit: self.limit.current(),
            pace: None,
            failing: FailureShare::default(),
        }
    }

    /// Returns the counters for metrics.
    #[must_use]
    pub fn stats(&self) -> LimiterStats {
        self.stats
    }

    /// Sets a hint of how many calls the backend server runs at once.
    ///
    /// It is only the start of the search for the limit, since such figures can be wrong.
    pub fn hint_slots(&mut self, slots: u32) -> QueueActions {
        self.limit.hint(slots);
        let mut actions = QueueActions::new();
        self.start_queued(self.clock.now(), &mut actions);
        actions
    }

    /// Sets the announced state; when the server becomes absent, queued calls are refused.
    pub fn set_state(&mut self, state: ServerState) -> QueueActions {
        let now = self.clock.now();
        let mut actions = QueueActions::new();
        self.state = state;
        self.limit.set_cold(state == ServerState::Starting);
        if state == ServerState::Absent {
            self.refuse_queued(&mut actions);
        }
        self.start_queued(now, &mut actions);
        actions
    }

    /// Records a crash of the backend server; it counts as absent until [`Self::set_state`] is
    /// called.
    pub fn record_crash(&mut self) -> CrashedCalls {
        let now = self.clock.now();
        let mut crashed = CrashedCalls::default();
        for (id, call) in self.running.drain() {
            crashed.running.push(id);
            crashed.fingerprints.push(call.fingerprint);
        }
        self.state = ServerState::Absent;
        self.limit.released(now, 0);
        self.refuse_queued(&mut crashed.actions);
        crashed
    }

    /// Decides on an offered call; calls that leave the queue are added to `actions`.
    fn decide(
        &mut self,
        offer: CallOffer,
        now: Instant,
        actions: &mut QueueActions,
    ) -> AdmitDecision {
        match self.state {
            ServerState::Absent => return refusal(FailureCause::NoBackend),
            ServerState::Draining => return refusal(FailureCause::Draining),
            ServerState::Starting | ServerState::Ready => {}
        }
        if self.is_outranked(offer.rank) {
            self.period.refused += 1;
            return refusal(FailureCause::Overloaded);
        }
        let min_time_left = self.min_time_left();
        if now >= offer.deadline || now + min_time_left > offer.deadline {
            return refusal(FailureCause::DeadlineExceeded);
        }
        self.start_queued(now, actions);
        if self.queue.is_empty() && self.in_flight() < self.limit.current() {
            self.start(offer.id, offer.fingerprint, now);
            return AdmitDecision::Run;
        }
        self.enqueue(offer, now, actions)
    }

    /// Returns whether calls of a more important class are refused now.
    ///
    /// Within a class the queue decides, so that free capacity is always used.
    fn is_outranked(&self, rank: CallRank) -> bool {
        rank.importance() < self.demand.importance_floor()
    }

    /// Queues a call, or refuses it or the call of the lowest rank if the queue is full.
    fn enqueue(
        &mut self,
        offer: CallOffer,
        now: Instant,
        actions: &mut QueueActions,
    ) -> AdmitDecision {
        let refused_last = offer.rank.importance() == u8::MAX;
        let wait_until = now + Duration::from_millis(WAIT_MAX_MS);
        let call = QueuedCall {
            id: offer.id,
            rank: offer.rank,
            deadline: offer.deadline,
            wait_until: if refused_last {
                offer.deadline
            } else {
                wait_until
            },
            fingerprint: offer.fingerprint,
        };
        let time_left = offer.deadline.saturating_duration_since(now);
        let max_wait = if refused_last {
            time_left.mul_f64(REFUSED_LAST_WAIT)
        } else {
            Duration::from_millis(QUEUE_TARGET_MS)
        };
        if self.queue.len() >= self.queue_limit(max_wait) {
            let Some(lowest) = self.queue.lowest().filter(|lowest| lowest.rank < call.rank) else {
                self.period.refused += 1;
                return refusal(FailureCause::Overloaded);
            };
            let evicted = lowest.id;
            self.queue.pop_lowest();
            self.refuse(evicted, FailureCause::Overloaded, actions);
        }
        self.queue.push(call);
        self.period.queued += 1;
        AdmitDecision::Queued
    }

    /// Starts queued calls while the limit allows, highest rank first.
    fn start_queued(&mut self, now: Instant, actions: &mut QueueActions) {
        while self.in_flight() < self.limit.current() {
            let Some(call) = self.queue.pop_highest() else {
                return;
            };
            let min_time_left = self.min_time_left();
            if now >= call.deadline || now + min_time_left > call.deadline {
                self.refuse(call.id, FailureCause::DeadlineExceeded, actions);
                continue;
            }
            self.start(call.id, call.fingerprint, now);
            actions.push(QueueAction::Start(call.id));
        }
    }

    fn start(&mut self, id: u64, fingerprint: Fingerprint, now: Instant) {
        self.running.insert(id, RunningCall { fingerprint });
        self.stats.started += 1;
        self.limit.started(now, self.in_flight());
    }

    fn refuse(&mut self, id: u64, cause: FailureCause, actions: &mut QueueActions) {
        self.stats.refused += 1;
        self.period.refused += 1;
        actions.push(QueueAction::Refuse(id, failure(cause)));
    }

    fn refuse_queued(&mut self, actions: &mut QueueActions) {
        while let Some(call) = self.queue.pop_highest() {
            self.refuse(call.id, FailureCause::NoBackend, actions);
        }
    }

    /// Updates the limit, and the rank threshold at the end of a control period.
    fn tick(&mut self, now: Instant) {
        self.limit
            .tick(now, self.in_flight(), !self.queue.is_empty());
        if now < self.period_end {
            return;
        }
        let length = Duration::from_millis(CONTROL_PERIOD_MS);
        self.period.elapsed = now.saturating_duration_since(self.period_end) + length;
        self.period.capacity_per_s = self.limit.capacity_per_s();
        self.demand.end_period(&self.period);
        self.period = PeriodLoad::default();
        self.period_end = now + length;
    }

    /// Returns the queue length at which the last call starts within `max_wait`.
    fn queue_limit(&self, max_wait: Duration) -> usize {
        let completions = self.limit.capacity_per_s() * max_wait.as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped right after"
        )]
        let calls = completions as usize;
        if calls == 0 {
            return self.limit.current() as usize;
        }
        calls.clamp(QUEUE_MIN, QUEUE_MAX)
    }

    /// Returns the time to its deadline below which a call is not started.
    fn min_time_left(&self) -> Duration {
        if self.in_flight() <= self.limit.current() / EXPLORE_DIVISOR {
            return Duration::ZERO;
        }
        self.limit.service_time().mul_f64(MIN_TIME_LEFT_FRACTION)
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }
}

fn expiry_cause(call: &QueuedCall, now: Instant, min_time_left: Duration) -> FailureCause {
    if now + min_time_left > call.deadline {
        FailureCause::DeadlineExceeded
    } else {
        FailureCause::Overloaded
    }
}

fn failure(cause: FailureCause) -> CallFailure {
    CallFailure::not_run(cause).retry_after_ms(RETRY_AFTER_MS)
}

fn refusal(cause: FailureCause) -> AdmitDecision {
    AdmitDecision::Refuse(failure(cause))
}
