//! Guard of one backend server: how many calls run, which wait, which are refused.

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
use model::context::ServerLoad;
use model::exchange::ServerState;
use model::ids::Fingerprint;
use model::verdict::CallFailure;
use model::verdict::FailureCause;

pub use crate::gate::call::AdmitDecision;
pub use crate::gate::call::CallOffer;
pub use crate::gate::call::CallOutcome;
pub use crate::gate::call::CrashedCalls;
pub use crate::gate::call::GateAction;
pub use crate::gate::call::GateActions;
pub use crate::gate::call::GateStats;
pub use crate::gate::call::OfferOutcome;
use crate::gate::demand::DemandMap;
use crate::gate::demand::PeriodLoad;
use crate::gate::limit::LimitTracker;
use crate::gate::queue::WaitQueue;
use crate::gate::queue::WaitingCall;

/// Control period of the cut, in milliseconds.
const PERIOD_MS: u64 = 100;
/// Time that the queue may hold work for, in milliseconds.
const QUEUE_MS: u64 = 60;
/// Share of its time left that a call of the class refused last may wait, in a longer queue.
const LAST_PATIENCE: f64 = 0.5;
/// Calls that may wait, at least and at most.
const QUEUE_MIN: usize = 4;
const QUEUE_MAX: usize = 512;
/// Longest wait of any call, in milliseconds.
const WAIT_MAX_MS: u64 = 250;
/// Share of the limit that runs without regard to the expected service time,
/// so that a wrong expectation corrects itself.
const EXPLORE_SHARE: u32 = 8;
/// Part of the mean service time that must be left before the deadline.
const NEEDED_SHARE: f64 = 0.5;
/// Delay named to callers that are refused, in milliseconds.
const RETRY_AFTER_MS: u32 = 500;

/// A call that runs.
#[derive(Clone, Copy, Debug)]
struct RunningCall {
    fingerprint: Fingerprint,
}

/// Admission to one backend server, on the node beside it.
///
/// Calls run up to a concurrency limit found from completions. Above it a
/// short queue is served by rank, then by deadline. What ranks lowest is
/// displaced, what can no longer finish in time is refused. Under overload
/// the gate derives a cut for entry nodes from the demand it saw by rank.
#[derive(Clone, Debug)]
pub struct AdmitGate<C> {
    clock: C,
    state: ServerState,
    running: HashMap<u64, RunningCall>,
    queue: WaitQueue,
    limit: LimitTracker,
    demand: DemandMap,
    period_end: Instant,
    period: PeriodLoad,
    stats: GateStats,
}

impl<C: Clock> AdmitGate<C> {
    /// Creates a gate for a backend server that is ready.
    #[must_use]
    pub fn new(clock: C) -> Self {
        let now = clock.now();
        Self {
            clock,
            state: ServerState::Ready,
            running: HashMap::with_capacity(QUEUE_MAX),
            queue: WaitQueue::with_capacity(QUEUE_MAX),
            limit: LimitTracker::new(now),
            demand: DemandMap::new(),
            period_end: now + Duration::from_millis(PERIOD_MS),
            period: PeriodLoad::default(),
            stats: GateStats::default(),
        }
    }

    /// Decides on a call that asks to run.
    pub fn offer(&mut self, offer: CallOffer) -> OfferOutcome {
        let now = self.clock.now();
        let mut actions = GateActions::new();
        self.tick(now);
        self.stats.offered += 1;
        self.demand.offered(offer.rank);
        let decision = self.decide(offer, now, &mut actions);
        if let AdmitDecision::Refuse(_) = decision {
            self.stats.refused += 1;
        }
        OfferOutcome { decision, actions }
    }

    /// Notes that a call which ran has ended, and returns what may start now.
    pub fn finish(&mut self, id: u64, outcome: CallOutcome) -> GateActions {
        let now = self.clock.now();
        let mut actions = GateActions::new();
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
        self.start_waiting(now, &mut actions);
        actions
    }

    /// Forgets a call that its caller gave up, whether it waits or runs.
    pub fn cancel(&mut self, id: u64) -> GateActions {
        if self.queue.remove(id) {
            return GateActions::new();
        }
        self.finish(id, CallOutcome::Cancelled)
    }

    /// Refuses waiting calls that can no longer finish in time; call every 10 ms or so.
    pub fn expire(&mut self) -> GateActions {
        let now = self.clock.now();
        let mut actions = GateActions::new();
        self.tick(now);
        let needed = self.needed();
        while let Some(call) = self.queue.take_expired(now, needed) {
            self.refuse(call.id, expiry_cause(&call, now, needed), &mut actions);
        }
        self.start_waiting(now, &mut actions);
        actions
    }

    /// Returns the rank below which calls are refused here, for the answers.
    #[must_use]
    pub fn cut(&self) -> CallRank {
        self.demand.cut()
    }

    /// Returns the load to report with answers.
    #[must_use]
    pub fn load(&self) -> ServerLoad {
        ServerLoad {
            in_flight: self.in_flight(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            limit: self.limit.current(),
        }
    }

    /// Returns the figures for metrics.
    #[must_use]
    pub fn stats(&self) -> GateStats {
        self.stats
    }

    /// Takes a hint how many calls the backend server runs at once.
    ///
    /// It only sets where the search starts, since such figures mislead.
    pub fn hint_slots(&mut self, slots: u32) -> GateActions {
        self.limit.hint(slots);
        let mut actions = GateActions::new();
        self.start_waiting(self.clock.now(), &mut actions);
        actions
    }

    /// Takes over the announced state; a server that goes away refuses what waits.
    pub fn set_state(&mut self, state: ServerState) -> GateActions {
        let now = self.clock.now();
        let mut actions = GateActions::new();
        self.state = state;
        self.limit.set_cold(state == ServerState::Starting);
        if state == ServerState::Absent {
            self.refuse_all(&mut actions);
        }
        self.start_waiting(now, &mut actions);
        actions
    }

    /// Notes that the backend server died; it is absent until [`Self::set_state`] says otherwise.
    pub fn crashed(&mut self) -> CrashedCalls {
        let now = self.clock.now();
        let mut crashed = CrashedCalls::default();
        for (id, call) in self.running.drain() {
            crashed.running.push(id);
            crashed.fingerprints.push(call.fingerprint);
        }
        self.state = ServerState::Absent;
        self.limit.released(now, 0);
        self.refuse_all(&mut crashed.actions);
        crashed
    }

    fn decide(
        &mut self,
        offer: CallOffer,
        now: Instant,
        actions: &mut GateActions,
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
        let needed = self.needed();
        if now >= offer.deadline || now + needed > offer.deadline {
            return refusal(FailureCause::DeadlineExceeded);
        }
        self.start_waiting(now, actions);
        if self.queue.is_empty() && self.in_flight() < self.limit.current() {
            self.start(offer.id, offer.fingerprint, now);
            return AdmitDecision::Run;
        }
        self.wait(offer, now, actions)
    }

    /// Returns whether calls of a more important class are refused now.
    ///
    /// Within a class the queue decides, so that no place stays empty.
    fn is_outranked(&self, rank: CallRank) -> bool {
        rank.importance() < self.cut().importance()
    }

    fn wait(&mut self, offer: CallOffer, now: Instant, actions: &mut GateActions) -> AdmitDecision {
        let refused_last = offer.rank.importance() == u8::MAX;
        let leave_by = now + Duration::from_millis(WAIT_MAX_MS);
        let call = WaitingCall {
            id: offer.id,
            rank: offer.rank,
            deadline: offer.deadline,
            leave_by: if refused_last {
                offer.deadline
            } else {
                leave_by
            },
            fingerprint: offer.fingerprint,
        };
        let time_left = offer.deadline.saturating_duration_since(now);
        let patience = if refused_last {
            time_left.mul_f64(LAST_PATIENCE)
        } else {
            Duration::from_millis(QUEUE_MS)
        };
        if self.queue.len() >= self.queue_limit(patience) {
            let Some(lowest) = self.queue.lowest().filter(|lowest| lowest.rank < call.rank) else {
                self.period.refused += 1;
                return refusal(FailureCause::Overloaded);
            };
            let displaced = lowest.id;
            self.queue.pop_lowest();
            self.refuse(displaced, FailureCause::Overloaded, actions);
        }
        self.queue.push(call);
        self.period.waited += 1;
        AdmitDecision::Queued
    }

    /// Starts what waits while there is room, highest rank first.
    fn start_waiting(&mut self, now: Instant, actions: &mut GateActions) {
        while self.in_flight() < self.limit.current() {
            let Some(call) = self.queue.pop_highest() else {
                return;
            };
            let needed = self.needed();
            if now >= call.deadline || now + needed > call.deadline {
                self.refuse(call.id, FailureCause::DeadlineExceeded, actions);
                continue;
            }
            self.start(call.id, call.fingerprint, now);
            actions.push(GateAction::Start(call.id));
        }
    }

    fn start(&mut self, id: u64, fingerprint: Fingerprint, now: Instant) {
        self.running.insert(id, RunningCall { fingerprint });
        self.stats.started += 1;
        self.limit.started(now, self.in_flight());
    }

    fn refuse(&mut self, id: u64, cause: FailureCause, actions: &mut GateActions) {
        self.stats.refused += 1;
        self.period.refused += 1;
        actions.push(GateAction::Refuse(id, failure(cause)));
    }

    fn refuse_all(&mut self, actions: &mut GateActions) {
        while let Some(call) = self.queue.pop_highest() {
            self.refuse(call.id, FailureCause::NoBackend, actions);
        }
    }

    /// Ends a control period when it is over.
    fn tick(&mut self, now: Instant) {
        self.limit
            .tick(now, self.in_flight(), !self.queue.is_empty());
        if now < self.period_end {
            return;
        }
        let length = Duration::from_millis(PERIOD_MS);
        self.period.elapsed = now.saturating_duration_since(self.period_end) + length;
        self.period.capacity_per_s = self.limit.capacity_per_s();
        self.demand.end_period(&self.period);
        self.period = PeriodLoad::default();
        self.period_end = now + length;
    }

    /// Returns how many calls may wait, if the last of them is to start within `patience`.
    fn queue_limit(&self, patience: Duration) -> usize {
        let work = self.limit.capacity_per_s() * patience.as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped right after"
        )]
        let calls = work as usize;
        if calls == 0 {
            return self.limit.current() as usize;
        }
        calls.clamp(QUEUE_MIN, QUEUE_MAX)
    }

    /// Returns the time that a call needs before its deadline to be worth starting.
    fn needed(&self) -> Duration {
        if self.in_flight() <= self.limit.current() / EXPLORE_SHARE {
            return Duration::ZERO;
        }
        self.limit.service_time().mul_f64(NEEDED_SHARE)
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }
}

fn expiry_cause(call: &WaitingCall, now: Instant, needed: Duration) -> FailureCause {
    if now + needed > call.deadline {
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
