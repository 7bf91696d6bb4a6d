//! When a node that was asked to stop does what; decisions only, without I/O.

use std::time::Duration;
use std::time::Instant;

use derive_more::Display;

/// Requests and calls are taken for this fraction of the grace period.
const LINGER_FRACTION: f64 = 0.5;
/// Longest time for which they are taken, in milliseconds. Callers have learned of the stop by
/// then, and a request that is sent later than 3 s after it may not be cut at all; the rest of
/// those 3 s is left for a signal that was handled late.
const MAX_LINGER_MS: u64 = 2_800;
/// Fraction of the grace period by which calls of the local backend server that are taken while
/// the node finishes have ended. They are sent too late to be given up with the rest.
const CHILD_FRACTION: f64 = 0.80;
/// Fraction of the grace period after which whatever still waits is answered as it stands.
const ANSWER_FRACTION: f64 = 0.85;
/// Fraction of the grace period after which the process ends in any case.
const EXIT_FRACTION: f64 = 0.95;

/// Phase of a stop.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum StopPhase {
    /// Callers and other nodes learn of the stop; what they send is still served.
    #[display("lingering")]
    Lingering,
    /// Nothing new is taken; what was taken is served.
    #[display("finishing")]
    Finishing,
    /// Whatever has no answer yet is told whether it may have run, and answers are written.
    #[display("ending")]
    Ending,
    /// The process ends whatever is left.
    #[display("over")]
    Over,
}

impl StopPhase {
    /// Returns whether the process may end while so many connections and calls are open.
    #[must_use]
    pub const fn may_end(self, open: usize) -> bool {
        match self {
            Self::Lingering => false,
            Self::Finishing | Self::Ending => open == 0,
            Self::Over => true,
        }
    }
}

/// When the phases of a stop begin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StopSchedule {
    requested: Instant,
    finishing: Instant,
    children_until: Instant,
    ending: Instant,
    over: Instant,
}

impl StopSchedule {
    /// Plans a stop that was requested at `requested_at` and must end within `grace`.
    #[must_use]
    pub fn new(requested_at: Instant, grace: Duration) -> Self {
        let linger = Duration::from_millis(MAX_LINGER_MS).min(grace.mul_f64(LINGER_FRACTION));
        Self {
            requested: requested_at,
            finishing: requested_at + linger,
            children_until: requested_at + grace.mul_f64(CHILD_FRACTION),
            ending: requested_at + grace.mul_f64(ANSWER_FRACTION),
            over: requested_at + grace.mul_f64(EXIT_FRACTION),
        }
    }

    /// Returns when the stop was requested.
    #[must_use]
    pub const fn requested_at(&self) -> Instant {
        self.requested
    }

    /// Returns when the process ends at the latest.
    #[must_use]
    pub const fn over_at(&self) -> Instant {
        self.over
    }

    /// Returns the phase at `now`.
    #[must_use]
    pub fn phase(&self, now: Instant) -> StopPhase {
        if now >= self.over {
            StopPhase::Over
        } else if now >= self.ending {
            StopPhase::Ending
        } else if now >= self.finishing {
            StopPhase::Finishing
        } else {
            StopPhase::Lingering
        }
    }

    /// Returns whether the node can wait until `deadline` for a call that the local backend server
    /// makes for a request under way.
    #[must_use]
    pub fn has_time_for_child(&self, deadline: Instant) -> bool {
        deadline <= self.children_until
    }

    /// Returns the deadline of a request or call that is taken during the stop.
    ///
    /// With a later deadline it could wait in a queue, or be worked on, beyond the end of this
    /// node, which would then have to give it up instead of passing on how it ended.
    #[must_use]
    pub fn limit_deadline(&self, deadline: Instant) -> Instant {
        deadline.min(self.ending)
    }
}
