//! The local backend server's concurrency slots, and the calls that wait for one.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use admit::AbandonReason;
use admit::DequeuedCalls;
use admit::SlotDecision;
use clock::Clock;
use fleet::CallHead;
use metrics::ProcessMetrics;
use model::ids::RouteName;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::local_server::LocalServer;
use crate::local_server::LocalServerState;
use crate::local_server::UNAVAILABLE_RETRY_AFTER;
use crate::local_server::stall_watch::SentCall;
use crate::state::lock;

/// Kind of the metrics on calls that the pace of a cold backend server held back.
const COLD_PACE: &str = "cold-pace";

/// A slot, or the delay after which one may be free.
pub(super) type SlotResult = Result<SlotPermit, Duration>;

impl LocalServer {
    /// Waits for a slot; fails with the delay after which one may be free.
    pub(super) async fn acquire_slot(
        &self,
        head: &CallHead,
        metrics: &ProcessMetrics,
        now: Instant,
    ) -> SlotResult {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (waiter, is_paced) = {
            let mut state = lock(&self.state);
            let decision = state.limiter.offer(id, head.rank, head.time_left, now);
            let is_paced = state.limiter.is_paced(now);
            match decision {
                SlotDecision::Run => return Ok(self.new_permit(id)),
                SlotDecision::Refuse { retry_after } => {
                    if is_paced {
                        metrics.count(COLD_PACE, "refused");
                    }
                    return Err(retry_after);
                }
                SlotDecision::Wait => {
                    let (sender, waiter) = oneshot::channel();
                    state.waiting.insert(id, sender);
                    (waiter, is_paced)
                }
            }
        };
        if is_paced {
            metrics.count(COLD_PACE, "delayed");
            self.call_paced.notify_one();
        }
        let queued = QueuedCall { server: self, id };
        let outcome = waiter.await;
        drop(queued);
        let outcome = outcome.unwrap_or(Err(UNAVAILABLE_RETRY_AFTER));
        if is_paced && outcome.is_err() {
            metrics.count(COLD_PACE, "refused");
        }
        outcome
    }

    /// Starts calls when the pace of a cold backend server allows the next one; never returns.
    ///
    /// The periodic maintenance would start them up to 50 ms later, which costs rate.
    pub(crate) async fn start_paced_calls<C: Clock>(&self, clock: &C) {
        loop {
            let now = clock.now();
            let next = lock(&self.state).limiter.next_wake(now);
            let paced = self.call_paced.notified();
            match next {
                // Another call may wait by then, or the pace may have changed.
                Some(at) => {
                    let _ = timeout(at.saturating_duration_since(now), paced).await;
                }
                None => paced.await,
            }
            // No notification here: it would end the next wait at once.
            self.start_queued(clock.now());
        }
    }

    /// Starts the queued calls that may run, and refuses those that waited too long.
    pub(super) fn process_queue(&self, now: Instant) {
        if self.start_queued(now) {
            self.call_paced.notify_one();
        }
    }

    /// Starts and refuses queued calls; returns whether the pace alone holds back the next one.
    fn start_queued(&self, now: Instant) -> bool {
        let mut state = lock(&self.state);
        let changes = state.limiter.process_queue(now);
        let is_paced = state.limiter.next_wake(now).is_some();
        drop(state);
        self.notify_waiters(changes);
        is_paced
    }

    fn new_permit(&self, id: u64) -> SlotPermit {
        SlotPermit {
            server: self.clone(),
            id,
            sent: None,
            is_held: true,
        }
    }

    /// Hands the started and refused calls their outcome.
    pub(super) fn notify_waiters(&self, changes: DequeuedCalls) {
        let mut outcomes: Vec<(u64, SlotResult)> = Vec::new();
        for id in changes.started {
            outcomes.push((id, Ok(self.new_permit(id))));
        }
        for (id, retry_after) in changes.refused {
            outcomes.push((id, Err(retry_after)));
        }
        for (id, outcome) in outcomes {
            let waiter = lock(&self.state).waiting.remove(&id);
            // Without a waiter the permit is dropped here, which releases its slot.
            if let Some(waiter) = waiter {
                let _ = waiter.send(outcome);
            }
        }
    }
}

impl LocalServerState {
    /// Ends the call in a slot, and starts queued ones.
    ///
    /// One on a stalled connection has left its slot before, and counts as abandoned until it is
    /// answered.
    fn end_call(
        &mut self,
        id: u64,
        sent: Option<&SentCall>,
        end: SlotEnd,
        now: Instant,
    ) -> DequeuedCalls {
        self.sent.remove(&id);
        let is_answered = matches!(end, SlotEnd::Answered(_));
        self.stalls.finish(id, is_answered, now);
        match (sent, end) {
            (Some(sent), _) if sent.is_stalled() => {
                if is_answered {
                    return self.limiter.finish_abandoned(id, now);
                }
                self.limiter.process_queue(now)
            }
            (Some(sent), SlotEnd::Cancelled) => {
                let (reason, until) = (AbandonReason::Cancelled, sent.deadline);
                self.limiter.abandon(id, reason, until, now)
            }
            (_, SlotEnd::Answered(service_time)) => self.limiter.finish(Some(service_time), now),
            (_, SlotEnd::Ended | SlotEnd::Cancelled) => self.limiter.finish(None, now),
        }
    }
}

/// A call that waits for a slot; leaves the queue on drop.
struct QueuedCall<'a> {
    server: &'a LocalServer,
    id: u64,
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.server.state);
        if state.waiting.remove(&self.id).is_some() {
            state.limiter.cancel_queued(self.id);
        }
    }
}

/// One occupied slot; released on drop.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    server: LocalServer,
    id: u64,
    /// The call in the slot, once it is sent.
    sent: Option<Arc<SentCall>>,
    is_held: bool,
}

/// How the call in a slot ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SlotEnd {
    /// The server answered after this time.
    Answered(Duration),
    /// The server does not run the call, or its deadline is over.
    Ended,
    /// The caller cancelled the call, and the server may still run it.
    Cancelled,
}

impl SlotPermit {
    /// Notes that the call is sent now.
    pub(super) fn begin(&mut self, route: &RouteName, deadline: Instant) -> Arc<SentCall> {
        let sent = Arc::new(SentCall::new(self.id, route.clone(), deadline));
        self.sent = Some(Arc::clone(&sent));
        let mut state = lock(&self.server.state);
        state.sent.insert(self.id, Arc::clone(&sent));
        sent
    }

    /// Releases the slot; a completed call passes its `service_time`.
    pub(crate) fn finish(mut self, service_time: Option<Duration>, now: Instant) {
        self.release(service_time.map_or(SlotEnd::Ended, SlotEnd::Answered), now);
    }

    fn release(&mut self, end: SlotEnd, now: Instant) {
        if !std::mem::replace(&mut self.is_held, false) {
            return;
        }
        let mut state = lock(&self.server.state);
        let changes = state.end_call(self.id, self.sent.as_deref(), end, now);
        let is_paced = state.limiter.next_wake(now).is_some();
        drop(state);
        self.server.notify_waiters(changes);
        if is_paced {
            self.server.call_paced.notify_one();
        }
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let end = match &self.sent {
            Some(_) => SlotEnd::Cancelled,
            None => SlotEnd::Ended,
        };
        self.release(end, Instant::now());
    }
}
