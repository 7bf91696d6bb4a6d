//! The loopback listener: announcements and sub-calls of the backend server.

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
use crate::call::CallAnswer;
use crate::call::CallRequest;
use crate::forward;
use crate::forward::OutgoingCall;
use crate::headers;
use crate::once;
use crate::parent::ParentCall;
use crate::problem;
use crate::receive::DEPTH_MAX;
use crate::state::NodeState;

/// Answers the backend server beside this node.
pub(crate) async fn serve_local<C: Clock>(
    state: Arc<NodeState<C>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = request.into_parts();
    if head.uri.path() == ANNOUNCE_PATH {
        return announce(&state, &head, body).await;
    }
    let call = headers::parse_call(&head.headers);
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
        Ok(answer) => {
            let mut response = answer.into_http();
            problem::mark(&mut response, RunVerdict::Ran, request);
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
        return plain(StatusCode::METHOD_NOT_ALLOWED, "use POST".to_owned());
    }
    let limits = &state.settings.limits;
    let Ok(body) = call::collect(body, limits.head_bytes, limits.body_timeout).await else {
        return plain(StatusCode::BAD_REQUEST, "the body is not whole".to_owned());
    };
    let announcement: ServerAnnouncement = match serde_json::from_slice(&body) {
        Ok(announcement) => announcement,
        Err(error) => return plain(StatusCode::BAD_REQUEST, error.to_string()),
    };
    if !announcement.address.ip().is_loopback() {
        let text = "`address` must be a loopback address".to_owned();
        return plain(StatusCode::BAD_REQUEST, text);
    }
    let event = EventRecord::new("backend-announced")
        .field("service", &announcement.service)
        .field("state", &announcement.state);
    let slots = announcement.slots;
    // The other nodes of the service are told of crashes.
    let service = announcement.service.clone();
    state.members.expect_calls(std::iter::once(&service));
    if state.server.announce(announcement) {
        state.events.push(event);
        state.update_gate(slots);
        state.wake.notify_one();
    }
    plain(StatusCode::NO_CONTENT, String::new())
}

async fn sub_call<C: Clock>(
    state: &NodeState<C>,
    call: CallId,
    parent: &ParentCall,
    head: Parts,
    body: Incoming,
) -> Result<CallAnswer, CallFailure> {
    let view = state.view.get();
    let Some(entry) = view.routes.find(head.uri.path()) else {
        return Err(CallFailure::not_run(FailureCause::UnknownRoute));
    };
    check(state, parent, entry)?;
    let limits = &state.settings.limits;
    let body = call::collect(body, limits.body_bytes, limits.body_timeout).await;
    let body = body.map_err(call::BodyError::failure)?;
    let request = CallRequest::new(head.method, &head.uri, head.headers, body);
    let context = context(state, parent, entry, &request);
    let (share, mut allowance) = take_share(state, call, parent, &context)?;
    let outgoing = OutgoingCall {
        context,
        deadline: parent.deadline,
        idempotent: entry.route.idempotent,
        request: &request,
    };
    let once = if entry.route.once {
        Some(once::once_key(&outgoing.context, &request)?)
    } else {
        None
    };
    let mut result = forward::forward(state, outgoing, &mut allowance).await;
    if let (Err(failure), Some(key)) = (&result, &once) {
        result = Err(once::covering_earlier(state, key, failure.clone()).await);
    }
    let mut left = lock(&parent.allowance);
    left.restore(share, allowance.left());
    drop(left);
    let notices = state.cuts().notices(&entry.route.name);
    admit::merge_cuts(&mut lock(&parent.below), &notices);
    result
}

/// Checks that the parent's team may take the route.
fn check<C: Clock>(
    state: &NodeState<C>,
    parent: &ParentCall,
    entry: &RouteEntry,
) -> Result<(), CallFailure> {
    if parent.context.depth >= DEPTH_MAX {
        return Err(CallFailure::not_run(FailureCause::TooDeep));
    }
    if entry.route.open {
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

/// Splits the sub-call's share from the parent's allowance; a re-send is charged first.
fn take_share<C: Clock>(
    state: &NodeState<C>,
    call: CallId,
    parent: &ParentCall,
    context: &CallContext,
) -> Result<(limit::AllowanceShare, RetryAllowance), CallFailure> {
    let mut left = lock(&parent.allowance);
    let mut resends = state.resends();
    if resends.sub_call(call, context.fingerprint, &mut left) == ResendVerdict::Refused {
        return Err(CallFailure::not_run(FailureCause::AllowanceSpent));
    }
    let share = left.split();
    let allowance = RetryAllowance::new(share.amount());
    Ok((share, allowance))
}

/// Derives the context of a sub-call from its living parent alone.
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
        allowance: 0,
        rank: parent.context.rank,
        fingerprint: request.fingerprint(),
        stamp: state.events.clock().next_timestamp(),
    }
}

fn lock<T>(mutex: &std::sync::Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn plain(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
