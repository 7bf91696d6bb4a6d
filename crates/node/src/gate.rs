//! Admission queue in front of the local backend server.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use admit::AdmitDecision;
use admit::AdmitGate;
use admit::CallOffer;
use admit::CallOutcome;
use admit::CrashedCalls;
use admit::GateAction;
use admit::GateActions;
use clock::Clock;
use model::context::CallContext;
use model::context::CallRank;
use model::context::ServerLoad;
use model::exchange::ServerState;
use model::verdict::CallFailure;
use model::verdict::FailureCause;
use tokio::sync::oneshot;

/// Decision on a queued call.
type WaitOutcome = Result<(), CallFailure>;

/// Concurrency limiter of the backend server, with the calls that are queued at it.
pub(crate) struct GateKeeper<C: Clock> {
    guarded: Mutex<GuardedGate<C>>,
}

struct GuardedGate<C: Clock> {
    gate: AdmitGate<C>,
    waiting: HashMap<u64, oneshot::Sender<WaitOutcome>>,
    next_id: u64,
}

impl<C: Clock> GateKeeper<C> {
    /// Creates an empty queue with a new limiter.
    pub(crate) fn new(clock: C) -> Self {
        Self {
            guarded: Mutex::new(GuardedGate {
                gate: AdmitGate::new(clock),
                waiting: HashMap::new(),
                next_id: 0,
            }),
        }
    }

    /// Waits until the call may run or is refused.
    ///
    /// Dropping the returned permit, or this future, ends the call at the limiter.
    pub(crate) async fn enter(
        self: &Arc<Self>,
        context: &CallContext,
        deadline: Instant,
    ) -> Result<GatePass<C>, CallFailure> {
        let (pass, waiting) = self.offer(context, deadline)?;
        let Some(waiting) = waiting else {
            return Ok(pass);
        };
        match waiting.await {
            Ok(Ok(())) => Ok(pass),
            Ok(Err(failure)) => Err(failure),
            Err(_) => Err(CallFailure::not_run(FailureCause::Internal)),
        }
    }

    /// Returns the rank below which calls are refused, to report with responses.
    pub(crate) fn cut(&self) -> CallRank {
        self.lock().gate.cut()
    }

    /// Returns the load to report with responses.
    pub(crate) fn load(&self) -> ServerLoad {
        self.lock().gate.load()
    }

    /// Applies the backend server's state.
    pub(crate) fn set_state(&self, state: ServerState) {
        let mut guarded = self.lock();
        let actions = guarded.gate.set_state(state);
        guarded.perform(actions);
    }

    /// Passes on how many concurrent calls the backend server announced; this is only a hint.
    pub(crate) fn hint_slots(&self, slots: u32) {
        let mut guarded = self.lock();
        let actions = guarded.gate.hint_slots(slots);
        guarded.perform(actions);
    }

    /// Records that the backend server crashed, and returns the calls that it was running.
    pub(crate) fn crashed(&self) -> CrashedCalls {
        let mut guarded = self.lock();
        let mut crashed = guarded.gate.crashed();
        let actions = std::mem::take(&mut crashed.actions);
        guarded.perform(actions);
        crashed
    }

    /// Refuses queued calls that can no longer finish before their deadline.
    pub(crate) fn expire(&self) {
        let mut guarded = self.lock();
        let actions = guarded.gate.expire();
        guarded.perform(actions);
    }

    fn offer(
        self: &Arc<Self>,
        context: &CallContext,
        deadline: Instant,
    ) -> Result<(GatePass<C>, Option<oneshot::Receiver<WaitOutcome>>), CallFailure> {
        let mut guarded = self.lock();
        let id = guarded.next_id;
        guarded.next_id += 1;
        let outcome = guarded.gate.offer(CallOffer {
            id,
            rank: context.rank,
            deadline,
            fingerprint: context.fingerprint,
        });
        guarded.perform(outcome.actions);
        let waiting = match outcome.decision {
            AdmitDecision::Run => None,
            AdmitDecision::Refuse(failure) => return Err(failure),
            AdmitDecision::Queued => {
                let (sender, receiver) = oneshot::channel();
                guarded.waiting.insert(id, sender);
                Some(receiver)
            }
        };
        let pass = GatePass {
            keeper: Arc::clone(self),
            id,
            outcome: CallOutcome::Cancelled,
        };
        Ok((pass, waiting))
    }

    fn end(&self, id: u64, outcome: CallOutcome) {
        let mut guarded = self.lock();
        let waited = guarded.waiting.remove(&id).is_some();
        let actions = if waited {
            guarded.gate.cancel(id)
        } else {
            guarded.gate.finish(id, outcome)
        };
        guarded.perform(actions);
    }

    fn lock(&self) -> MutexGuard<'_, GuardedGate<C>> {
        self.guarded.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: Clock> GuardedGate<C> {
    /// Wakes the queued calls that the limiter started or refused.
    fn perform(&mut self, actions: GateActions) {
        for action in actions {
            let (id, outcome) = match action {
                GateAction::Start(id) => (id, Ok(())),
                GateAction::Refuse(id, failure) => (id, Err(failure)),
            };
            if let Some(waiting) = self.waiting.remove(&id) {
                // The receiver is gone when the caller just left; dropping the permit then
                // ends the call.
                let _ = waiting.send(outcome);
            }
        }
    }
}

/// Permission to run a call; dropping it ends the call at the limiter.
pub(crate) struct GatePass<C: Clock> {
    keeper: Arc<GateKeeper<C>>,
    id: u64,
    outcome: CallOutcome,
}

impl<C: Clock> GatePass<C> {
    /// Sets how the call ended; otherwise it counts as cancelled.
    pub(crate) fn ended(&mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }
}

impl<C: Clock> Drop for GatePass<C> {
    fn drop(&mut self) {
        self.keeper.end(self.id, self.outcome);
    }
}
