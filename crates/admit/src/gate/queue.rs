//! Short queue ordered by rank, then by deadline.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use model::context::CallRank;
use model::ids::Fingerprint;

/// A call that waits for a place.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingCall {
    pub(super) id: u64,
    pub(super) rank: CallRank,
    pub(super) deadline: Instant,
    pub(super) leave_by: Instant,
    pub(super) fingerprint: Fingerprint,
}

impl WaitingCall {
    fn key(&self) -> (CallRank, Reverse<Instant>) {
        (self.rank, Reverse(self.deadline))
    }
}

/// Waiting calls, the lowest rank in front.
///
/// A sorted ring buffer beats a tree here: the queue is short, and both ends
/// are popped without moving anything.
#[derive(Clone, Debug)]
pub(super) struct WaitQueue {
    calls: VecDeque<WaitingCall>,
}

impl WaitQueue {
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

    pub(super) fn push(&mut self, call: WaitingCall) {
        let key = call.key();
        let position = self.calls.partition_point(|other| other.key() < key);
        self.calls.insert(position, call);
    }

    pub(super) fn lowest(&self) -> Option<&WaitingCall> {
        self.calls.front()
    }

    pub(super) fn pop_lowest(&mut self) -> Option<WaitingCall> {
        self.calls.pop_front()
    }

    pub(super) fn pop_highest(&mut self) -> Option<WaitingCall> {
        self.calls.pop_back()
    }

    /// Takes out one call that waited too long or cannot finish in time any more.
    pub(super) fn take_expired(&mut self, now: Instant, needed: Duration) -> Option<WaitingCall> {
        let expired = |call: &WaitingCall| now >= call.leave_by || now + needed > call.deadline;
        let position = self.calls.iter().position(expired)?;
        self.calls.remove(position)
    }

    /// Takes out a call by its number; returns whether it waited here.
    pub(super) fn remove(&mut self, id: u64) -> bool {
        let position = self.calls.iter().position(|call| call.id == id);
        position.is_some_and(|position| self.calls.remove(position).is_some())
    }
}
