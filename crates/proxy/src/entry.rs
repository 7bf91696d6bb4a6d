//! The listener for callers and for the backend server's own calls.

mod outcome;
mod refusal;
mod token;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::DoorDecision;
use admit::DoorRequest;
use bytes::Bytes;
use clock::Clock;
use fleet::CallHead;
use fleet::KeyOwner;
use fleet::ProtocolAdapter;
use fleet::RequestMetadata;
use fleet::RouteEntry;
use fleet::RouteTable;
use fleet::TeamEntry;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use model::context::CallRank;
use model::door::RequestKind;
use model::ids::ServiceName;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tracing::warn;

use crate::attempt::carry;
use crate::entry::outcome::log_outcome;
use crate::entry::outcome::respond;
use crate::entry::refusal::OwnAnswer;
use crate::entry::refusal::OwnRefusal;
use crate::entry::token::take_token;
use crate::headers;
use crate::own_server::ParentCall;
use crate::state::ProxyState;

/// Largest head that is read, in bytes; the configured limit is checked after it.
const HEAD_BUFFER_BYTES: usize = 64 * 1024;
/// Time within which a head must have come before a configuration says otherwise, in seconds.
const HEAD_TIMEOUT_S: u64 = 10;
/// Largest body before a configuration says otherwise, in bytes.
const BODY_BYTES: u32 = 64 * 1024 * 1024;
/// Delays named to callers, in milliseconds.
const NO_CONFIG_RETRY_MS: u64 = 500;
const NO_MEMORY_RETRY_MS: u64 = 500;
/// Importance of the most important request, and of a call whose origin is not known.
const IMPORTANCE_MAX: u8 = 250;
/// Steps of importance between two orders of routes.
const ROUTE_STEP: u8 = 16;

/// Serves callers until the listener fails.
pub(crate) async fn serve<C: Clock, D: ProtocolAdapter>(
    state: ProxyState<C, D>,
    listener: TcpListener,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_caller(state.clone(), stream));
            }
            Err(error) => {
                warn!(event = "accept-failed", listener = "callers", %error);
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        }
    }
}

async fn serve_caller<C: Clock, D: ProtocolAdapter>(state: ProxyState<C, D>, stream: TcpStream) {
    // Without it only small writes are slower.
    let _ = stream.set_nodelay(true);
    let limits = state
        .table()
        .map(|(table, _)| table.config().limits.clone());
    let head_timeout = limits.map_or(Duration::from_secs(HEAD_TIMEOUT_S), |limits| {
        limits.head_timeout.max(limits.idle_timeout)
    });
    let service = service_fn(|request| answer(&state, request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(HEAD_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(event = "caller-link-ended", %error);
    }
}

async fn answer<C: Clock, D: ProtocolAdapter>(
    state: &ProxyState<C, D>,
    request: Request<Incoming>,
) -> Result<OwnAnswer, Infallible> {
    let _entered = state.enter();
    let started = state.now();
    let marks = state.dialect.request_metadata(request.headers());
    let attempt = marks.attempt.clone();
    let mut response = match admit(state, request, marks, started).await {
        Ok(response) => response,
        Err(refusal) => refusal.respond(state, attempt.as_deref(), started),
    };
    if state.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Checks a request, and carries it when it may enter.
async fn admit<C: Clock, D: ProtocolAdapter>(
    state: &ProxyState<C, D>,
    request: Request<Incoming>,
    marks: RequestMetadata,
    started: Instant,
) -> Result<OwnAnswer, OwnRefusal> {
    let no_config = Duration::from_millis(NO_CONFIG_RETRY_MS);
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let Some((table, leased)) = state.table() else {
        return Err(OwnRefusal::later(
            unavailable,
            "no-configuration",
            no_config,
        ));
    };
    if marks.attempt.is_none() {
        return Err(OwnRefusal::new(StatusCode::BAD_REQUEST, "no-request-id"));
    }
    if !leased {
        return Err(OwnRefusal::later(unavailable, "no-lease", no_config));
    }
    check_head(&table, request.headers())?;
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str())
        .to_owned();
    let host = host_of(&request);
    let Some(route) = table.route(&host, &path) else {
        return Err(OwnRefusal::new(StatusCode::NOT_FOUND, "no-route"));
    };
    let team = team_of(&table, route, marks.key.as_deref())?;
    if let Some(team) = team {
        take_token(state, route, team).await?;
    }
    let parent = match team {
        Some(team) => {
            pass_door(state, route, team, &marks)?;
            None
        }
        None => find_parent(state, route, &marks, started),
    };
    let timeout = marks
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let deadline = started + timeout;
    let method = request.method().as_str().to_owned();
    let passed_on = headers::passed_on(&state.dialect, request.headers());
    let body = body_of(&table, request.into_body()).await?;
    let Some(_booking) = state.book_body(body.len()) else {
        let delay = Duration::from_millis(NO_MEMORY_RETRY_MS);
        return Err(OwnRefusal::later(unavailable, "no-memory", delay));
    };
    let head = CallHead {
        attempt: marks.attempt.unwrap_or_default(),
        method,
        path,
        headers: passed_on,
        route: route.name.clone(),
        service: service_of(route),
        idempotent: route.idempotent,
        repeated: parent.as_ref().is_some_and(|parent| parent.repeated),
        rank: parent.map_or_else(|| rank_of(route, team), |parent| parent.rank),
        time_left: timeout,
        team: team.map(|team| team.name.clone()),
        caller_service: state.settings.service.clone(),
    };
    let attempt = head.attempt.clone();
    let outcome = carry(state, head, body, route.max_attempts, deadline).await;
    log_outcome(state, &attempt, route, &outcome, &table, started);
    respond(outcome)
}

/// Finds the run that made a call of the backend server, and counts the call for it.
fn find_parent<C: Clock, D: ProtocolAdapter>(
    state: &ProxyState<C, D>,
    route: &RouteEntry,
    marks: &RequestMetadata,
    started: Instant,
) -> Option<ParentCall> {
    let deadline = marks.deadline.map(|left| started + left);
    let parent = deadline.and_then(|deadline| state.server.parent(deadline));
    if let Some(parent) = &parent {
        state.work().called(&parent.route, &route.name);
    }
    parent
}

/// Lets a request of a caller enter by the leader's plan, or says when to come back.
fn pass_door<C: Clock, D: ProtocolAdapter>(
    state: &ProxyState<C, D>,
    route: &RouteEntry,
    team: &TeamEntry,
    marks: &RequestMetadata,
) -> Result<(), OwnRefusal> {
    let kind = RequestKind {
        route_order: route.priority,
        team_order: team.priority,
        route: route.name.clone(),
    };
    let request = DoorRequest {
        kind: &kind,
        deadline: marks.deadline.unwrap_or(route.timeout),
        aim: route.target_latency,
    };
    let drawn = (rand::random(), rand::random());
    let decision = state.door().decide(request, drawn, state.now());
    let DoorDecision::Later { retry_after } = decision else {
        return Ok(());
    };
    state.quota().give_back(&team.name, state.now());
    Err(OwnRefusal {
        retry_after: Some(retry_after),
        team: Some(team.name.clone()),
        ..OwnRefusal::new(StatusCode::SERVICE_UNAVAILABLE, "turned-away")
    })
}

fn check_head(table: &RouteTable, headers: &HeaderMap) -> Result<(), OwnRefusal> {
    let length = |(name, value): (&http::HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + ": \r\n".len()
    };
    let bytes: usize = headers.iter().map(length).sum();
    if bytes > table.config().limits.head_bytes as usize {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(OwnRefusal::new(status, "head-too-large"));
    }
    Ok(())
}

fn host_of(request: &Request<Incoming>) -> String {
    let header = request.headers().get(header::HOST);
    let header = header.and_then(|value| value.to_str().ok());
    let host = header.or_else(|| request.uri().host());
    host.unwrap_or_default().to_owned()
}

fn team_of<'a>(
    table: &'a RouteTable,
    route: &RouteEntry,
    key: Option<&str>,
) -> Result<Option<&'a TeamEntry>, OwnRefusal> {
    match table.key_owner(key) {
        KeyOwner::NotNeeded => Ok(None),
        KeyOwner::Team(team) => Ok(Some(team)),
        KeyOwner::Unknown if route.allow_anonymous => Ok(None),
        KeyOwner::Unknown => Err(OwnRefusal::new(StatusCode::UNAUTHORIZED, "unknown-key")),
    }
}

/// Chooses a service of the route by the weights.
fn service_of(route: &RouteEntry) -> ServiceName {
    let total: u64 = route.services.iter().map(|part| part.weight_milli).sum();
    let mut drawn = rand::random::<u64>() % total.max(1);
    for part in &route.services {
        if drawn < part.weight_milli {
            return part.service.clone();
        }
        drawn -= part.weight_milli;
    }
    route
        .services
        .last()
        .map_or_else(|| Arc::from(""), |part| part.service.clone())
}

/// Ranks a request by its route, then by its team; calls made for it inherit the rank.
fn rank_of(route: &RouteEntry, team: Option<&TeamEntry>) -> CallRank {
    let importance = match team {
        None => IMPORTANCE_MAX,
        Some(team) => {
            let steps = route.priority.saturating_mul(ROUTE_STEP);
            IMPORTANCE_MAX.saturating_sub(steps.saturating_add(team.priority.min(ROUTE_STEP - 1)))
        }
    };
    CallRank::new(importance, 0, 0)
}

async fn body_of(table: &RouteTable, body: Incoming) -> Result<Bytes, OwnRefusal> {
    let limit = table.config().limits.body_bytes.min(BODY_BYTES);
    match Limited::new(body, limit as usize).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(OwnRefusal::new(status, "body-too-large"))
        }
        Err(_) => Err(OwnRefusal::new(StatusCode::BAD_REQUEST, "body-broken")),
    }
}
