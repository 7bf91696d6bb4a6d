//! A node's side of the plan: who enters, and when the others should come back.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use model::entry::EntryShare;
use model::entry::OfferedRequests;
use model::entry::RequestKind;

/// Time for which a plan counts without a newer one, in milliseconds.
const PLAN_MS: u64 = 2_500;
/// Part of its longest time to the deadline below which a request has come back.
const RETURNED_BELOW: f64 = 0.97;
/// Weight of the newest request in the part of those that came back.
const RETURNED_WEIGHT: f64 = 0.02;
/// Earliest and latest time to come back, as parts of the time that makes an answer worth most.
const BACK_MIN: f64 = 0.15;
const BACK_MAX: f64 = 0.6;
/// Thousandths of a whole.
const MILLI: f64 = 1000.0;

/// What becomes of a request at the door.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DoorDecision {
    /// It enters.
    Enter,
    /// It should come back later.
    Later {
        /// After this time.
        retry_after: Duration,
    },
}

/// A request that asks to enter.
#[derive(Clone, Copy, Debug)]
pub struct DoorRequest<'a> {
    /// Its kind.
    pub kind: &'a RequestKind,
    /// Time until the caller's deadline.
    pub deadline: Duration,
    /// Time within which an answer is worth most.
    pub aim: Duration,
}

#[derive(Clone, Debug)]
struct KindState {
    part: f64,
    offered: u32,
    /// Longest time to the deadline seen; one that comes back has less.
    deadline_max: Duration,
    /// Part of the requests that have come back.
    returned: f64,
}

impl Default for KindState {
    fn default() -> Self {
        Self {
            part: 1.0,
            offered: 0,
            deadline_max: Duration::ZERO,
            returned: 0.0,
        }
    }
}

/// Lets requests enter by the leader's plan.
///
/// Load pattern: turned away callers come back within their deadline while
/// new ones arrive. Those who came back enter first, so that a caller who was
/// told to wait is not turned away again for one who was not. The times to
/// come back are spread evenly, and early enough for an answer in time.
#[derive(Clone, Debug, Default)]
pub struct DoorKeeper {
    kinds: HashMap<RequestKind, KindState>,
    planned: Option<Instant>,
}

impl DoorKeeper {
    /// Takes over a plan.
    pub fn follow(&mut self, shares: &[EntryShare], now: Instant) {
        self.planned = Some(now);
        for share in shares {
            let kind = self.kind(&share.kind);
            kind.part = f64::from(share.admitted_milli) / MILLI;
        }
    }

    /// Decides on a request; `drawn` holds two random numbers in `0..1`.
    pub fn decide(
        &mut self,
        request: DoorRequest<'_>,
        drawn: (f64, f64),
        now: Instant,
    ) -> DoorDecision {
        let is_planned = self
            .planned
            .is_some_and(|at| now < at + Duration::from_millis(PLAN_MS));
        let kind = self.kind(request.kind);
        kind.offered += 1;
        kind.deadline_max = kind.deadline_max.max(request.deadline);
        let has_returned = request.deadline < kind.deadline_max.mul_f64(RETURNED_BELOW);
        let returned = f64::from(u8::from(has_returned));
        kind.returned += RETURNED_WEIGHT * (returned - kind.returned);
        if !is_planned || drawn.0 < kind.chance(has_returned) {
            return DoorDecision::Enter;
        }
        let back = BACK_MIN + (BACK_MAX - BACK_MIN) * drawn.1;
        DoorDecision::Later {
            retry_after: request.aim.min(request.deadline).mul_f64(back),
        }
    }

    /// Returns what asked to enter since the last call of this.
    pub fn offered(&mut self) -> Vec<OfferedRequests> {
        let mut offered = Vec::new();
        for (kind, state) in &mut self.kinds {
            let count = std::mem::take(&mut state.offered);
            if count > 0 {
                let kind = kind.clone();
                offered.push(OfferedRequests { kind, count });
            }
        }
        offered
    }

    fn kind(&mut self, kind: &RequestKind) -> &mut KindState {
        self.kinds.entry(kind.clone()).or_default()
    }
}

impl KindState {
    /// Returns the chance to enter; together, those who came back and the rest make up the part.
    fn chance(&self, has_returned: bool) -> f64 {
        let returned = self.returned.clamp(0.0, 1.0);
        if has_returned {
            return if returned <= self.part {
                1.0
            } else {
                self.part / returned
            };
        }
        ((self.part - returned) / (1.0 - returned).max(0.01)).clamp(0.0, 1.0)
    }
}
