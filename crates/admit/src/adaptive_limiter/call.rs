//! Calls offered to the limiter, and its decisions on them.

use std::time::Instant;

use model::context::CallRank;
use model::ids::Fingerprint;
use model::verdict::CallFailure;
use smallvec::SmallVec;

/// A call offered to the limiter, to run on the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallOffer {
    /// Identifier of the call, unique among calls that have not ended.
    pub id: u64,
    /// Rank assigned at the entry node.
    pub rank: CallRank,
    /// Time at which the caller gives up.
    pub deadline: Instant,
    /// Digest of the contents of the request, returned if the backend server crashes.
    pub fingerprint: Fingerprint,
}

/// Decision on an offered call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmitDecision {
    /// The call runs now; [`AdaptiveLimiter::finish`](crate::AdaptiveLimiter::finish) must be called
    /// when it ends.
    Run,
    /// The call is queued; a later [`QueueAction`] starts or refuses it.
    Queued,
    /// The call is refused and did not run.
    Refuse(CallFailure),
}

/// Action to take on a queued call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QueueAction {
    /// The call runs now; [`AdaptiveLimiter::finish`](crate::AdaptiveLimiter::finish) must be called
    /// when it ends.
    Start(u64),
    /// The call is refused and did not run.
    Refuse(u64, CallFailure),
}

/// Actions that follow from one event, in order.
pub type QueueActions = SmallVec<[QueueAction; 2]>;

/// Result of offering a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OfferOutcome {
    /// Decision on the offered call.
    pub decision: AdmitDecision,
    /// Actions to take on queued calls.
    pub actions: QueueActions,
}

/// How a running call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The backend server responded.
    Completed,
    /// The backend server refused the call because of its load.
    Shed,
    /// The connection was lost or the response was malformed.
    Failed,
    /// The caller disconnected or the deadline passed.
    Cancelled,
}

/// Calls that were running or queued when the backend server crashed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashedCalls {
    /// Calls that were running; their effects may have taken place.
    pub running: Vec<u64>,
    /// Fingerprints of the calls that were running.
    pub fingerprints: Vec<Fingerprint>,
    /// Refusals of the queued calls.
    pub actions: QueueActions,
}

/// Monotonic counters for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimiterStats {
    /// Calls offered.
    pub offered: u64,
    /// Calls started.
    pub started: u64,
    /// Calls refused, evicted from the queue or expired in it.
    pub refused: u64,
    /// Calls that completed.
    pub completed: u64,
}
