//! Admission queue in front of the local backend server.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use admit::AdaptiveLimiter;
use admit::AdmitDecision;
use admit::CallOffer;
use admit::CallOutcome;
use admit::CrashedCalls;
use admit::QueueAction;
use admit::QueueActions;
use clock::Clock;
use model::context::CallContext;
use model::context::CallRank;
use model::context::ServerLoad;
use model::exchange::ServerState;
use model::verdict::CallFailure;
use model::verdict::FailureCause;
use tokio::sync::oneshot;

/// Decision on a queued call.
type QueueDecision = Result<(), CallFailure>;

/// Concurrency limiter of the backend server, with the calls that are queued at it.
pub(crate) struct AdmissionQueue<C: Clock> {
    inner: Mutex<QueueState<C>>,
}

struct QueueState<C: Clock> {
    limiter: AdaptiveLimiter<C>,
    queued: HashMap<u64, oneshot::Sender<QueueDecision>>,
    next_id: u64,
}

impl<C: Clock> AdmissionQueue<C> {
    /// Creates an empty queue with a new limiter.
    pub(crate) fn new(clock: C) -> Self {
        Self {
            inner: Mutex::new(QueueState {
                limiter: AdaptiveLimiter::new(clock),
                queued: HashMap::new(),
                next_id: 0,
            }),
        }
    }

    /// Waits until the call may run or is refused.
    ///
    /// Dropping the returned permit, or this future, ends the call at the limiter.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        context: &CallContext,
        deadline: Instant,
    ) -> Result<AdmissionPermit<C>, CallFailure> {
        let (permit, receiver) = self.offer(context, deadline)?;
        let Some(receiver) = receiver else {
            return Ok(permit);
        };
        match receiver.await {
            Ok(Ok(())) => Ok(permit),
            Ok(Err(failure)) => Err(failure),
            Err(_) => Err(CallFailure::not_run(FailureCause::Internal)),
        }
    }

    /// Returns the rank below which calls are refused, to report with responses.
    pub(crate) fn rank_threshold(&self) -> CallRank {
        self.lock().limiter.rank_threshold()
    }

    /// Returns the load to report with responses.
    pub(crate) fn load(&self) -> ServerLoad {
        self.lock().limiter.load()
    }

    /// Applies the backend server's state.
    pub(crate) fn set_state(&self, state: ServerState) {
        let mut inner = self.lock();
        let actions = inner.limiter.set_state(state);
        inner.apply_actions(actions);
    }

    /// Passes on how many concurrent calls the backend server announced; this is only a hint.
    pub(crate) fn hint_slots(&self, slots: u32) {
        let mut inner = self.lock();
        let actions = inner.limiter.hint_slots(slots);
        inner.apply_actions(actions);
    }

    /// Records that the backend server crashed, and returns the calls that it was running.
    pub(crate) fn record_crash(&self) -> CrashedCalls {
        let mut inner = self.lock();
        let mut crashed = inner.limiter.record_crash();
        let actions = std::mem::take(&mut crashed.actions);
        inner.apply_actions(actions);
        crashed
    }

    /// Refuses queued calls that can no longer finish before their deadline.
    pub(crate) fn expire(&self) {
        let mut inner = self.lock();
        let actions = inner.limiter.expire();
        inner.apply_actions(actions);
    }

    fn offer(
        self: &Arc<Self>,
        context: &CallContext,
        deadline: Instant,
    ) -> Result<(AdmissionPermit<C>, Option<oneshot::Receiver<QueueDecision>>), CallFailure> {
        let mut inner = self.lock();
        let id = inner.next_id;
        inner.next_id += 1;
        let outcome = inner.limiter.offer(CallOffer {
            id,
            rank: context.rank,
            deadline,
            fingerprint: context.fingerprint,
        });
        inner.apply_actions(outcome.actions);
        let receiver = match outcome.decision {
            AdmitDecision::Run => None,
            AdmitDecision::Refuse(failure) => return Err(failure),
            AdmitDecision::Queued => {
                let (sender, receiver) = oneshot::channel();
                inner.queued.insert(id, sender);
                Some(receiver)
            }
        };
        let permit = AdmissionPermit {
            queue: Arc::clone(self),
            id,
            outcome: CallOutcome::Cancelled,
        };
        Ok((permit, receiver))
    }

    fn end_call(&self, id: u64, outcome: CallOutcome) {
        let mut inner = self.lock();
        let was_queued = inner.queued.remove(&id).is_some();
        let actions = if was_queued {
            inner.limiter.cancel(id)
        } else {
            inner.limiter.finish(id, outcome)
        };
        inner.apply_actions(actions);
    }

    fn lock(&self) -> MutexGuard<'_, QueueState<C>> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: Clock> QueueState<C> {
    /// Wakes the queued calls that the limiter started or refused.
    fn apply_actions(&mut self, actions: QueueActions) {
        for action in actions {
            let (id, outcome) = match action {
                QueueAction::Start(id) => (id, Ok(())),
                QueueAction::Refuse(id, failure) => (id, Err(failure)),
            };
            if let Some(sender) = self.queued.remove(&id) {
                // The receiver is gone when the caller just left; dropping the permit then
                // ends the call.
                let _ = sender.send(outcome);
            }
        }
    }
}

/// Permission to run a call; dropping it ends the call at the limiter.
pub(crate) struct AdmissionPermit<C: Clock> {
    queue: Arc<AdmissionQueue<C>>,
    id: u64,
    outcome: CallOutcome,
}

impl<C: Clock> AdmissionPermit<C> {
    /// Sets how the call ended; otherwise it counts as cancelled.
    pub(crate) fn set_outcome(&mut self, outcome: CallOutcome) {
        self.outcome = outcome;
    }
}

impl<C: Clock> Drop for AdmissionPermit<C> {
    fn drop(&mut self) {
        self.queue.end_call(self.id, self.outcome);
    }
}
