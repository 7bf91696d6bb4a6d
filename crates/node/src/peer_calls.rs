//! The listener for other nodes: receives calls for the local backend server.

use std::sync::Arc;
use std::time::Instant;

use admit::ThresholdList;
use bytes::Bytes;
use clock::Clock;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use model::context::CallContext;
use model::context::CallFeedback;
use model::context::CallRank;
use model::context::ThresholdNotice;
use model::lookup::RouteEntry;
use model::status::is_final_status;
use model::verdict::CallFailure;
use model::verdict::FailureCause;
use model::verdict::RunVerdict;

use crate::call;
use crate::call::CallRequest;
use crate::call::CallResponse;
use crate::crash_report;
use crate::crash_report::SUSPECTS_PATH;
use crate::execute;
use crate::execute::ExecutedCall;
use crate::headers;
use crate::state::NodeState;

/// Greatest depth of a chain of calls; the caller's request has depth 0.
pub(crate) const CALL_DEPTH_MAX: u8 = 32;

/// Serves a call or a crash report from another node.
pub(crate) async fn serve_peer<C: Clock>(
    state: Arc<NodeState<C>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    if head.uri.path() == SUSPECTS_PATH {
        return crash_report::serve_crash_report(&state, body).await;
    }
    let Some(context) = headers::decode::<CallContext>(&head.headers, &headers::CONTEXT) else {
        let failure = CallFailure::not_run(FailureCause::BadRequest);
        return respond(&state, None, &ExecutedCall::refused(failure, 0));
    };
    state.events.clock().observe(context.stamp);
    let deadline = state.clock.now() + context.time_left;
    let limits = &state.settings.limits;
    let timeout = limits.body_timeout.min(context.time_left);
    let executed = match call::read_body(body, limits.body_bytes, timeout).await {
        Ok(body) => {
            let request = CallRequest::new(head.method, &head.uri, head.headers, body);
            receive(&state, &context, deadline, request).await
        }
        Err(error) => ExecutedCall::refused(error.failure(), context.retry_allowance),
    };
    respond(&state, Some(&context), &executed)
}

async fn receive<C: Clock>(
    state: &Arc<NodeState<C>>,
    context: &CallContext,
    deadline: Instant,
    request: CallRequest,
) -> ExecutedCall {
    let checked = check(state, context);
    let entry = match checked {
        Ok(entry) => entry,
        Err(failure) => return ExecutedCall::refused(failure, context.retry_allowance),
    };
    if entry.route.at_most_once {
        return execute::execute_once(state, context, deadline, request).await;
    }
    execute::execute(state, context, deadline, &request).await
}

/// Checks depth, route, lease and credentials before the call is offered to admission.
fn check<C: Clock>(
    state: &NodeState<C>,
    context: &CallContext,
) -> Result<Arc<RouteEntry>, CallFailure> {
    if context.depth > CALL_DEPTH_MAX {
        return Err(CallFailure::not_run(FailureCause::TooDeep));
    }
    let declared = state.declaration.get();
    let Some(entry) = declared.routes.by_name(&context.route) else {
        return Err(CallFailure::not_run(FailureCause::UnknownRoute));
    };
    if entry.route.service != context.service {
        return Err(CallFailure::not_run(FailureCause::UnknownRoute));
    }
    if entry.route.allow_anonymous {
        return Ok(Arc::clone(entry));
    }
    if !state.has_lease() {
        return Err(CallFailure::not_run(FailureCause::NoLease));
    }
    if context.team.is_none() {
        return Err(CallFailure::not_run(FailureCause::BadCredentials));
    }
    Ok(Arc::clone(entry))
}

fn respond<C: Clock>(
    state: &NodeState<C>,
    context: Option<&CallContext>,
    executed: &ExecutedCall,
) -> Response<Full<Bytes>> {
    let (mut response, verdict) = match &executed.result {
        Ok(response) => (response.clone().into_http(), RunVerdict::Ran),
        Err(failure) => (refusal_response(failure), failure.verdict),
    };
    let feedback = CallFeedback {
        verdict,
        retry_allowance_left: executed.allowance_left,
        load: state.admission.load(),
        thresholds: feedback_thresholds(state, context, executed),
        stamp: state.events.clock().next_timestamp(),
    };
    if let Some(value) = headers::encode(&feedback) {
        response.headers_mut().insert(headers::FEEDBACK, value);
    }
    response
}

fn refusal_response(failure: &CallFailure) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    if let Some(value) = headers::encode(failure) {
        response.headers_mut().insert(headers::FAILURE, value);
    }
    response
}

/// Returns the admission thresholds in force here and those that sub-calls met downstream.
fn feedback_thresholds<C: Clock>(
    state: &NodeState<C>,
    context: Option<&CallContext>,
    executed: &ExecutedCall,
) -> ThresholdList {
    let mut thresholds = executed.downstream_thresholds.clone();
    let threshold = state.admission.rank_threshold();
    if let Some(context) = context.filter(|_| threshold > CallRank::MIN) {
        let service = context.service.clone();
        admit::merge_thresholds(&mut thresholds, &[ThresholdNotice { service, threshold }]);
    }
    thresholds
}

/// Builds the response to a resend from the stored response of the first run.
pub(crate) fn response_from_stored(stored: &model::idempotency::StoredResponse) -> CallResponse {
    let status = StatusCode::from_u16(stored.status).ok();
    let status = status.filter(|status| is_final_status(status.as_u16()));
    let status = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let mut head = http::HeaderMap::new();
    let content_type = stored.content_type.as_deref();
    if let Some(value) = content_type.and_then(|text| text.parse().ok()) {
        head.insert(http::header::CONTENT_TYPE, value);
    }
    CallResponse::new(status, head, stored.body.clone())
}
