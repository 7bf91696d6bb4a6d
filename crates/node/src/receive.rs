//! Calls from other nodes for the backend server beside this one.

use std::sync::Arc;
use std::time::Instant;

use admit::CutList;
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
use model::context::CutNotice;
use model::lookup::RouteEntry;
use model::verdict::CallFailure;
use model::verdict::FailureCause;
use model::verdict::RunVerdict;

use crate::call;
use crate::call::CallAnswer;
use crate::call::CallRequest;
use crate::execute;
use crate::execute::ExecutedCall;
use crate::headers;
use crate::state::NodeState;
use crate::tell;
use crate::tell::SUSPECTS_PATH;

/// Longest chain of calls; the entry call has depth 0.
pub(crate) const DEPTH_MAX: u8 = 32;

/// Answers a call from another node.
pub(crate) async fn serve_peer<C: Clock>(
    state: Arc<NodeState<C>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    if head.uri.path() == SUSPECTS_PATH {
        return tell::serve_suspects(&state, body).await;
    }
    let Some(context) = headers::decode::<CallContext>(&head.headers, &headers::CONTEXT) else {
        let failure = CallFailure::not_run(FailureCause::BadRequest);
        return respond(&state, None, &ExecutedCall::refused(failure, 0));
    };
    state.events.clock().observe(context.stamp);
    let deadline = state.clock.now() + context.time_left;
    let limits = &state.settings.limits;
    let timeout = limits.body_timeout.min(context.time_left);
    let executed = match call::collect(body, limits.body_bytes, timeout).await {
        Ok(body) => {
            let request = CallRequest::new(head.method, &head.uri, head.headers, body);
            receive(&state, &context, deadline, request).await
        }
        Err(error) => ExecutedCall::refused(error.failure(), context.allowance),
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
        Err(failure) => return ExecutedCall::refused(failure, context.allowance),
    };
    if entry.route.once {
        return execute::execute_once(state, context, deadline, request).await;
    }
    execute::execute(state, context, deadline, &request).await
}

/// Checks what the node itself knows before the call is offered to the gate.
fn check<C: Clock>(
    state: &NodeState<C>,
    context: &CallContext,
) -> Result<Arc<RouteEntry>, CallFailure> {
    if context.depth > DEPTH_MAX {
        return Err(CallFailure::not_run(FailureCause::TooDeep));
    }
    let view = state.view.get();
    let Some(entry) = view.routes.by_name(&context.route) else {
        return Err(CallFailure::not_run(FailureCause::UnknownRoute));
    };
    if entry.route.service != context.service {
        return Err(CallFailure::not_run(FailureCause::UnknownRoute));
    }
    if entry.route.open {
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
        Ok(answer) => (answer.clone().into_http(), RunVerdict::Ran),
        Err(failure) => (refusal(failure), failure.verdict),
    };
    let feedback = CallFeedback {
        verdict,
        allowance_left: executed.allowance_left,
        load: state.gate.load(),
        cuts: cuts(state, context, executed),
        stamp: state.events.clock().next_timestamp(),
    };
    if let Some(value) = headers::encode(&feedback) {
        response.headers_mut().insert(headers::FEEDBACK, value);
    }
    response
}

fn refusal(failure: &CallFailure) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    if let Some(value) = headers::encode(failure) {
        response.headers_mut().insert(headers::FAILURE, value);
    }
    response
}

/// Returns the cut here and those met by sub-calls further down.
fn cuts<C: Clock>(
    state: &NodeState<C>,
    context: Option<&CallContext>,
    executed: &ExecutedCall,
) -> CutList {
    let mut cuts = executed.below.clone();
    let cut = state.gate.cut();
    if let Some(context) = context.filter(|_| cut > CallRank::MIN) {
        let service = context.service.clone();
        admit::merge_cuts(&mut cuts, &[CutNotice { service, cut }]);
    }
    cuts
}

/// Builds an answer that was kept for a re-send.
pub(crate) fn stored(answer: &model::once::StoredAnswer) -> CallAnswer {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut head = http::HeaderMap::new();
    let content_type = answer.content_type.as_deref();
    if let Some(value) = content_type.and_then(|text| text.parse().ok()) {
        head.insert(http::header::CONTENT_TYPE, value);
    }
    CallAnswer::new(status, head, answer.body.clone())
}
