//! The local backend server's concurrency slots, and the calls that wait for one.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use admit::SlotChanges;
use admit::SlotDecision;
use fleet::CallHead;
use tokio::sync::oneshot;

use crate::own_server::ABSENT_RETRY;
use crate::own_server::OwnServer;
use crate::state::lock;

/// A slot, or the delay after which one may be free.
pub(super) type SlotOutcome = Result<SlotPermit, Duration>;

impl OwnServer {
    /// Waits for a slot; fails with the delay after which one may be free.
    pub(super) async fn slot(&self, head: &CallHead, now: Instant) -> SlotOutcome {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let waiter = {
            let mut state = lock(&self.state);
            match state.gate.offer(id, head.rank, head.time_left, now) {
                SlotDecision::Run => return Ok(self.permit()),
                SlotDecision::Refuse { retry_after } => return Err(retry_after),
                SlotDecision::Wait => {
                    let (sender, waiter) = oneshot::channel();
                    state.waiting.insert(id, sender);
                    waiter
                }
            }
        };
        let place = QueuePlace { server: self, id };
        let outcome = waiter.await;
        drop(place);
        outcome.unwrap_or(Err(ABSENT_RETRY))
    }

    fn permit(&self) -> SlotPermit {
        SlotPermit {
            server: self.clone(),
            is_open: true,
        }
    }

    /// Hands the started and refused calls their outcome.
    pub(super) fn settle(&self, changes: SlotChanges) {
        let mut outcomes: Vec<(u64, SlotOutcome)> = Vec::new();
        for id in changes.started {
            outcomes.push((id, Ok(self.permit())));
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
struct QueuePlace<'a> {
    server: &'a OwnServer,
    id: u64,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.server.state);
        if state.waiting.remove(&self.id).is_some() {
            state.gate.forget(self.id);
        }
    }
}

/// One occupied slot; released on drop.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    server: OwnServer,
    is_open: bool,
}

impl SlotPermit {
    /// Releases the slot; `service` is the service time of a completed call.
    pub(crate) fn finish(mut self, service: Option<Duration>, now: Instant) {
        self.release(service, now);
    }

    fn release(&mut self, service: Option<Duration>, now: Instant) {
        if !std::mem::replace(&mut self.is_open, false) {
            return;
        }
        let changes = lock(&self.server.state).gate.finish(service, now);
        self.server.settle(changes);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        // A cancelled call adds no service time, so the node's clock is not needed here.
        self.release(None, Instant::now());
    }
}
