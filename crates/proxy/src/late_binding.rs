//! Metrics and log lines on calls that full backend servers refused at once.
//!
//! `route::CallPlacement` decides where such a call goes next; see `docs/design/late-binding.md`.

use clock::Clock;
use fleet::CallHead;
use fleet::ProtocolAdapter;
use fleet::RefusalReason;
use tracing::info;

use crate::forward::ForwardOutcome;
use crate::retry::AttemptOutcome;
use crate::state::ProxyState;

/// Kind of the metrics on calls that were refused at once.
pub(crate) const LATE_BINDING: &str = "late-binding";
/// One in this many of these calls is logged.
const LOG_INTERVAL: usize = 128;

/// Returns whether an attempt was refused at once for want of a free slot.
pub(crate) const fn is_full(outcome: &AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::Refused {
            cause: RefusalReason::Full,
            ..
        }
    )
}

/// Counts how a call ended that full servers refused at once, and logs a sample.
pub(crate) fn report_end<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    head: &CallHead,
    outcome: &ForwardOutcome,
) {
    if outcome.history.full == 0 {
        return;
    }
    let result = match &outcome.last_attempt {
        AttemptOutcome::Answered { .. } => "answered",
        AttemptOutcome::Refused { .. } => "refused",
        AttemptOutcome::Failed { .. } => "failed",
    };
    state.metrics.count(LATE_BINDING, result);
    if state.is_sampled(LOG_INTERVAL) && state.may_log_request() {
        info!(
            event = "call-placed-again",
            request = %head.attempt,
            service = %head.service,
            full = outcome.history.full,
            refusals = outcome.history.undelivered,
            may_wait = head.may_wait,
            node = outcome.last_node,
            outcome = result,
        );
    }
}
