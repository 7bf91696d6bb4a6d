//! HTTP listener on which operators submit and read the configuration.

use std::convert::Infallible;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use fleet::ApiRequest;
use fleet::ChangeOutcome;
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
use quorum::MemberRole;
use replica::ProposeError;
use replica::ReplicatedState;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::identity::instance_ip;
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
        self.propose(ConfigChange { config, document }, path).await
    }

    async fn propose(&self, change: ConfigChange, path: &str) -> HttpResponse {
        let version = change.config.version;
        let Some(replica) = self.state.replica() else {
            return self.unavailable(version, "starting");
        };
        let status = replica.status();
        if status.role != MemberRole::Leader {
            let other_leader = status.leader.filter(|leader| *leader != status.instance);
            return match other_leader {
                Some(leader) => self.redirect(version, instance_ip(leader), path),
                None => self.unavailable(version, "no leader"),
            };
        }
        if !self.state.await_strength().await {
            return self.unavailable(version, "too few members");
        }
        let base = change.config.base_version;
        let Ok(entry) = StoreEntry::Change(change).encode() else {
            return self.unavailable(version, "not encoded");
        };
        let outcome = replica.propose(entry).await;
        let detail = match &outcome {
            Ok(ChangeOutcome::Accepted) => "accepted",
            Ok(_) => "refused",
            Err(_) => "unknown",
        };
        self.state.metrics.count("config", detail);
        let group = self.describe_group();
        info!(event = "config-decided", version, base, outcome = ?outcome, group);
        match outcome {
            Ok(ChangeOutcome::Accepted) => self.acknowledge(version).await,
            Ok(ChangeOutcome::Conflict { current }) => {
                let reason = format!("version {current} is in force");
                self.respond_with_reason(StatusCode::PRECONDITION_FAILED, &reason)
            }
            Ok(ChangeOutcome::OldVersion { current }) => {
                let reason = format!("the version must be above {current}");
                self.respond_with_reason(StatusCode::BAD_REQUEST, &reason)
            }
            Ok(ChangeOutcome::Unreadable | ChangeOutcome::Stored) => {
                self.unavailable(version, "unreadable entry")
            }
            Err(ProposeError::NotLeader { .. } | ProposeError::Unknown) => {
                self.undecided(version, "no outcome")
            }
        }
    }

    /// Acknowledges a change that is committed, unless the members have changed meanwhile.
    async fn acknowledge(&self, version: u64) -> HttpResponse {
        self.state.notify_sessions();
        if self.state.await_strength().await {
            self.respond_with_reason(StatusCode::OK, "accepted")
        } else {
            self.undecided(version, "too few members to acknowledge")
        }
    }

    fn redirect(&self, version: u64, leader: IpAddr, path: &str) -> HttpResponse {
        let address = SocketAddr::new(leader, self.state.settings.operator_listener.port());
        info!(event = "config-redirected", version, leader = %address);
        let mut response =
            self.respond_with_reason(StatusCode::TEMPORARY_REDIRECT, "another instance leads");
        if let Ok(location) = HeaderValue::from_str(&format!("http://{address}{path}")) {
            response.headers_mut().insert(header::LOCATION, location);
        }
        response
    }

    fn unavailable(&self, version: u64, reason: &str) -> HttpResponse {
        let group = self.describe_group();
        info!(event = "config-not-taken", version, reason, group);
        self.respond_with_reason(StatusCode::SERVICE_UNAVAILABLE, reason)
    }

    /// Answers a change that is in force or may still come into force, so that it does not read as
    /// refused.
    fn undecided(&self, version: u64, reason: &str) -> HttpResponse {
        let group = self.describe_group();
        info!(event = "config-undecided", version, reason, group);
        self.respond_with_reason(StatusCode::GATEWAY_TIMEOUT, reason)
    }

    /// Returns voters, lost voters and quorum size for the log.
    fn describe_group(&self) -> String {
        let strength = self.state.strength();
        strength.map_or_else(|| "unknown".to_owned(), |strength| strength.to_string())
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
