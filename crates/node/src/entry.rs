//! Requests of callers.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use clock::Clock;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header;
use http::request::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use limit::ResendVerdict;
use model::context::CallContext;
use model::ids::RequestId;
use model::ids::TeamName;
use model::keys;
use model::lookup::RouteEntry;
use model::once::OnceKey;
use model::verdict::CallFailure;
use model::verdict::FailureCause;
use model::verdict::RunVerdict;
use timeline::EventRecord;
use uuid::Uuid;

use crate::call;
use crate::call::CallAnswer;
use crate::call::CallRequest;
use crate::forward;
use crate::forward::OutgoingCall;
use crate::headers;
use crate::metrics::RequestLabels;
use crate::once;
use crate::problem;
use crate::state::NodeState;
use crate::view::DeclaredView;

/// Start of the value of `Authorization`.
const BEARER: &str = "Bearer ";
/// Version of a UUID that carries a time stamp.
const STAMPED_VERSION: usize = 7;
/// Label of a request without class or team.
const NO_LABEL: &str = "none";

/// A request whose head was checked.
struct CheckedHead {
    request: RequestId,
    entry: Arc<RouteEntry>,
    team: Option<TeamName>,
    /// Identity of a request that must run at most once.
    once: Option<OnceKey>,
    deadline: Instant,
}

/// Answers a request of a caller.
pub(crate) async fn serve_caller<C: Clock>(
    state: Arc<NodeState<C>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let begun = state.clock.now();
    let _entered = state.enter();
    let (head, body) = request.into_parts();
    let checked = match check(&state, &head, begun) {
        Ok(checked) => checked,
        Err(failure) => {
            let labels = RequestLabels {
                class: NO_LABEL,
                team: NO_LABEL,
            };
            return finish(&state, rand::random(), &labels, begun, Err(failure));
        }
    };
    let request = checked.request;
    let entry = Arc::clone(&checked.entry);
    let team = checked.team.clone();
    let once = checked.once.clone();
    let mut result = enter(&state, checked, head, body).await;
    if let (Err(failure), Some(key)) = (&result, &once) {
        result = Err(once::covering_earlier(&state, key, failure.clone()).await);
    }
    let labels = RequestLabels {
        class: &entry.class.name,
        team: team.as_deref().unwrap_or(NO_LABEL),
    };
    finish(&state, request, &labels, begun, result)
}

/// Checks what the head alone tells, before any of the body is read.
fn check<C: Clock>(
    state: &NodeState<C>,
    head: &Parts,
    begun: Instant,
) -> Result<CheckedHead, CallFailure> {
    let view = state.view.get();
    let Some(entry) = view.routes.find(head.uri.path()) else {
        return Err(CallFailure::not_run(FailureCause::UnknownRoute));
    };
    let team = if entry.route.open {
        None
    } else {
        let authenticated = authenticate(state, &view, &head.headers);
        Some(authenticated.map_err(|failure| covering_lease(entry, failure))?)
    };
    let key = idempotency_key(entry, &head.headers)?;
    let once = team.clone().zip(key).filter(|_| entry.route.once);
    Ok(CheckedHead {
        request: request_id(entry, team.as_ref(), key),
        once: once.map(|(team, key)| OnceKey {
            team,
            route: entry.route.name.clone(),
            key,
        }),
        team,
        deadline: begun + entry.class.within,
        entry: Arc::clone(entry),
    })
}

/// Returns the team whose key came with the request.
fn authenticate<C: Clock>(
    state: &NodeState<C>,
    view: &DeclaredView,
    headers: &HeaderMap,
) -> Result<TeamName, CallFailure> {
    let bad_credentials = CallFailure::not_run(FailureCause::BadCredentials);
    let value = headers::single(headers, &header::AUTHORIZATION);
    let text = value.and_then(|value| value.to_str().ok());
    let key = text.and_then(|text| text.strip_prefix(BEARER));
    let key = key.filter(|key| !key.is_empty()).ok_or(bad_credentials)?;
    if !state.has_lease() {
        return Err(CallFailure::not_run(FailureCause::NoLease).retry_after_ms(1_000));
    }
    let team = view.keys.team(&keys::digest_key(key));
    team.cloned()
        .ok_or(CallFailure::not_run(FailureCause::UnknownKey))
}

/// Corrects the verdict of a node that cannot ask whether an earlier sending ran.
fn covering_lease(entry: &RouteEntry, mut failure: CallFailure) -> CallFailure {
    if entry.route.once && failure.cause == FailureCause::NoLease {
        failure.verdict = RunVerdict::MayHaveRun;
    }
    failure
}

/// Returns the idempotency key, which routes that run at most once need.
fn idempotency_key(entry: &RouteEntry, headers: &HeaderMap) -> Result<Option<Uuid>, CallFailure> {
    let bad_key = CallFailure::not_run(FailureCause::BadIdempotencyKey);
    if !headers.contains_key(headers::IDEMPOTENCY_KEY) && !entry.route.once {
        return Ok(None);
    }
    let key = headers::parse_idempotency_key(headers);
    let is_stamped = |key: &Uuid| !entry.route.once || key.get_version_num() == STAMPED_VERSION;
    key.filter(is_stamped).map(Some).ok_or(bad_key)
}

/// Draws the request's id; re-sends with one idempotency key get the same one.
fn request_id(entry: &RouteEntry, team: Option<&TeamName>, key: Option<Uuid>) -> RequestId {
    let Some(key) = key else {
        return rand::random();
    };
    let mut hasher = blake3::Hasher::new();
    hasher.update(team.map_or(b"", |team| team.as_bytes()));
    hasher.update(&[0]);
    hasher.update(entry.route.name.as_bytes());
    hasher.update(key.as_bytes());
    let mut id = [0; size_of::<RequestId>()];
    id.copy_from_slice(&hasher.finalize().as_bytes()[..size_of::<RequestId>()]);
    RequestId::from_le_bytes(id)
}

/// Reads the body, charges the team and sends the request on.
async fn enter<C: Clock>(
    state: &NodeState<C>,
    checked: CheckedHead,
    head: Parts,
    body: Incoming,
) -> Result<CallAnswer, CallFailure> {
    if state.is_closed() {
        return Err(CallFailure::not_run(FailureCause::Draining));
    }
    let limits = &state.settings.limits;
    let body = call::collect(body, limits.body_bytes, limits.body_timeout).await;
    let body = body.map_err(call::BodyError::failure)?;
    let is_resent = state.resends().arrival(checked.request);
    if is_resent == ResendVerdict::Refused {
        return Err(CallFailure::not_run(FailureCause::AllowanceSpent));
    }
    let request = CallRequest::new(head.method, &head.uri, head.headers, body);
    let context = context(state, &checked, &request);
    // What a service further down would refuse costs no token.
    state.cuts().check(&context.route, context.rank)?;
    if let Some(team) = &checked.team {
        state.tokens.take(team).await?;
    }
    let outgoing = OutgoingCall {
        context,
        deadline: checked.deadline,
        idempotent: checked.entry.route.idempotent,
        request: &request,
    };
    let mut minted = state.mint_allowance();
    forward::forward(state, outgoing, &mut minted.allowance).await
}

fn context<C: Clock>(
    state: &NodeState<C>,
    checked: &CheckedHead,
    request: &CallRequest,
) -> CallContext {
    let class = &checked.entry.class;
    let team = checked.team.as_ref();
    let rank = state.standings().rank(team, class.refused, checked.request);
    CallContext {
        request: checked.request,
        team: checked.team.clone(),
        class: class.name.clone(),
        route: checked.entry.route.name.clone(),
        service: checked.entry.route.service.clone(),
        time_left: class.within,
        depth: 0,
        allowance: 0,
        rank,
        fingerprint: request.fingerprint(),
        stamp: state.events.clock().next_timestamp(),
    }
}

/// Counts and records the end of a request and builds the answer.
fn finish<C: Clock>(
    state: &NodeState<C>,
    request: RequestId,
    labels: &RequestLabels<'_>,
    begun: Instant,
    result: Result<CallAnswer, CallFailure>,
) -> Response<Full<Bytes>> {
    let elapsed = state.clock.now().saturating_duration_since(begun);
    let outcome = result.as_ref().map(|_| ());
    state.metrics.finished(labels, outcome, elapsed);
    match result {
        Ok(answer) => {
            let mut response = answer.into_http();
            problem::mark(&mut response, RunVerdict::Ran, request);
            response
        }
        Err(failure) => {
            let event = EventRecord::new("request-failed")
                .request(request)
                .field("class", &labels.class)
                .field("team", &labels.team)
                .field("cause", &failure.cause)
                .field("verdict", &failure.verdict);
            state.events.push(event);
            problem::failure_response(&failure, request)
        }
    }
}
