//! The loopback listener: takes announcements and sub-calls from the local backend server.

use std::sync::Arc;
use std::sync::PoisonError;

use bytes::Bytes;
use clock::Clock;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use limit::ResendVerdict;
use limit::RetryAllowance;
use model::announce::ANNOUNCE_PATH;
use model::announce::ServerAnnouncement;
use model::context::CallContext;
use model::ids::CallId;
use model::ids::RequestId;
use model::lookup::RouteEntry;
use model::verdict::CallFailure;
use model::verdict::FailureCause;
use model::verdict::RunVerdict;
use timeline::EventRecord;

use crate::call;
use crate::call::CallRequest;
use crate::call::CallResponse;
use crate::forward;
use crate::forward::OutgoingCall;
use crate::headers;
use crate::idempotency;
use crate::parent::ParentCall;
use crate::peer_calls::CALL_DEPTH_MAX;
use crate::problem;
use crate::state::NodeState;

/// Serves a request of the local backend server.
pub(crate) async fn serve_local<C: Clock>(
    state: Arc<NodeState<C>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    if head.uri.path() == ANNOUNCE_PATH {
        return announce(&state, &head, body).await;
    }
    let call = headers::parse_call_id(&head.headers);
    let parent = call.and_then(|call| Some((call, state.parents.find(call)?)));
    let Some((call, parent)) = parent else {
        let failure = CallFailure::not_run(FailureCause::UnknownParent);
        return problem::failure_response(&failure, RequestId::default());
    };
    let request = parent.context.request;
    let result = tokio::select! {
        result = sub_call(&state, call, &parent, head, body) => result,
        () = parent.ended.cancelled() => {
            Err(CallFailure::may_have_run(FailureCause::Cancelled))
        }
    };
    match result {
        Ok(response) => {
            let mut response = response.into_http();
            problem::add_result_headers(&mut response, RunVerdict::Ran, request);
            response
        }
        Err(failure) => problem::failure_response(&failure, request),
    }
}

async fn announce<C: Clock>(
    state: &NodeState<C>,
    head: &Parts,
    body: Incoming,
) -> Response<Full<Bytes>> {
    if head.method != Method::POST {
        return text_response(StatusCode::METHOD_NOT_ALLOWED, "use POST".to_owned());
    }
    let limits = &state.settings.limits;
    let Ok(body) = call::read_body(body, limits.head_bytes, limits.body_timeout).await else {
        return text_response(StatusCode::BAD_REQUEST, "the body is not whole".to_owned());
    };
    let announcement: ServerAnnouncement = match serde_json::from_slice(&body) {
        Ok(announcement) => announcement,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
    };
    if !announcement.address.ip().is_loopback() {
        let text = "`address` must be a loopback address".to_owned();
        return text_response(StatusCode::BAD_REQUEST, text);
    }
    let event = EventRecord::new("backend-announced")
        .field("service", &announcement.service)
        .field("state", &announcement.state);
    let slots = announcement.slots;
    // Crash reports go to the other nodes of the service, so they must be known.
    let service = announcement.service.clone();
    state.members.add_interests(std::iter::once(&service));
    if state.server.record_announcement(announcement) {
        state.events.push(event);
        state.update_admission(slots);
        state.exchange_needed.notify_one();
    }
    text_response(StatusCode::NO_CONTENT, String::new())
}

async fn sub_call<C: Clock>(
    state: &NodeState<C>,
    call: CallId,
    parent: &ParentCall,
    head: Parts,
    body: Incoming,
) -> Result<CallResponse, CallFailure> {
    let declared = state.declaration.get();
    let Some(entry) = declared.routes.find(head.uri.path()) else {
        return Err(CallFailure::not_run(FailureCause::UnknownRoute));
    };
    check_route(state, parent, entry)?;
    let limits = &state.settings.limits;
    let body = call::read_body(body, limits.body_bytes, limits.body_timeout).await;
    let body = body.map_err(call::ReadBodyError::failure)?;
    let request = CallRequest::new(head.method, &head.uri, head.headers, body);
    let context = context(state, parent, entry, &request);
    let (share, mut allowance) = split_allowance(state, call, parent, &context)?;
    let outgoing = OutgoingCall {
        context,
        deadline: parent.deadline,
        idempotent: entry.route.idempotent,
        request: &request,
    };
    let record_key = if entry.route.at_most_once {
        Some(idempotency::record_key(&outgoing.context, &request)?)
    } else {
        None
    };
    let mut result = forward::forward(state, outgoing, &mut allowance).await;
    if let (Err(failure), Some(key)) = (&result, &record_key) {
        result = Err(idempotency::correct_verdict(state, key, failure.clone()).await);
    }
    let mut parent_allowance = lock(&parent.allowance);
    parent_allowance.restore(share, allowance.left());
    drop(parent_allowance);
    let thresholds = state.thresholds().notices(&entry.route.name);
    admit::merge_thresholds(&mut lock(&parent.downstream_thresholds), &thresholds);
    result
}

/// Checks the call depth and whether the parent's team may use the route.
fn check_route<C: Clock>(
    state: &NodeState<C>,
    parent: &ParentCall,
    entry: &RouteEntry,
) -> Result<(), CallFailure> {
    if parent.context.depth >= CALL_DEPTH_MAX {
        return Err(CallFailure::not_run(FailureCause::TooDeep));
    }
    if entry.route.allow_anonymous {
        return Ok(());
    }
    if parent.context.team.is_none() {
        return Err(CallFailure::not_run(FailureCause::BadCredentials));
    }
    if !state.has_lease() {
        return Err(CallFailure::not_run(FailureCause::NoLease));
    }
    Ok(())
}

/// Splits the sub-call's share from the parent's retry allowance, after charging a resend
/// to it.
fn split_allowance<C: Clock>(
    state: &NodeState<C>,
    call: CallId,
    parent: &ParentCall,
    context: &CallContext,
) -> Result<(limit::AllowanceShare, RetryAllowance), CallFailure> {
    let mut parent_allowance = lock(&parent.allowance);
    let mut resend_tracker = state.resend_tracker();
    if resend_tracker.check_sub_call(call, context.fingerprint, &mut parent_allowance)
        == ResendVerdict::Refused
    {
        return Err(CallFailure::not_run(FailureCause::AllowanceSpent));
    }
    let share = parent_allowance.split();
    let allowance = RetryAllowance::new(share.amount());
    Ok((share, allowance))
}

/// Derives the context of a sub-call from its running parent, not from its headers.
fn context<C: Clock>(
    state: &NodeState<C>,
    parent: &ParentCall,
    entry: &RouteEntry,
    request: &CallRequest,
) -> CallContext {
    CallContext {
        request: parent.context.request,
        team: parent.context.team.clone(),
        class: parent.context.class.clone(),
        route: entry.route.name.clone(),
        service: entry.route.service.clone(),
        time_left: parent.deadline.saturating_duration_since(state.clock.now()),
        depth: parent.context.depth + 1,
        retry_allowance: 0,
        rank: parent.context.rank,
        fingerprint: request.fingerprint(),
        stamp: state.events.clock().next_timestamp(),
    }
}

fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn text_response(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
