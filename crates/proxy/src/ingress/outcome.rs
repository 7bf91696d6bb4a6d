//! Response to the caller, and log line, for a call that was forwarded.

use std::time::Instant;

use clock::Clock;
use fleet::FailureReason;
use fleet::ProtocolAdapter;
use fleet::RouteEntry;
use fleet::RouteTable;
use http::Response;
use http::StatusCode;
use model::status::is_final_status;
use tracing::info;

use crate::forward::ForwardOutcome;
use crate::headers;
use crate::ingress::refusal::BufferedResponse;
use crate::ingress::refusal::Refusal;
use crate::retry::AttemptOutcome;
use crate::state::ProxyState;

/// One in this many successful requests is logged.
const SUCCESS_LOG_INTERVAL: usize = 128;

/// Returns the backend server's response, or a refusal that tells whether the call may have run.
pub(super) fn build_response(outcome: ForwardOutcome) -> Result<BufferedResponse, Refusal> {
    let may_have_run = outcome.history.may_have_run;
    match outcome.last_attempt {
        AttemptOutcome::Answered { head, body } => {
            let status = StatusCode::from_u16(head.status).ok();
            let Some(status) = status.filter(|status| is_final_status(status.as_u16())) else {
                return Err(Refusal::new(StatusCode::BAD_GATEWAY, "may-have-run"));
            };
            let mut response = Response::new(body);
            *response.status_mut() = status;
            *response.headers_mut() = headers::to_header_map(&head.headers);
            Ok(response)
        }
        // An earlier attempt may have run, so "not run" must not be claimed for the call.
        AttemptOutcome::Refused { .. } if may_have_run => {
            Err(Refusal::new(StatusCode::BAD_GATEWAY, "may-have-run"))
        }
        AttemptOutcome::Refused { retry_after, .. } => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            Err(Refusal::with_retry_after(status, "not-run", retry_after))
        }
        AttemptOutcome::Failed {
            cause: FailureReason::Timeout,
        } => Err(Refusal::new(StatusCode::GATEWAY_TIMEOUT, "timeout")),
        AttemptOutcome::Failed { .. } => Err(Refusal::new(StatusCode::BAD_GATEWAY, "may-have-run")),
    }
}

/// Logs and counts how a call ended; only a sample of the successful calls is logged.
pub(super) fn log_outcome<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    attempt: &str,
    route: &RouteEntry,
    outcome: &ForwardOutcome,
    table: &RouteTable,
    started: Instant,
) {
    let elapsed = state.now().saturating_duration_since(started);
    let held_ms = elapsed.as_millis();
    let after_stop = state.stop.since_request(started);
    state.metrics.observe("request", elapsed);
    if let AttemptOutcome::Answered { head, .. } = &outcome.last_attempt {
        state
            .metrics
            .count("answered", if head.status < 500 { "ok" } else { "failed" });
    }
    let (kind, cause) = match &outcome.last_attempt {
        AttemptOutcome::Answered { head, .. } if head.status < 500 => {
            // What happens around a stop is rare and worth every line.
            if after_stop.is_none() && !state.is_sampled(SUCCESS_LOG_INTERVAL) {
                return;
            }
            ("answered", head.status.to_string())
        }
        AttemptOutcome::Answered { head, .. } => ("server-failed", head.status.to_string()),
        AttemptOutcome::Refused { cause, .. } => ("not-run", cause.to_string()),
        AttemptOutcome::Failed { cause } => ("may-have-run", cause.to_string()),
    };
    if !state.may_log_request() {
        return;
    }
    info!(
        event = "request-ended",
        request = attempt,
        route = %route.name,
        outcome = kind,
        cause,
        arrivals = outcome.history.delivered,
        refusals = outcome.history.undelivered,
        node = outcome.last_node,
        config = table.version(),
        held_ms,
        read_after_stop_ms = after_stop.map(|delay| delay.as_millis()),
    );
}
