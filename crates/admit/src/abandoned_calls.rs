//! Calls that the node has given up while the backend server may still run them.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Reports in a row that must show fewer calls before calls stop counting. One report alone may
/// miss calls that are in transit.
const REPORTS_MIN: u32 = 4;
/// Time for which a server counts as one that reports its load, in milliseconds.
const REPORT_VALID_MS: u64 = 5_000;

/// Why a call was given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AbandonReason {
    /// The caller cancelled it. Most servers then stop work on it at once.
    Cancelled,
    /// Its connection is stalled.
    Stalled,
    /// An earlier process of the node may have sent it.
    EarlierProcess,
}

#[derive(Clone, Copy, Debug)]
struct AbandonedCall {
    id: Option<u64>,
    reason: AbandonReason,
    /// Deadline of the call, after which the server no longer runs it.
    until: Instant,
}

/// The calls that a server may run besides those in flight, the oldest first.
///
/// Load pattern: callers cancel many calls at once, and the server ends some, all or none of
/// them. The load that it reports shows how many of them it still runs.
#[derive(Clone, Debug, Default)]
pub struct AbandonedCalls {
    calls: VecDeque<AbandonedCall>,
    reported_at: Option<Instant>,
    /// Reports since the last decision, and the most abandoned calls that one of them leaves room
    /// for.
    reports: u32,
    most_running: usize,
}

impl AbandonedCalls {
    /// Adds a call that was given up.
    ///
    /// One that was cancelled counts only while the server reports its load: otherwise nothing
    /// would show that the server has ended it.
    pub fn insert(&mut self, id: u64, reason: AbandonReason, until: Instant, now: Instant) {
        let is_unknown = reason == AbandonReason::Cancelled && !self.is_reporting(now);
        if is_unknown || until <= now {
            return;
        }
        self.push(Some(id), reason, until);
    }

    /// Adds calls that an earlier process of the node may have sent.
    pub fn assume_earlier(&mut self, count: u32, until: Instant) {
        for _ in 0..count {
            self.push(None, AbandonReason::EarlierProcess, until);
        }
    }

    /// Removes a call that was answered after all.
    pub fn remove(&mut self, id: u64) {
        self.calls.retain(|call| call.id != Some(id));
    }

    /// Removes the calls whose deadline is over.
    pub fn expire(&mut self, now: Instant) {
        self.calls.retain(|call| now < call.until);
    }

    /// Removes all calls, for when the server was replaced.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Applies a response whose load report counts `reported` calls at the server, while
    /// `in_flight` calls have neither been answered nor given up.
    pub fn note_report(&mut self, reported: u32, in_flight: u32, now: Instant) {
        self.reported_at = Some(now);
        let running = reported.saturating_sub(in_flight) as usize;
        self.most_running = self.most_running.max(running);
        self.reports += 1;
        if self.reports < REPORTS_MIN {
            return;
        }
        let surplus = self.calls.len().saturating_sub(self.most_running);
        self.calls.drain(..surplus);
        self.reports = 0;
        self.most_running = 0;
    }

    /// Applies a response without a load report.
    ///
    /// A server that reports its load does so with each response. One that does not is not assumed
    /// to run calls of an earlier process any longer, since nothing would show that it has ended
    /// them.
    pub fn note_unreported(&mut self) {
        self.calls
            .retain(|call| call.reason != AbandonReason::EarlierProcess);
    }

    /// Returns how many calls the server may still run.
    #[must_use]
    pub fn count(&self) -> u32 {
        u32::try_from(self.calls.len()).unwrap_or(u32::MAX)
    }

    fn is_reporting(&self, now: Instant) -> bool {
        let valid = Duration::from_millis(REPORT_VALID_MS);
        self.reported_at.is_some_and(|at| now < at + valid)
    }

    fn push(&mut self, id: Option<u64>, reason: AbandonReason, until: Instant) {
        // Reports before now cannot show that the server has ended this call.
        self.most_running += 1;
        self.calls.push_back(AbandonedCall { id, reason, until });
    }
}
