//! What the caller gets for a call that was carried, and the line on it.

use std::time::Instant;

use clock::Clock;
use fleet::FailureReason;
use fleet::ProtocolAdapter;
use fleet::RouteEntry;
use fleet::RouteTable;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use tracing::info;

use crate::attempt::CarryOutcome;
use crate::entry::refusal::OwnAnswer;
use crate::entry::refusal::OwnRefusal;
use crate::fate::CallEnd;
use crate::headers;
use crate::state::ProxyState;

/// One in this many requests that went well is logged.
const LOGGED_ONE_IN: usize = 128;

/// Returns the answer, or the refusal that says what may be promised.
pub(super) fn respond(outcome: CarryOutcome) -> Result<OwnAnswer, OwnRefusal> {
    let may_have_run = outcome.fate.may_have_run;
    match outcome.end {
        CallEnd::Answered { head, body } => {
            let mut answer = Response::new(Full::new(body));
            let status = StatusCode::from_u16(head.status);
            *answer.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
            *answer.headers_mut() = headers::rebuilt(&head.headers);
            Ok(answer)
        }
        // An earlier attempt may have run, so nothing may be promised any more.
        CallEnd::Refused { .. } if may_have_run => {
            Err(OwnRefusal::new(StatusCode::BAD_GATEWAY, "may-have-run"))
        }
        CallEnd::Refused { retry_after, .. } => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Err(OwnRefusal::later(status, "not-run", retry_after))
        }
        CallEnd::Failed {
            cause: FailureReason::Timeout,
        } => Err(OwnRefusal::new(StatusCode::GATEWAY_TIMEOUT, "timeout")),
        CallEnd::Failed { .. } => Err(OwnRefusal::new(StatusCode::BAD_GATEWAY, "may-have-run")),
    }
}

/// Logs how a call ended; of those that went well one in some.
pub(super) fn log_outcome<C: Clock, D: ProtocolAdapter>(
    state: &ProxyState<C, D>,
    attempt: &str,
    route: &RouteEntry,
    outcome: &CarryOutcome,
    table: &RouteTable,
    started: Instant,
) {
    let held = state.now().saturating_duration_since(started);
    let held_ms = held.as_millis();
    state.metrics.observe("request", held);
    if let CallEnd::Answered { head, .. } = &outcome.end {
        state
            .metrics
            .count("answered", if head.status < 500 { "ok" } else { "failed" });
    }
    let (what, cause) = match &outcome.end {
        CallEnd::Answered { head, .. } if head.status < 500 => {
            if !state.is_sampled(LOGGED_ONE_IN) {
                return;
            }
            ("answered", head.status.to_string())
        }
        CallEnd::Answered { head, .. } => ("server-failed", head.status.to_string()),
        CallEnd::Refused { cause, .. } => ("not-run", cause.to_string()),
        CallEnd::Failed { cause } => ("may-have-run", cause.to_string()),
    };
    if !state.may_log() {
        return;
    }
    info!(
        event = "request-ended",
        request = attempt,
        route = %route.name,
        outcome = what,
        cause,
        arrivals = outcome.fate.arrivals,
        refusals = outcome.fate.refusals,
        node = outcome.node,
        config = table.version(),
        held_ms,
    );
}
