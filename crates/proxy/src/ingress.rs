//! HTTP server for requests of callers, and for calls that the local backend server makes.

mod answer_writer;
mod connection;
mod incoming_body;
mod outcome;
mod parent_call;
mod pipeline;
mod prefixed_reader;
mod refusal;
mod request_body;
mod request_parser;
mod token;

use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use admit::EntryDecision;
use admit::EntryRequest;
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
use hyper::body::Body;
use limit::TakenToken;
use model::context::CallRank;
use model::entry::RequestKind;
use model::ids::ServiceName;
use tokio::net::TcpListener;

use crate::forward::forward;
use crate::headers;
use crate::ingress::connection::serve_connection;
use crate::ingress::outcome::build_response;
use crate::ingress::outcome::log_outcome;
use crate::ingress::parent_call::check_stop;
use crate::ingress::parent_call::find_parent_call;
use crate::ingress::parent_call::may_be_child;
use crate::ingress::refusal::BufferedResponse;
use crate::ingress::refusal::Refusal;
use crate::ingress::request_body::read_request_body;
use crate::ingress::token::take_token;
use crate::open_call::OpenCall;
use crate::state::ProxyState;

/// Retry-after delay while there is no configuration or no lease, in milliseconds.
const NO_CONFIG_RETRY_AFTER_MS: u64 = 500;
/// Importance of the most important requests, and of calls whose parent call is not known.
const MAX_IMPORTANCE: u8 = 250;
/// Difference in importance between adjacent route orders; the team order ranks within it.
const ROUTE_ORDER_STEP: u8 = 16;

/// Accepts connections on `listener` and serves their requests, until a stopping node takes no
/// more.
pub(crate) async fn serve<C: Clock, A: ProtocolAdapter>(
    state: ProxyState<C, A>,
    listener: TcpListener,
) {
    loop {
        let (stream, _) = tokio::select! {
            accepted = link::accept(&listener, "callers") => accepted,
            () = state.stop.connections_closing() => return,
        };
        let connection = serve_connection(state.clone(), stream);
        state.stop.connections.spawn(connection);
    }
}

/// A request that has been read, until it is answered.
struct OpenRequest<C: Clock, A: ProtocolAdapter, B> {
    request: Request<B>,
    metadata: RequestMetadata,
    call: Arc<OpenCall<C, A>>,
    started: Instant,
}

/// Opens a request whose caller has waited since `started`.
fn open_request<C: Clock, A: ProtocolAdapter, B>(
    state: &ProxyState<C, A>,
    request: Request<B>,
    started: Instant,
) -> OpenRequest<C, A, B> {
    let metadata = state.adapter.request_metadata(request.headers());
    let attempt = metadata.attempt.clone().unwrap_or_default();
    let call = Arc::new(OpenCall::new(state.clone(), attempt, started));
    OpenRequest {
        request,
        metadata,
        call,
        started,
    }
}

async fn answer_request<C, A, B>(
    state: &ProxyState<C, A>,
    open: OpenRequest<C, A, B>,
) -> BufferedResponse
where
    C: Clock,
    A: ProtocolAdapter,
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    let attempt = open.metadata.attempt.clone();
    let (call, started) = (Arc::clone(&open.call), open.started);
    let result = tokio::select! {
        biased;
        result = check_and_forward(state, open) => result,
        () = state.stop.ending() => Err(Refusal::at_end(call.progress())),
    };
    let response = match result {
        Ok(response) => response,
        Err(refusal) => refusal.respond(state, attempt.as_deref(), started),
    };
    call.note_answer();
    if state.is_stopping() {
        state.metrics.count("stop", "answered");
    }
    response
}

/// Checks a request, and forwards it to a backend server when it is admitted.
async fn check_and_forward<C, A, B>(
    state: &ProxyState<C, A>,
    open: OpenRequest<C, A, B>,
) -> Result<BufferedResponse, Refusal>
where
    C: Clock,
    A: ProtocolAdapter,
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    let OpenRequest {
        request,
        metadata,
        call,
        started,
    } = open;
    if !state.stop.takes_calls(started) && !may_be_child(state, &metadata, started) {
        return Err(Refusal::stopping());
    }
    let no_config = Duration::from_millis(NO_CONFIG_RETRY_AFTER_MS);
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let Some((table, leased)) = state.route_table() else {
        return Err(Refusal::with_retry_after(
            unavailable,
            "no-configuration",
            no_config,
        ));
    };
    if metadata.attempt.is_none() {
        return Err(Refusal::new(StatusCode::BAD_REQUEST, "no-request-id"));
    }
    if !leased {
        return Err(Refusal::with_retry_after(
            unavailable,
            "no-lease",
            no_config,
        ));
    }
    check_head_size(&table, request.headers())?;
    let path = request_path(&request).to_owned();
    let host = request_host(&request);
    let Some(route) = table.route(&host, &path) else {
        return Err(Refusal::new(StatusCode::NOT_FOUND, "no-route"));
    };
    call.set_route(&route.name);
    let team = authenticate(&table, route, metadata.key.as_deref())?;
    let parent = match team {
        Some(team) => {
            if !state.stop.takes_calls(started) {
                return Err(Refusal::stopping());
            }
            let token = take_token(state, route, team).await?;
            check_admission(state, route, team, &metadata, token)?;
            None
        }
        None => find_parent_call(state, route, &metadata, started),
    };
    let time_left = metadata
        .deadline
        .map_or(route.timeout, |deadline| deadline.min(route.timeout));
    let deadline = started + time_left;
    check_stop(state, parent.as_ref(), deadline)?;
    let _child = parent
        .as_ref()
        .map(|parent| state.server.begin_child(parent, state.clock.clone()));
    let method = request.method().as_str().to_owned();
    let forwarded_headers = headers::request_headers(&state.adapter, request.headers());
    let body = read_request_body(state, &table, request.into_body(), deadline).await?;
    check_stop(state, parent.as_ref(), deadline)?;
    let head = CallHead {
        attempt: metadata.attempt.unwrap_or_default(),
        method,
        path,
        headers: forwarded_headers,
        route: route.name.clone(),
        service: choose_service(route),
        idempotent: route.idempotent,
        repeated: parent.as_ref().is_some_and(|parent| parent.is_retry),
        rank: parent.map_or_else(|| request_rank(route, team), |parent| parent.rank),
        time_left,
        team: team.map(|team| team.name.clone()),
        caller_service: state.settings.service.clone(),
    };
    let attempt = head.attempt.clone();
    check_quarantine(state, &head, &body)?;
    let deadline = state.stop.limit_deadline(deadline);
    let progress = call.progress();
    let outcome = forward(state, head, body, progress, route.max_attempts, deadline).await;
    log_outcome(state, &attempt, route, &outcome, &table, started);
    build_response(outcome)
}

/// Refuses a request that crashes backend servers, here and not only beside each of them.
fn check_quarantine<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    head: &CallHead,
    body: &[u8],
) -> Result<(), Refusal> {
    let crashes = state.crashes();
    if !crashes.is_active() {
        return Ok(());
    }
    let Some(retry_after) = crashes.refusal(head.fingerprint(body), state.now()) else {
        return Ok(());
    };
    Err(Refusal {
        retry_after: Some(retry_after),
        ..Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "quarantined")
    })
}

/// Admits a caller's request by the leader's admission plan, or refuses it with a delay after
/// which to retry and returns its token.
fn check_admission<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    route: &RouteEntry,
    team: &TeamEntry,
    metadata: &RequestMetadata,
    token: Option<TakenToken>,
) -> Result<(), Refusal> {
    let kind = RequestKind {
        route_priority: route.priority,
        team_priority: team.priority,
        route: route.name.clone(),
    };
    let request = EntryRequest {
        kind: &kind,
        time_left: metadata.deadline.unwrap_or(route.timeout),
        target_latency: route.target_latency,
    };
    let draws = (rand::random(), rand::random());
    let decision = state.admission().decide(request, draws, state.now());
    let EntryDecision::Refuse { retry_after } = decision else {
        return Ok(());
    };
    if let Some(token) = token {
        state.quota().return_token(&team.name, token, state.now());
    }
    Err(Refusal {
        retry_after: Some(retry_after),
        team: Some(team.name.clone()),
        ..Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "turned-away")
    })
}

fn check_head_size(table: &RouteTable, headers: &HeaderMap) -> Result<(), Refusal> {
    let length = |(name, value): (&http::HeaderName, &HeaderValue)| {
        name.as_str().len() + value.len() + ": \r\n".len()
    };
    let bytes: usize = headers.iter().map(length).sum();
    if bytes > table.config().limits.head_bytes as usize {
        let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
        return Err(Refusal::new(status, "head-too-large"));
    }
    Ok(())
}

fn request_path<B>(request: &Request<B>) -> &str {
    let path = request.uri().path_and_query();
    path.map_or("/", |path| path.as_str())
}

fn request_host<B>(request: &Request<B>) -> String {
    let header = request.headers().get(header::HOST);
    let header = header.and_then(|value| value.to_str().ok());
    let host = header.or_else(|| request.uri().host());
    host.unwrap_or_default().to_owned()
}

fn authenticate<'a>(
    table: &'a RouteTable,
    route: &RouteEntry,
    key: Option<&str>,
) -> Result<Option<&'a TeamEntry>, Refusal> {
    match table.key_owner(key) {
        KeyOwner::NotNeeded => Ok(None),
        KeyOwner::Team(team) => Ok(Some(team)),
        KeyOwner::Unknown if route.allow_anonymous => Ok(None),
        KeyOwner::Unknown => Err(Refusal::new(StatusCode::UNAUTHORIZED, "unknown-key")),
    }
}

/// Chooses one of the route's services at random, by weight.
fn choose_service(route: &RouteEntry) -> ServiceName {
    let total: u64 = route
        .services
        .iter()
        .map(|weighted| weighted.weight_milli)
        .sum();
    let mut draw = rand::random::<u64>() % total.max(1);
    for weighted in &route.services {
        if draw < weighted.weight_milli {
            return weighted.service.clone();
        }
        draw -= weighted.weight_milli;
    }
    route
        .services
        .last()
        .map_or_else(|| Arc::from(""), |weighted| weighted.service.clone())
}

/// Ranks a request by its route, then by its team; calls made on its behalf inherit the rank.
fn request_rank(route: &RouteEntry, team: Option<&TeamEntry>) -> CallRank {
    let importance = match team {
        None => MAX_IMPORTANCE,
        Some(team) => {
            let steps = route.priority.saturating_mul(ROUTE_ORDER_STEP);
            MAX_IMPORTANCE
                .saturating_sub(steps.saturating_add(team.priority.min(ROUTE_ORDER_STEP - 1)))
        }
    };
    CallRank::new(importance, 0, 0)
}
