//! The listener for callers: authenticates, validates and forwards their requests.

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
use model::idempotency::IdempotencyKey;
use model::ids::RequestId;
use model::ids::TeamName;
use model::keys;
use model::lookup::RouteEntry;
use model::verdict::CallFailure;
use model::verdict::FailureCause;
use model::verdict::RunVerdict;
use timeline::EventRecord;
use uuid::Uuid;

use crate::call;
use crate::call::CallRequest;
use crate::call::CallResponse;
use crate::declaration::DeclarationIndex;
use crate::forward;
use crate::forward::OutgoingCall;
use crate::headers;
use crate::idempotency;
use crate::metrics::RequestLabels;
use crate::problem;
use crate::state::NodeState;

/// Authentication scheme that begins the value of `Authorization`.
const BEARER: &str = "Bearer ";
/// Version of the UUIDs that carry a Unix time stamp.
const TIMESTAMP_UUID_VERSION: usize = 7;
/// Metric label of a request without a class or team.
const NO_LABEL: &str = "none";

/// The outcome of checking a request's head.
struct CheckedHead {
    request: RequestId,
    entry: Arc<RouteEntry>,
    team: Option<TeamName>,
    /// Idempotency record key of a request that must run at most once.
    record_key: Option<IdempotencyKey>,
    deadline: Instant,
}

/// Serves a caller's request.
pub(crate) async fn serve_caller<C: Clock>(
    state: Arc<NodeState<C>>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let started = state.clock.now();
    let _in_flight = state.track_request();
    let (head, body) = request.into_parts();
    let checked = match check(&state, &head, started) {
        Ok(checked) => checked,
        Err(failure) => {
            let labels = RequestLabels {
                class: NO_LABEL,
                team: NO_LABEL,
            };
            return finish_request(&state, rand::random(), &labels, started, Err(failure));
        }
    };
    let request = checked.request;
    let entry = Arc::clone(&checked.entry);
    let team = checked.team.clone();
    let record_key = checked.record_key.clone();
    let mut result = forward_request(&state, checked, head, body).await;
    if let (Err(failure), Some(key)) = (&result, &record_key) {
        result = Err(idempotency::correct_verdict(&state, key, failure.clone()).await);
    }
    let labels = RequestLabels {
        class: &entry.class.name,
        team: team.as_deref().unwrap_or(NO_LABEL),
    };
    finish_request(&state, request, &labels, started, result)
}

/// Checks route, credentials and idempotency key from the head, before reading the body.
fn check<C: Clock>(
    state: &NodeState<C>,
    head: &Parts,
    started: Instant,
) -> Result<CheckedHead, CallFailure> {
    let declared = state.declaration.get();
    let Some(entry) = declared.routes.find(head.uri.path()) else {
        return Err(CallFailure::not_run(FailureCause::UnknownRoute));
    };
    let team = if entry.route.allow_anonymous {
        None
    } else {
        let authenticated = authenticate(state, &declared, &head.headers);
        Some(authenticated.map_err(|failure| correct_verdict_without_lease(entry, failure))?)
    };
    let key = idempotency_key(entry, &head.headers)?;
    let record_key = team.clone().zip(key).filter(|_| entry.route.at_most_once);
    Ok(CheckedHead {
        request: request_id(entry, team.as_ref(), key),
        record_key: record_key.map(|(team, key)| IdempotencyKey {
            team,
            route: entry.route.name.clone(),
            key,
        }),
        team,
        deadline: started + entry.class.deadline,
        entry: Arc::clone(entry),
    })
}

/// Returns the team that owns the request's API key.
fn authenticate<C: Clock>(
    state: &NodeState<C>,
    declared: &DeclarationIndex,
    headers: &HeaderMap,
) -> Result<TeamName, CallFailure> {
    let bad_credentials = CallFailure::not_run(FailureCause::BadCredentials);
    let value = headers::get_single(headers, &header::AUTHORIZATION);
    let text = value.and_then(|value| value.to_str().ok());
    let key = text.and_then(|text| text.strip_prefix(BEARER));
    let key = key.filter(|key| !key.is_empty()).ok_or(bad_credentials)?;
    if !state.has_lease() {
        return Err(CallFailure::not_run(FailureCause::NoLease).retry_after_ms(1_000));
    }
    let team = declared.keys.team(&keys::digest_key(key));
    team.cloned()
        .ok_or(CallFailure::not_run(FailureCause::UnknownKey))
}

/// Corrects the verdict for a missing lease: without control, the node cannot find out
/// whether an earlier attempt of a run-at-most-once request ran.
fn correct_verdict_without_lease(entry: &RouteEntry, mut failure: CallFailure) -> CallFailure {
    if entry.route.at_most_once && failure.cause == FailureCause::NoLease {
        failure.verdict = RunVerdict::MayHaveRun;
    }
    failure
}

/// Returns the idempotency key, which is required on run-at-most-once routes.
fn idempotency_key(entry: &RouteEntry, headers: &HeaderMap) -> Result<Option<Uuid>, CallFailure> {
    let bad_key = CallFailure::not_run(FailureCause::BadIdempotencyKey);
    if !headers.contains_key(headers::IDEMPOTENCY_KEY) && !entry.route.at_most_once {
        return Ok(None);
    }
    let key = headers::parse_idempotency_key(headers);
    let has_timestamp =
        |key: &Uuid| !entry.route.at_most_once || key.get_version_num() == TIMESTAMP_UUID_VERSION;
    key.filter(has_timestamp).map(Some).ok_or(bad_key)
}

/// Returns a random request id, or one derived from the idempotency key, so that resends
/// with the same key get the same id.
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

/// Reads the body, takes a token of the team's rate limit and forwards the request.
async fn forward_request<C: Clock>(
    state: &NodeState<C>,
    checked: CheckedHead,
    head: Parts,
    body: Incoming,
) -> Result<CallResponse, CallFailure> {
    if state.refuses_calls() {
        return Err(CallFailure::not_run(FailureCause::Draining));
    }
    let limits = &state.settings.limits;
    let body = call::read_body(body, limits.body_bytes, limits.body_timeout).await;
    let body = body.map_err(call::ReadBodyError::failure)?;
    let resend = state.resend_tracker().check_request(checked.request);
    if resend == ResendVerdict::Refused {
        return Err(CallFailure::not_run(FailureCause::AllowanceSpent));
    }
    let request = CallRequest::new(head.method, &head.uri, head.headers, body);
    let context = context(state, &checked, &request);
    // A request that a downstream service would refuse takes no token.
    state.thresholds().check(&context.route, context.rank)?;
    if let Some(team) = &checked.team {
        state.tokens.take(team).await?;
    }
    let outgoing = OutgoingCall {
        context,
        deadline: checked.deadline,
        idempotent: checked.entry.route.idempotent,
        request: &request,
    };
    let mut reserved = state.reserve_retry_allowance();
    forward::forward(state, outgoing, &mut reserved.allowance).await
}

fn context<C: Clock>(
    state: &NodeState<C>,
    checked: &CheckedHead,
    request: &CallRequest,
) -> CallContext {
    let class = &checked.entry.class;
    let team = checked.team.as_ref();
    let rank = state
        .ranker()
        .rank(team, class.refusal_order, checked.request);
    CallContext {
        request: checked.request,
        team: checked.team.clone(),
        class: class.name.clone(),
        route: checked.entry.route.name.clone(),
        service: checked.entry.route.service.clone(),
        time_left: class.deadline,
        depth: 0,
        retry_allowance: 0,
        rank,
        fingerprint: request.fingerprint(),
        stamp: state.events.clock().next_timestamp(),
    }
}

/// Records the end of a request in metrics and timeline, and builds the response.
fn finish_request<C: Clock>(
    state: &NodeState<C>,
    request: RequestId,
    labels: &RequestLabels<'_>,
    started: Instant,
    result: Result<CallResponse, CallFailure>,
) -> Response<Full<Bytes>> {
    let elapsed = state.clock.now().saturating_duration_since(started);
    let outcome = result.as_ref().map(|_| ());
    state.metrics.record_request(labels, outcome, elapsed);
    match result {
        Ok(response) => {
            let mut response = response.into_http();
            problem::add_result_headers(&mut response, RunVerdict::Ran, request);
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
