//! The listener for callers and for the backend server's own calls.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::DoorDecision;
use admit::DoorRequest;
use bytes::Bytes;
use clock::Clock;
use fleet::CallHead;
use fleet::FailCause;
use fleet::KeyOwner;
use fleet::RequestMarks;
use fleet::RouteEntry;
use fleet::RouteTable;
use fleet::TeamEntry;
use fleet::WireDialect;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
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
use model::ids::TeamName;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::info;
use tracing::warn;

use crate::attempt::CarryOutcome;
use crate::attempt::carry;
use crate::fate::CallEnd;
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
const NO_SHARE_RETRY_MS: u64 = 200;
const OVER_QUOTA_RETRY_MS: u64 = 300;
/// Longest time that a request waits for a token of its team, in milliseconds,
/// and as a part of the time within which an answer is worth most.
const TOKEN_WAIT_MS: u64 = 100;
const TOKEN_WAIT_PART: f64 = 0.12;
/// Part by which a delay is spread, so that callers do not come back together.
const SPREAD_PART: f64 = 0.5;
/// One in this many requests that went well is logged.
const LOGGED_ONE_IN: usize = 128;
/// Importance of the most important request, and of a call whose origin is not known.
const IMPORTANCE_MAX: u8 = 250;
/// Steps of importance between two orders of routes.
const ROUTE_STEP: u8 = 16;

type OwnAnswer = Response<Full<Bytes>>;

/// Serves callers until the listener fails.
pub(crate) async fn serve<C: Clock, D: WireDialect>(
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

async fn serve_caller<C: Clock, D: WireDialect>(state: ProxyState<C, D>, stream: TcpStream) {
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

async fn answer<C: Clock, D: WireDialect>(
    state: &ProxyState<C, D>,
    request: Request<Incoming>,
) -> Result<OwnAnswer, Infallible> {
    let _entered = state.enter();
    let started = state.now();
    let marks = state.dialect.request_marks(request.headers());
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

/// An answer of this node's own.
struct OwnRefusal {
    status: StatusCode,
    reason: &'static str,
    retry_after: Option<Duration>,
    /// The team whose limit decided.
    team: Option<TeamName>,
    /// This node's part of the limit, in thousandths of a request per second.
    share_milli: Option<u64>,
}

impl OwnRefusal {
    const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
            team: None,
            share_milli: None,
        }
    }

    /// Creates a refusal that names a delay, spread so that callers come back one by one.
    fn later(status: StatusCode, reason: &'static str, delay: Duration) -> Self {
        let spread = 1.0 + SPREAD_PART * rand::random::<f64>();
        Self {
            retry_after: Some(delay.mul_f64(spread)),
            ..Self::new(status, reason)
        }
    }

    fn respond<C: Clock, D: WireDialect>(
        &self,
        state: &ProxyState<C, D>,
        attempt: Option<&str>,
        started: Instant,
    ) -> OwnAnswer {
        state.metrics.count("refused", self.reason);
        if state.may_log() {
            let held = state.now().saturating_duration_since(started);
            info!(
                event = "request-refused",
                request = attempt.unwrap_or("-"),
                status = self.status.as_u16(),
                reason = self.reason,
                team = self.team.as_deref(),
                share_milli = self.share_milli,
                config = state.view().version(),
                retry_after_ms = self.retry_after.map(|delay| delay.as_millis()),
                held_ms = held.as_millis(),
            );
        }
        let body = state.dialect.explanation(self.reason);
        let mut answer = Response::new(Full::new(Bytes::from(body)));
        *answer.status_mut() = self.status;
        let dialect = &state.dialect;
        dialect.mark_own_answer(answer.headers_mut(), attempt, self.retry_after);
        answer
    }
}

/// Checks a request, and carries it when it may enter.
async fn admit<C: Clock, D: WireDialect>(
    state: &ProxyState<C, D>,
    request: Request<Incoming>,
    marks: RequestMarks,
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
        caller: state.settings.service.clone(),
    };
    let attempt = head.attempt.clone();
    let outcome = carry(state, head, body, route.attempts, deadline).await;
    log_outcome(state, &attempt, route, &outcome, &table, started);
    respond(outcome)
}

/// Takes a token of the team's limit, from the leader if there is none here.
async fn take_token<C: Clock, D: WireDialect>(
    state: &ProxyState<C, D>,
    route: &RouteEntry,
    team: &TeamEntry,
) -> Result<(), OwnRefusal> {
    let now = state.now();
    let waiter = {
        let mut quota = state.quota();
        if quota.take(&team.name, now) {
            return Ok(());
        }
        if !quota.is_granted() {
            return Err(no_token("no-share", team));
        }
        state.desk().wait(&team.name, now)
    };
    let Some(waiter) = waiter else {
        return Err(over_quota(state, team));
    };
    state.ask_now.notify_one();
    let limit = Duration::from_millis(TOKEN_WAIT_MS).min(route.aim.mul_f64(TOKEN_WAIT_PART));
    match timeout(limit, waiter).await {
        Ok(Ok(true)) => Ok(()),
        Ok(Ok(false)) => Err(over_quota(state, team)),
        Ok(Err(_)) | Err(_) => Err(no_token("no-token", team)),
    }
}

fn over_quota<C: Clock, D: WireDialect>(state: &ProxyState<C, D>, team: &TeamEntry) -> OwnRefusal {
    let delay = Duration::from_millis(OVER_QUOTA_RETRY_MS);
    let mut refusal = OwnRefusal::later(StatusCode::TOO_MANY_REQUESTS, "over-quota", delay);
    refusal.team = Some(team.name.clone());
    refusal.share_milli = Some(state.quota().share_milli(&team.name));
    refusal
}

fn no_token(reason: &'static str, team: &TeamEntry) -> OwnRefusal {
    let delay = Duration::from_millis(NO_SHARE_RETRY_MS);
    let mut refusal = OwnRefusal::later(StatusCode::SERVICE_UNAVAILABLE, reason, delay);
    refusal.team = Some(team.name.clone());
    refusal
}

/// Finds the run that made a call of the backend server, and counts the call for it.
fn find_parent<C: Clock, D: WireDialect>(
    state: &ProxyState<C, D>,
    route: &RouteEntry,
    marks: &RequestMarks,
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
fn pass_door<C: Clock, D: WireDialect>(
    state: &ProxyState<C, D>,
    route: &RouteEntry,
    team: &TeamEntry,
    marks: &RequestMarks,
) -> Result<(), OwnRefusal> {
    let kind = RequestKind {
        route_order: route.order,
        team_order: team.order,
        route: route.name.clone(),
    };
    let request = DoorRequest {
        kind: &kind,
        deadline: marks.deadline.unwrap_or(route.timeout),
        aim: route.aim,
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
    match table.owner(key) {
        KeyOwner::NotNeeded => Ok(None),
        KeyOwner::Team(team) => Ok(Some(team)),
        KeyOwner::Unknown if route.anonymous => Ok(None),
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
            let steps = route.order.saturating_mul(ROUTE_STEP);
            IMPORTANCE_MAX.saturating_sub(steps.saturating_add(team.order.min(ROUTE_STEP - 1)))
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

fn respond(outcome: CarryOutcome) -> Result<OwnAnswer, OwnRefusal> {
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
            cause: FailCause::Timeout,
        } => Err(OwnRefusal::new(StatusCode::GATEWAY_TIMEOUT, "timeout")),
        CallEnd::Failed { .. } => Err(OwnRefusal::new(StatusCode::BAD_GATEWAY, "may-have-run")),
    }
}

fn log_outcome<C: Clock, D: WireDialect>(
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
