//! HTTP server for announcements of the local backend server and for readiness checks.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use fleet::ApiRequest;
use fleet::DepartedServer;
use fleet::ProtocolAdapter;
use fleet::ServerName;
use fleet::ServerPhase;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tracing::info;
use tracing::warn;

use crate::local_server::AnnouncementEffect;
use crate::state::ProxyState;

/// Largest announcement body, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 * 1024;
/// Timeout for request heads, in seconds.
const HEAD_TIMEOUT_S: u64 = 5;
/// Longest time for which a call may run while the configuration is not known.
const UNKNOWN_TIMEOUT: Duration = Duration::from_secs(30);

type BufferedResponse = Response<Full<Bytes>>;

/// Accepts connections on `listener` and serves their requests; never returns.
pub(crate) async fn serve<C: Clock, A: ProtocolAdapter>(
    state: ProxyState<C, A>,
    listener: TcpListener,
) {
    loop {
        let (stream, _) = link::accept(&listener, "announcements").await;
        let state = state.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| handle_request(&state, request));
            let result = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(HEAD_TIMEOUT_S))
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = result {
                tracing::debug!(event = "announcement-link-ended", %error);
            }
        });
    }
}

async fn handle_request<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    request: Request<Incoming>,
) -> Result<BufferedResponse, Infallible> {
    let path = request.uri().path().to_owned();
    let (status, body) = match state.adapter.parse_api_request(request.method(), &path) {
        ApiRequest::Ready if state.is_ready() => (StatusCode::OK, Vec::new()),
        ApiRequest::Ready => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        ApiRequest::Announce(server) => handle_announcement(state, server, request).await,
        ApiRequest::Leave(server) => handle_leave(state, &server).await,
        ApiRequest::PutConfig
        | ApiRequest::GetConfig
        | ApiRequest::BeginEvacuation(_)
        | ApiRequest::EndEvacuation(_) => {
            let reason = state.adapter.error_body("ask a control instance");
            (StatusCode::SERVICE_UNAVAILABLE, reason)
        }
        ApiRequest::Unknown => {
            let reason = state.adapter.error_body("no such call");
            (StatusCode::NOT_FOUND, reason)
        }
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    Ok(response)
}

async fn handle_announcement<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    server: ServerName,
    request: Request<Incoming>,
) -> (StatusCode, Vec<u8>) {
    let body = Limited::new(request.into_body(), MAX_ANNOUNCEMENT_BYTES);
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            warn!(event = "announcement-refused", server = %server, %error);
            return (StatusCode::BAD_REQUEST, Vec::new());
        }
    };
    let announcement = match state.adapter.decode_announcement(server.clone(), &body) {
        Ok(announcement) => announcement,
        Err(fault) => {
            warn!(event = "announcement-refused", server = %server, %fault);
            let reason = state.adapter.error_body(&fault.to_string());
            return (StatusCode::BAD_REQUEST, reason);
        }
    };
    let (phase, number) = (announcement.phase, announcement.sequence);
    let departed = (phase == ServerPhase::Draining).then(|| DepartedServer {
        server: server.clone(),
        started_by_ms: announcement.started_at_ms,
    });
    let now = state.now();
    let earlier_until = now + longest_timeout(state);
    let server_state = &state.server;
    match server_state.apply_announcement(announcement, earlier_until, now) {
        AnnouncementEffect::WrongService => {
            warn!(event = "announcement-refused", server = %server, reason = "other service");
            let reason = state.adapter.error_body("another service runs here");
            return (StatusCode::BAD_REQUEST, reason);
        }
        AnnouncementEffect::Changed => {
            info!(event = "server-announced", server = %server, phase = ?phase, number);
            state.publish_record();
        }
        AnnouncementEffect::Unchanged => {}
    }
    match departed {
        Some(departed) => acknowledge_departure(state, &departed).await,
        None => (StatusCode::OK, state.adapter.announcement_response()),
    }
}

/// Returns the longest time for which a call may run by the configuration.
fn longest_timeout<C: Clock, A: ProtocolAdapter>(state: &ProxyState<C, A>) -> Duration {
    let table = state.route_table();
    let routes = table.iter().flat_map(|(table, _)| &table.config().routes);
    let longest = routes.map(|route| route.timeout).max();
    longest.unwrap_or(UNKNOWN_TIMEOUT)
}

async fn handle_leave<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    server: &ServerName,
) -> (StatusCode, Vec<u8>) {
    let wall = state.clock.wall();
    let departed = state.server.begin_drain(server, state.now(), wall);
    info!(event = "server-leaves", server = %server, started_by_ms = departed.started_by_ms);
    state.publish_record();
    acknowledge_departure(state, &departed).await
}

/// Acknowledges a departure once control has recorded it, so that it binds the next run of this
/// node too.
async fn acknowledge_departure<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    departed: &DepartedServer,
) -> (StatusCode, Vec<u8>) {
    if state.server.await_recorded(departed).await {
        return (StatusCode::OK, state.adapter.announcement_response());
    }
    warn!(event = "departure-not-recorded", server = %departed.server);
    state.metrics.count("departure", "not-recorded");
    let reason = state.adapter.error_body("control has not recorded it yet");
    (StatusCode::SERVICE_UNAVAILABLE, reason)
}
