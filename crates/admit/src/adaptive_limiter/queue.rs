//! Short priority queue, ordered by rank, then by deadline.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use model::context::CallRank;
use model::ids::Fingerprint;

/// A call that waits until the limit allows it to run.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedCall {
    pub(super) id: u64,
    pub(super) rank: CallRank,
    pub(super) deadline: Instant,
    /// Time at which the call is refused if it has not started.
    pub(super) wait_until: Instant,
    pub(super) fingerprint: Fingerprint,
}

impl QueuedCall {
    fn sort_key(&self) -> (CallRank, Reverse<Instant>) {
        (self.rank, Reverse(self.deadline))
    }
}

/// Queued calls, the lowest rank in front.
///
/// A sorted ring buffer is faster than a tree here: the queue is short, and both ends
/// are popped without moving any element.
#[derive(Clone, Debug)]
pub(super) struct RankQueue {
    calls: VecDeque<QueuedCall>,
}

impl RankQueue {
    pub(super) fn with_capacity(capacity: usize) -> Self {
        Self {
            calls: VecDeque::with_capacity(capacity),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.calls.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    pub(super) fn push(&mut self, call: QueuedCall) {
        let sort_key = call.sort_key();
        let position = self
            .calls
            .partition_point(|other| other.sort_key() < sort_key);
        self.calls.insert(position, call);
    }

    pub(super) fn lowest(&self) -> Option<&QueuedCall> {
        self.calls.front()
    }

    pub(super) fn pop_lowest(&mut self) -> Option<QueuedCall> {
        self.calls.pop_front()
    }

    pub(super) fn pop_highest(&mut self) -> Option<QueuedCall> {
        self.calls.pop_back()
    }

    /// Removes one call that waited too long or can no longer finish in time.
    pub(super) fn take_expired(
        &mut self,
        now: Instant,
        min_time_left: Duration,
    ) -> Option<QueuedCall> {
        let expired =
            |call: &QueuedCall| now >= call.wait_until || now + min_time_left > call.deadline;
        let position = self.calls.iter().position(expired)?;
        self.calls.remove(position)
    }

    /// Removes a call by its identifier; returns whether it was queued.
    pub(super) fn remove(&mut self, id: u64) -> bool {
        let position = self.calls.iter().position(|call| call.id == id);
        position.is_some_and(|position| self.calls.remove(position).is_some())
    }
}
