//! The listener for announcements of the backend server beside this node, and for readiness.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use fleet::ApiRequest;
use fleet::ProtocolAdapter;
use fleet::ServerName;
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

use crate::own_server::AnnounceEffect;
use crate::state::ProxyState;

/// Largest announcement, in bytes.
const ANNOUNCEMENT_BYTES: usize = 64 * 1024;
/// Time within which a head must have come, in seconds.
const HEAD_TIMEOUT_S: u64 = 5;

type OwnAnswer = Response<Full<Bytes>>;

/// Serves the deployment's own calls until the listener fails.
pub(crate) async fn serve<C: Clock, D: ProtocolAdapter>(
    state: ProxyState<C, D>,
    listener: TcpListener,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(event = "accept-failed", listener = "announcements", %error);
                continue;
            }
        };
        let state = state.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| answer(&state, request));
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(HEAD_TIMEOUT_S))
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(event = "announcement-link-ended", %error);
            }
        });
    }
}

async fn answer<C: Clock, D: ProtocolAdapter>(
    state: &ProxyState<C, D>,
    request: Request<Incoming>,
) -> Result<OwnAnswer, Infallible> {
    let path = request.uri().path().to_owned();
    let (status, body) = match state.dialect.parse_api_request(request.method(), &path) {
        ApiRequest::Ready if state.is_ready() => (StatusCode::OK, Vec::new()),
        ApiRequest::Ready => (StatusCode::SERVICE_UNAVAILABLE, Vec::new()),
        ApiRequest::Announce(server) => take_announcement(state, server, request).await,
        ApiRequest::Leave(server) => take_leave(state, &server),
        ApiRequest::PutConfig | ApiRequest::GetConfig => {
            let reason = state.dialect.error_body("ask a control instance");
            (StatusCode::SERVICE_UNAVAILABLE, reason)
        }
        ApiRequest::Unknown => {
            let reason = state.dialect.error_body("no such call");
            (StatusCode::NOT_FOUND, reason)
        }
    };
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    *answer.status_mut() = status;
    Ok(answer)
}

async fn take_announcement<C: Clock, D: ProtocolAdapter>(
    state: &ProxyState<C, D>,
    server: ServerName,
    request: Request<Incoming>,
) -> (StatusCode, Vec<u8>) {
    let body = Limited::new(request.into_body(), ANNOUNCEMENT_BYTES);
    let body = match body.collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            warn!(event = "announcement-refused", server = %server, %error);
            return (StatusCode::BAD_REQUEST, Vec::new());
        }
    };
    let news = match state.dialect.decode_announcement(server.clone(), &body) {
        Ok(news) => news,
        Err(fault) => {
            warn!(event = "announcement-refused", server = %server, %fault);
            let reason = state.dialect.error_body(&fault.to_string());
            return (StatusCode::BAD_REQUEST, reason);
        }
    };
    let (phase, number) = (news.phase, news.sequence);
    match state.server.announce(news, state.now()) {
        AnnounceEffect::OtherService => {
            warn!(event = "announcement-refused", server = %server, reason = "other service");
            let reason = state.dialect.error_body("another service runs here");
            return (StatusCode::BAD_REQUEST, reason);
        }
        AnnounceEffect::Changed => {
            info!(event = "server-announced", server = %server, phase = ?phase, number);
            state.publish_own();
        }
        AnnounceEffect::Nothing => {}
    }
    (StatusCode::OK, state.dialect.announcement_response())
}

fn take_leave<C: Clock, D: ProtocolAdapter>(
    state: &ProxyState<C, D>,
    server: &ServerName,
) -> (StatusCode, Vec<u8>) {
    let known = state.server.leave(server, state.now());
    info!(event = "server-leaves", server = %server, known);
    if known {
        state.publish_own();
    }
    (StatusCode::OK, state.dialect.announcement_response())
}
