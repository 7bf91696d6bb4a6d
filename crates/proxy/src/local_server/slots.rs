//! The local backend server's concurrency slots, and the calls that wait for one.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use admit::DequeuedCalls;
use admit::SlotDecision;
use fleet::CallHead;
use tokio::sync::oneshot;

use crate::local_server::LocalServer;
use crate::local_server::UNAVAILABLE_RETRY_AFTER;
use crate::state::lock;

/// A slot, or the delay after which one may be free.
pub(super) type SlotResult = Result<SlotPermit, Duration>;

impl LocalServer {
    /// Waits for a slot; fails with the delay after which one may be free.
    pub(super) async fn acquire_slot(&self, head: &CallHead, now: Instant) -> SlotResult {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let waiter = {
            let mut state = lock(&self.state);
            match state.limiter.offer(id, head.rank, head.time_left, now) {
                SlotDecision::Run => return Ok(self.new_permit()),
                SlotDecision::Refuse { retry_after } => return Err(retry_after),
                SlotDecision::Wait => {
                    let (sender, waiter) = oneshot::channel();
                    state.waiting.insert(id, sender);
                    waiter
                }
            }
        };
        let queued = QueuedCall { server: self, id };
        let outcome = waiter.await;
        drop(queued);
        outcome.unwrap_or(Err(UNAVAILABLE_RETRY_AFTER))
    }

    fn new_permit(&self) -> SlotPermit {
        SlotPermit {
            server: self.clone(),
            is_held: true,
        }
    }

    /// Hands the started and refused calls their outcome.
    pub(super) fn notify_waiters(&self, changes: DequeuedCalls) {
        let mut outcomes: Vec<(u64, SlotResult)> = Vec::new();
        for id in changes.started {
            outcomes.push((id, Ok(self.new_permit())));
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
    is_held: bool,
}

impl SlotPermit {
    /// Releases the slot; a completed call passes its `service_time`.
    pub(crate) fn finish(mut self, service_time: Option<Duration>, now: Instant) {
        self.release(service_time, now);
    }

    fn release(&mut self, service_time: Option<Duration>, now: Instant) {
        if !std::mem::replace(&mut self.is_held, false) {
            return;
        }
        let changes = lock(&self.server.state).limiter.finish(service_time, now);
        self.server.notify_waiters(changes);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        // A cancelled call adds no service time, so the node's clock is not needed here.
        self.release(None, Instant::now());
    }
}
