//! Calls at the gate and what becomes of them.

use std::time::Instant;

use model::context::CallRank;
use model::ids::Fingerprint;
use model::verdict::CallFailure;
use smallvec::SmallVec;

/// A call that asks to run on the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallOffer {
    /// Number of the call, unique among those that have not ended.
    pub id: u64,
    /// Rank fixed at the entry node.
    pub rank: CallRank,
    /// Time at which the caller gives up.
    pub deadline: Instant,
    /// Digest of what the request asks for, returned if the backend server dies.
    pub fingerprint: Fingerprint,
}

/// What becomes of an offered call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmitDecision {
    /// It runs now; [`AdmitGate::finish`](crate::AdmitGate::finish) must be called when it ends.
    Run,
    /// It waits; a later [`GateAction`] starts or refuses it.
    Queued,
    /// It is refused, and did not run.
    Refuse(CallFailure),
}

/// What is due for a call that was queued.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GateAction {
    /// It runs now; [`AdmitGate::finish`](crate::AdmitGate::finish) must be called when it ends.
    Start(u64),
    /// It is refused, and did not run.
    Refuse(u64, CallFailure),
}

/// Actions that one event leads to, in order.
pub type GateActions = SmallVec<[GateAction; 2]>;

/// Decision on an offered call, with what it means for calls that waited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OfferOutcome {
    /// What becomes of the offered call.
    pub decision: AdmitDecision,
    /// What is due for others.
    pub actions: GateActions,
}

/// How a call that ran has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The backend server answered.
    Completed,
    /// The backend server refused it for its load.
    Shed,
    /// The connection was lost or the answer was broken.
    Failed,
    /// The caller hung up or the deadline passed.
    Cancelled,
}

/// What a dead backend server leaves behind.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashedCalls {
    /// Calls that ran; they may have run.
    pub running: Vec<u64>,
    /// Fingerprints of the calls that ran.
    pub fingerprints: Vec<Fingerprint>,
    /// Refusals of the calls that waited.
    pub actions: GateActions,
}

/// Figures for metrics; they only grow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct GateStats {
    /// Calls offered.
    pub offered: u64,
    /// Calls started.
    pub started: u64,
    /// Calls refused, displaced or expired.
    pub refused: u64,
    /// Calls that completed.
    pub completed: u64,
}
