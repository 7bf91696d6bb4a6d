//! Holds back the admission plan of a new leader until it rests on nearly all reports.

use std::time::Duration;
use std::time::Instant;

/// Percentage of the known nodes whose reports the first plan needs.
///
/// A plan from the reports of 1 of 59 nodes admitted everything in the middle of a burst; the
/// remaining tenth leaves room for nodes that are down.
const COVERAGE_PERCENT: usize = 90;
/// Longest time for which a new leader holds back its plan, in milliseconds.
///
/// Nodes report every 300 ms and keep the previous leader's plan for 2.5 s.
const HOLD_MAX_MS: u64 = 1_500;

/// The inputs of the plan that a new leader has so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlanInputs {
    /// Nodes that the replicated log names.
    pub known_nodes: usize,
    /// Those of them that have reported to this leader.
    pub reported_nodes: usize,
    /// Routes that run but whose service time is not known yet.
    pub untimed_routes: usize,
}

/// Whether a leader may issue admission plans.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateState {
    /// The plan is held back, for the first time.
    HoldBegins,
    /// The plan is still held back.
    Held,
    /// The plan may be issued from now on.
    Opens {
        /// Time since this instance became the leader.
        waited: Duration,
    },
    /// The plan may be issued.
    Open,
}

impl GateState {
    /// Returns whether a plan may be issued.
    #[must_use]
    pub const fn is_open(self) -> bool {
        matches!(self, Self::Opens { .. } | Self::Open)
    }
}

/// Decides when a new leader issues its first plan; once open, it stays open.
///
/// Load pattern: the leader changes in the middle of a burst, and the first reports cover a
/// small part of the nodes and none of the service times.
#[derive(Clone, Copy, Debug)]
pub struct PlanGate {
    leader_since: Instant,
    has_held: bool,
    is_open: bool,
}

impl PlanGate {
    /// Creates the gate of an instance that became the leader at `leader_since`.
    #[must_use]
    pub const fn new(leader_since: Instant) -> Self {
        Self {
            leader_since,
            has_held: false,
            is_open: false,
        }
    }

    /// Returns whether the gate has opened.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.is_open
    }

    /// Updates the gate with the inputs available at `now`.
    pub fn update(&mut self, inputs: PlanInputs, now: Instant) -> GateState {
        if self.is_open {
            return GateState::Open;
        }
        let waited = now.saturating_duration_since(self.leader_since);
        if inputs.are_sufficient() || waited >= Duration::from_millis(HOLD_MAX_MS) {
            self.is_open = true;
            return GateState::Opens { waited };
        }
        if std::mem::replace(&mut self.has_held, true) {
            GateState::Held
        } else {
            GateState::HoldBegins
        }
    }
}

impl PlanInputs {
    /// Returns whether nearly all nodes have reported and all service times are known.
    ///
    /// If the log names no node, nothing shows that the reports are complete.
    const fn are_sufficient(self) -> bool {
        self.known_nodes > 0
            && self.reported_nodes * 100 >= self.known_nodes * COVERAGE_PERCENT
            && self.untimed_routes == 0
    }
}
