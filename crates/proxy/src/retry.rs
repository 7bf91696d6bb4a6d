//! Outcomes of a call's attempts, and the decision whether to retry.
//!
//! A caller is told that its call has not run only if this record shows it.

use std::time::Duration;

use bytes::Bytes;
use fleet::FailureReason;
use fleet::RefusalReason;
use fleet::ResponseHead;

/// Outcome of one attempt to run a call on a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The backend server answered.
    Answered {
        /// Status and headers of the response.
        head: ResponseHead,
        /// Complete body of the response.
        body: Bytes,
    },
    /// The attempt was refused: the call has not run there and never will.
    Refused {
        /// Reason for the refusal.
        cause: RefusalReason,
        /// Delay after which the call may be accepted.
        retry_after: Duration,
    },
    /// No response was received, and the call may have run.
    Failed {
        /// Reason for the failure.
        cause: FailureReason,
    },
}

/// Sums up the attempts of one call so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptHistory {
    /// Attempts that reached a backend server.
    pub delivered: u32,
    /// Whether a backend server may have run the call.
    pub may_have_run: bool,
    /// Attempts that were refused before they reached a backend server.
    pub undelivered: u32,
}

impl AttemptHistory {
    /// Adds the outcome of an attempt.
    pub const fn record(&mut self, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::Refused { cause, .. } if cause.reached_server() => self.delivered += 1,
            AttemptOutcome::Refused { .. } => self.undelivered += 1,
            AttemptOutcome::Answered { .. } | AttemptOutcome::Failed { .. } => {
                self.delivered += 1;
                self.may_have_run = true;
            }
        }
    }
}

/// Whether to retry a call after an attempt without a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Retry on another backend server.
    Retry,
    /// Retry on another backend server if the retry budget allows it.
    RetryIfBudget,
    /// Do not retry.
    Stop,
}

/// Attempts refused before they reached a backend server after which a call is not retried.
const MAX_UNDELIVERED: u32 = 3;

/// Decides whether to retry a call, from the outcomes of its attempts alone.
///
/// A call that has not run may be retried, and an idempotent one always. The attempts that reach
/// a backend server are limited to `attempts_allowed`. Once an attempt has reached one, a retry
/// also needs the retry budget.
#[must_use]
pub const fn decide_retry(
    history: AttemptHistory,
    idempotent: bool,
    attempts_allowed: u32,
) -> RetryDecision {
    if history.may_have_run && !idempotent {
        return RetryDecision::Stop;
    }
    if history.delivered >= attempts_allowed || history.undelivered >= MAX_UNDELIVERED {
        return RetryDecision::Stop;
    }
    if history.delivered > 0 {
        return RetryDecision::RetryIfBudget;
    }
    RetryDecision::Retry
}
