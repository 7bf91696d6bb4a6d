//! The backend server's slots, and the calls that wait for one.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use admit::DequeuedCalls;
use admit::SlotDecision;
use fleet::CallHead;
use tokio::sync::oneshot;

use crate::own_server::ABSENT_RETRY;
use crate::own_server::OwnServer;
use crate::state::lock;

/// Outcome of waiting for a slot.
pub(super) type SlotOutcome = Result<SlotPermit, Duration>;

impl OwnServer {
    /// Waits for a slot; fails with the delay after which there may be one.
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

    /// Tells those who waited what became of them.
    pub(super) fn settle(&self, changes: DequeuedCalls) {
        let mut outcomes: Vec<(u64, SlotOutcome)> = Vec::new();
        for id in changes.started {
            outcomes.push((id, Ok(self.permit())));
        }
        for (id, retry_after) in changes.refused {
            outcomes.push((id, Err(retry_after)));
        }
        for (id, outcome) in outcomes {
            let waiter = lock(&self.state).waiting.remove(&id);
            // A permit that nobody waits for is given back when it is dropped.
            if let Some(waiter) = waiter {
                let _ = waiter.send(outcome);
            }
        }
    }
}

/// A call's place in the queue, which is given up when this is dropped.
struct QueuePlace<'a> {
    server: &'a OwnServer,
    id: u64,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.server.state);
        if state.waiting.remove(&self.id).is_some() {
            state.gate.cancel_queued(self.id);
        }
    }
}

/// The right to run one call; it is given back when this is dropped.
#[derive(Debug)]
pub(crate) struct SlotPermit {
    server: OwnServer,
    is_open: bool,
}

impl SlotPermit {
    /// Gives the slot back; `service` is the time in the backend server of a completed call.
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
        // A call that was cut off says nothing of service times, so any time will do here.
        self.release(None, Instant::now());
    }
}
