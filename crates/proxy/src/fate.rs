//! Outcomes of a call's attempts, and the decision whether to retry.
//!
//! A caller is told that its call has not run only if this record shows it.

use std::time::Duration;

use bytes::Bytes;
use fleet::AnswerHead;
use fleet::FailCause;
use fleet::RefuseCause;

/// Outcome of one attempt to run a call on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The backend server answered.
    Answered {
        /// Status and headers of the response.
        head: AnswerHead,
        /// Complete body of the response.
        body: Bytes,
    },
    /// The attempt was refused: the call has not run there and never will.
    Refused {
        /// Reason for the refusal.
        cause: RefuseCause,
        /// Delay after which the call may be accepted.
        retry_after: Duration,
    },
    /// No response was received, and the call may have run.
    Failed {
        /// Reason for the failure.
        cause: FailCause,
    },
}

/// Sums up the attempts of one call so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallFate {
    /// Attempts that reached a backend server.
    pub arrivals: u32,
    /// Whether a backend server may have run the call.
    pub may_have_run: bool,
    /// Attempts that were refused before they reached a backend server.
    pub refusals: u32,
}

impl CallFate {
    /// Adds the outcome of an attempt.
    pub const fn note(&mut self, end: &CallEnd) {
        match end {
            CallEnd::Refused { cause, .. } if cause.has_arrived() => self.arrivals += 1,
            CallEnd::Refused { .. } => self.refusals += 1,
            CallEnd::Answered { .. } | CallEnd::Failed { .. } => {
                self.arrivals += 1;
                self.may_have_run = true;
            }
        }
    }
}

/// Whether to retry a call after an attempt without a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Retry on another backend server.
    Again,
    /// Retry on another backend server if the retry budget allows it.
    AgainIfBudget,
    /// Do not retry.
    GiveUp,
}

/// Attempts refused before they reached a backend server after which a call is not retried.
const REFUSALS_MAX: u32 = 3;

/// Decides whether to retry a call, from the outcomes of its attempts alone.
///
/// A call that has not run may be retried, and an idempotent one always. The attempts that reach
/// a backend server are limited to `attempts_allowed`. Once an attempt has reached one, a retry
/// also needs the retry budget.
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
