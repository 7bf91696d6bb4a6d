//! Response to the caller, and log line, for a call that was forwarded.

use std::time::Instant;

use clock::Clock;
use fleet::FailCause;
use fleet::RouteEntry;
use fleet::RouteTable;
use fleet::WireDialect;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use tracing::info;

use crate::attempt::CarryOutcome;
use crate::entry::refusal::OwnAnswer;
use crate::entry::refusal::OwnRefusal;
use crate::headers;
use crate::retry::AttemptOutcome;
use crate::state::ProxyState;

/// One in this many successful requests is logged.
const LOGGED_ONE_IN: usize = 128;

/// Returns the backend server's response, or a refusal that tells whether the call may have run.
pub(super) fn respond(outcome: CarryOutcome) -> Result<OwnAnswer, OwnRefusal> {
    let may_have_run = outcome.fate.may_have_run;
    match outcome.end {
        AttemptOutcome::Answered { head, body } => {
            let mut answer = Response::new(Full::new(body));
            let status = StatusCode::from_u16(head.status);
            *answer.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
            *answer.headers_mut() = headers::rebuilt(&head.headers);
            Ok(answer)
        }
        // An earlier attempt may have run, so "not run" must not be claimed for the call.
        AttemptOutcome::Refused { .. } if may_have_run => {
            Err(OwnRefusal::new(StatusCode::BAD_GATEWAY, "may-have-run"))
        }
        AttemptOutcome::Refused { retry_after, .. } => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Err(OwnRefusal::later(status, "not-run", retry_after))
        }
        AttemptOutcome::Failed {
            cause: FailCause::Timeout,
        } => Err(OwnRefusal::new(StatusCode::GATEWAY_TIMEOUT, "timeout")),
        AttemptOutcome::Failed { .. } => {
            Err(OwnRefusal::new(StatusCode::BAD_GATEWAY, "may-have-run"))
        }
    }
}

/// Logs and counts how a call ended; only a sample of the successful calls is logged.
pub(super) fn log_outcome<C: Clock, D: WireDialect>(
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
    if let AttemptOutcome::Answered { head, .. } = &outcome.end {
        state
            .metrics
            .count("answered", if head.status < 500 { "ok" } else { "failed" });
    }
    let (what, cause) = match &outcome.end {
        AttemptOutcome::Answered { head, .. } if head.status < 500 => {
            if !state.is_sampled(LOGGED_ONE_IN) {
                return;
            }
            ("answered", head.status.to_string())
        }
        AttemptOutcome::Answered { head, .. } => ("server-failed", head.status.to_string()),
        AttemptOutcome::Refused { cause, .. } => ("not-run", cause.to_string()),
        AttemptOutcome::Failed { cause } => ("may-have-run", cause.to_string()),
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
        arrivals = outcome.fate.delivered,
        refusals = outcome.fate.undelivered,
        node = outcome.node,
        config = table.version(),
        held_ms,
    );
}
