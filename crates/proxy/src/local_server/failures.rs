//! Which of its calls the backend server fails, for the load that the node reports.

use std::time::Instant;

use admit::FailureMeter;
use fleet::RefusalReason;
use http::StatusCode;
use metrics::ProcessMetrics;
use model::context::FailureShare;
use tracing::info;

use crate::local_server::LocalServer;
use crate::retry::AttemptOutcome;
use crate::state::lock;

/// Shares of failed calls, in thousandths, from which on a server is logged as failing, and below
/// which it is logged as recovered.
const FAILING_MILLI: u16 = 250;
const RECOVERED_MILLI: u16 = 100;

/// The failed calls of the backend server, and whether they were logged.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ServerFailures {
    meter: FailureMeter,
    is_logged: bool,
}

impl ServerFailures {
    /// Returns the share of the recent calls that failed.
    pub(super) fn share(&self, now: Instant) -> FailureShare {
        self.meter.share(now)
    }

    /// Records an outcome; returns whether the server now counts as failing if that has changed.
    fn record(&mut self, is_failure: bool, now: Instant) -> Option<bool> {
        self.meter.record(is_failure, now);
        let share = self.meter.share(now);
        let is_failing = if self.is_logged {
            share >= FailureShare::from_milli(RECOVERED_MILLI)
        } else {
            share >= FailureShare::from_milli(FAILING_MILLI)
        };
        (std::mem::replace(&mut self.is_logged, is_failing) != is_failing).then_some(is_failing)
    }
}

impl LocalServer {
    /// Notes the outcome of a call that reached the backend server, or was to reach it.
    pub(super) fn note_outcome(
        &self,
        outcome: &AttemptOutcome,
        metrics: &ProcessMetrics,
        now: Instant,
    ) {
        let Some(is_failure) = is_failure(outcome) else {
            return;
        };
        let mut state = lock(&self.state);
        let change = state.failures.record(is_failure, now);
        let milli = state.failures.share(now).milli();
        drop(state);
        metrics.set("server-failing-milli", u64::from(milli));
        if let Some(is_failing) = change {
            info!(event = "server-failing", is_failing, milli);
        }
    }
}

/// Returns whether the backend server failed the call; `None` if the outcome says nothing of it.
const fn is_failure(outcome: &AttemptOutcome) -> Option<bool> {
    match outcome {
        AttemptOutcome::Answered { head, .. } => {
            Some(head.status >= StatusCode::INTERNAL_SERVER_ERROR.as_u16())
        }
        AttemptOutcome::Failed { .. } => Some(true),
        AttemptOutcome::Refused { cause, .. } => match cause {
            RefusalReason::ServerRefused | RefusalReason::ConnectFailed => Some(true),
            _ => None,
        },
    }
}
