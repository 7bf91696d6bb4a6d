//! HTTP listener on which operators submit and read the configuration, and evacuate data centres.

mod evacuation;
mod order;
mod subject;

use std::convert::Infallible;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use fleet::ApiRequest;
use fleet::ConfigChange;
use fleet::DOCUMENT_BYTES_MAX;
use fleet::ProtocolAdapter;
use fleet::StoreEntry;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::operators::subject::OrderSubject;
use crate::state::GroupState;

/// Time within which an operator must have sent the request head, in milliseconds.
const HEAD_TIMEOUT_MS: u64 = 5_000;
/// Time that a stopping instance has to answer the requests that it has read, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 1_000;

type HttpResponse = Response<Full<Bytes>>;

/// Accepts and serves connections of operators; once the instance is asked to stop, answers the
/// requests that it has read, and returns.
pub(crate) async fn serve<C: Clock, A: ProtocolAdapter>(
    state: GroupState<C>,
    adapter: A,
    listener: TcpListener,
) {
    let connections = TaskTracker::new();
    loop {
        let (stream, _) = tokio::select! {
            () = state.stop.cancelled() => break,
            accepted = link::accept(&listener, "operators") => accepted,
        };
        let handler = OperatorHandler {
            state: state.clone(),
            adapter: adapter.clone(),
        };
        connections.spawn(serve_connection(handler, stream));
    }
    drop(listener);
    connections.close();
    let answer_time = Duration::from_millis(ANSWER_TIMEOUT_MS);
    if timeout(answer_time, connections.wait()).await.is_err() {
        let open = connections.len();
        tracing::warn!(event = "operators-not-answered", connections = open);
    }
}

async fn serve_connection<C: Clock, A: ProtocolAdapter>(
    handler: OperatorHandler<C, A>,
    stream: TcpStream,
) {
    let stop = handler.state.stop.clone();
    if !has_input(&stream, &stop).await {
        return;
    }
    let service = service_fn(|request| handler.handle(request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(HEAD_TIMEOUT_MS))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = stop.cancelled() => {
            // An idle connection closes at once, any other after the answer to its request.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        tracing::debug!(event = "operator-link-ended", %error);
    }
}

/// Returns whether something arrives on a new connection before the time is up or the instance
/// stops.
///
/// The HTTP server would keep a connection that was never used until its first request.
async fn has_input(stream: &TcpStream, stop: &CancellationToken) -> bool {
    let head_timeout = Duration::from_millis(HEAD_TIMEOUT_MS);
    tokio::select! {
        ready = timeout(head_timeout, stream.readable()) => matches!(ready, Ok(Ok(()))),
        () = stop.cancelled() => false,
    }
}

/// Handles the requests of one connection.
struct OperatorHandler<C, A> {
    state: GroupState<C>,
    adapter: A,
}

impl<C: Clock, A: ProtocolAdapter> OperatorHandler<C, A> {
    async fn handle(&self, request: Request<Incoming>) -> Result<HttpResponse, Infallible> {
        let path = request.uri().path().to_owned();
        let response = match self.adapter.parse_api_request(request.method(), &path) {
            ApiRequest::GetConfig => self.get_config().await,
            ApiRequest::PutConfig => self.put_config(request, &path).await,
            ApiRequest::BeginEvacuation(data_centre) => {
                self.order_evacuation(data_centre, true, &path).await
            }
            ApiRequest::EndEvacuation(data_centre) => {
                self.order_evacuation(data_centre, false, &path).await
            }
            ApiRequest::Ready => self.respond_with_reason(StatusCode::OK, "running"),
            ApiRequest::Announce(_) | ApiRequest::Leave(_) => {
                self.respond_with_reason(StatusCode::SERVICE_UNAVAILABLE, "announce at a node")
            }
            ApiRequest::Unknown => self.respond_with_reason(StatusCode::NOT_FOUND, "no such call"),
        };
        Ok(response)
    }

    async fn get_config(&self) -> HttpResponse {
        if !self.state.confirm_leader().await {
            info!(event = "config-read", outcome = "not-confirmed");
            return self.respond_with_reason(
                StatusCode::SERVICE_UNAVAILABLE,
                "no quorum confirmed the leader",
            );
        }
        match self.state.current() {
            Some(change) => {
                let version = change.config.version;
                info!(event = "config-read", outcome = "answered", version);
                Self::respond(StatusCode::OK, change.document)
            }
            None => {
                self.respond_with_reason(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet")
            }
        }
    }

    async fn put_config(&self, request: Request<Incoming>, path: &str) -> HttpResponse {
        let body = Limited::new(request.into_body(), DOCUMENT_BYTES_MAX).collect();
        let document = match body.await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                info!(event = "config-refused", reason = "body", %error);
                return self
                    .respond_with_reason(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
        };
        let config = match self.adapter.decode_config(&document) {
            Ok(config) => config,
            Err(fault) => {
                info!(event = "config-refused", reason = "unreadable", %fault);
                return self.respond_with_reason(StatusCode::BAD_REQUEST, &fault.to_string());
            }
        };
        if let Err(fault) = fleet::validate(&config) {
            info!(event = "config-refused", reason = "invalid", version = config.version, %fault);
            return self.respond_with_reason(StatusCode::BAD_REQUEST, &fault.to_string());
        }
        let order = OrderSubject::Config {
            version: config.version,
            base: config.base_version,
        };
        let change = ConfigChange { config, document };
        self.propose(order, StoreEntry::Change(change), path).await
    }

    fn respond_with_reason(&self, status: StatusCode, reason: &str) -> HttpResponse {
        Self::respond(status, self.adapter.error_body(reason).into())
    }

    fn respond(status: StatusCode, body: Bytes) -> HttpResponse {
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(header::CONTENT_TYPE, json);
        response
    }
}
