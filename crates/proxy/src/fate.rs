//! What is known of a call, and what that allows: the promise of "has not run" rests on this.

use std::time::Duration;

use bytes::Bytes;
use fleet::FailureReason;
use fleet::RefusalReason;
use fleet::ResponseHead;

/// How one attempt at a backend server ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The backend server answered.
    Answered {
        /// Head of the answer.
        head: ResponseHead,
        /// The whole body.
        body: Bytes,
    },
    /// It has not run there, and never will.
    Refused {
        /// Why.
        cause: RefusalReason,
        /// When there may be room.
        retry_after: Duration,
    },
    /// It may have run.
    Failed {
        /// Why.
        cause: FailureReason,
    },
}

/// What the attempts of one call so far add up to.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallFate {
    /// Backend servers that the call has reached.
    pub arrivals: u32,
    /// Whether some backend server may have run it.
    pub may_have_run: bool,
    /// Refusals without an arrival.
    pub refusals: u32,
}

impl CallFate {
    /// Notes how an attempt ended.
    pub const fn note(&mut self, end: &CallEnd) {
        match end {
            CallEnd::Refused { cause, .. } if cause.reached_server() => self.arrivals += 1,
            CallEnd::Refused { .. } => self.refusals += 1,
            CallEnd::Answered { .. } | CallEnd::Failed { .. } => {
                self.arrivals += 1;
                self.may_have_run = true;
            }
        }
    }
}

/// What to do after an attempt without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Try another backend server.
    Again,
    /// Try another one if the budget for repeated attempts allows it.
    AgainIfBudget,
    /// Give the caller its final answer now.
    GiveUp,
}

/// Refusals without an arrival after which a call is given up.
const REFUSALS_MAX: u32 = 3;

/// Decides on the next step from what is known alone.
///
/// A call that has not run may be sent again, an idempotent one always; the
/// rest of the attempts a route allows is the bound. Another try that reaches
/// a backend server after one did before needs the budget.
#[must_use]
pub const fn next_step(fate: CallFate, idempotent: bool, attempts_allowed: u32) -> NextStep {
    if fate.may_have_run && !idempotent {
        return NextStep::GiveUp;
    }
    if fate.arrivals >= attempts_allowed || fate.refusals >= REFUSALS_MAX {
        return NextStep::GiveUp;
    }
    if fate.arrivals > 0 {
        return NextStep::AgainIfBudget;
    }
    NextStep::Again
}
