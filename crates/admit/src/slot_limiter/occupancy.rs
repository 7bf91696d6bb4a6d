//! Slots that calls occupy which were given up while the backend server may still run them.

use std::time::Instant;

use crate::AbandonReason;
use crate::DequeuedCalls;
use crate::SlotLimiter;

/// Part of the slots that abandoned calls never occupy. Only answers show that the server has
/// ended those calls, so some calls must be sent.
const OPEN_DIVISOR: u32 = 4;
/// An earlier process of the node is assumed to have left calls in the slots divided by this.
const EARLIER_DIVISOR: u32 = 2;

impl SlotLimiter {
    /// Returns the slots that abandoned calls do not occupy, at least one.
    #[must_use]
    pub fn open_slots(&self) -> u32 {
        let limit = self.limit();
        let open = limit.saturating_sub(self.abandoned.count());
        open.max(limit / OPEN_DIVISOR).max(1)
    }

    /// Returns how many calls the server may run besides those in flight.
    #[must_use]
    pub fn abandoned(&self) -> u32 {
        self.abandoned.count()
    }

    /// Gives up a running call that the server may run until its deadline `until`, and starts
    /// queued calls if a slot is free.
    pub fn abandon(
        &mut self,
        id: u64,
        reason: AbandonReason,
        until: Instant,
        now: Instant,
    ) -> DequeuedCalls {
        self.running = self.running.saturating_sub(1);
        self.abandoned.insert(id, reason, until, now);
        self.process_queue(now)
    }

    /// Releases the slot of an abandoned call that was answered after all.
    pub fn finish_abandoned(&mut self, id: u64, now: Instant) -> DequeuedCalls {
        self.abandoned.remove(id);
        self.process_queue(now)
    }

    /// Applies the number of calls that the server reports with a response, if it reports one.
    pub fn note_report(&mut self, reported: Option<u32>, now: Instant) -> DequeuedCalls {
        match reported {
            Some(reported) => self.abandoned.note_report(reported, self.running, now),
            None => self.abandoned.note_unreported(),
        }
        self.process_queue(now)
    }

    /// Assumes that the server runs calls which an earlier process of the node sent, at most
    /// until their deadline.
    pub fn assume_earlier_calls(&mut self, until: Instant) {
        let count = self.slots / EARLIER_DIVISOR;
        self.abandoned.assume_earlier(count, until);
    }

    /// Forgets all abandoned calls, for when the server was replaced.
    pub fn forget_abandoned(&mut self) {
        self.abandoned.clear();
    }
}
