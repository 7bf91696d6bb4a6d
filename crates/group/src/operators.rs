//! The listener for operators, who send and read the configuration.

use std::convert::Infallible;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use fleet::ChangeOutcome;
use fleet::ConfigChange;
use fleet::ControlCall;
use fleet::StoreEntry;
use fleet::WireDialect;
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
use tracing::info;

use crate::identity::instance_ip;
use crate::state::GroupState;

/// Largest configuration, in bytes.
const DOCUMENT_BYTES: usize = 8 * 1024 * 1024;
/// Time within which an operator must have sent its head, in milliseconds.
const HEAD_TIMEOUT_MS: u64 = 5_000;

type OwnAnswer = Response<Full<Bytes>>;

/// Serves operators until the listener fails.
pub(crate) async fn serve<C: Clock, D: WireDialect>(
    state: GroupState<C>,
    dialect: D,
    listener: TcpListener,
) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "accept-failed", listener = "operators", %error);
                continue;
            }
        };
        let (state, dialect) = (state.clone(), dialect.clone());
        tokio::spawn(async move {
            let desk = OperatorDesk { state, dialect };
            let service = service_fn(|request| desk.answer(request));
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_millis(HEAD_TIMEOUT_MS))
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(event = "operator-link-ended", %error);
            }
        });
    }
}

/// Answers the calls of one connection.
struct OperatorDesk<C, D> {
    state: GroupState<C>,
    dialect: D,
}

impl<C: Clock, D: WireDialect> OperatorDesk<C, D> {
    async fn answer(&self, request: Request<Incoming>) -> Result<OwnAnswer, Infallible> {
        let path = request.uri().path().to_owned();
        let answer = match self.dialect.control_call(request.method(), &path) {
            ControlCall::GetConfig => self.read_config().await,
            ControlCall::PutConfig => self.take_config(request, &path).await,
            ControlCall::Ready => self.explain(StatusCode::OK, "running"),
            ControlCall::Announce(_) | ControlCall::Leave(_) => {
                self.explain(StatusCode::SERVICE_UNAVAILABLE, "announce at a node")
            }
            ControlCall::Unknown => self.explain(StatusCode::NOT_FOUND, "no such call"),
        };
        Ok(answer)
    }

    async fn read_config(&self) -> OwnAnswer {
        if !self.state.is_confirmed().await {
            info!(event = "config-read", outcome = "not-confirmed");
            return self.explain(
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
            None => self.explain(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet"),
        }
    }

    async fn take_config(&self, request: Request<Incoming>, path: &str) -> OwnAnswer {
        let body = Limited::new(request.into_body(), DOCUMENT_BYTES).collect();
        let document = match body.await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                info!(event = "config-refused", reason = "body", %error);
                return self.explain(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
        };
        let config = match self.dialect.config(&document) {
            Ok(config) => config,
            Err(fault) => {
                info!(event = "config-refused", reason = "unreadable", %fault);
                return self.explain(StatusCode::BAD_REQUEST, &fault.to_string());
            }
        };
        if let Err(fault) = fleet::check(&config) {
            info!(event = "config-refused", reason = "invalid", version = config.version, %fault);
            return self.explain(StatusCode::BAD_REQUEST, &fault.to_string());
        }
        self.propose(ConfigChange { config, document }, path).await
    }

    async fn propose(&self, change: ConfigChange, path: &str) -> OwnAnswer {
        let version = change.config.version;
        let Some(replica) = self.state.replica() else {
            return self.unavailable(version, "starting");
        };
        let status = replica.status();
        if status.role != MemberRole::Leader {
            let other = status.leader.filter(|leader| *leader != status.instance);
            return match other {
                Some(leader) => self.redirect(version, instance_ip(leader), path),
                None => self.unavailable(version, "no leader"),
            };
        }
        if !self.state.is_large_enough() {
            return self.unavailable(version, "too few members");
        }
        let base = change.config.base;
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
        info!(event = "config-decided", version, base, outcome = ?outcome);
        match outcome {
            Ok(ChangeOutcome::Accepted) => {
                self.state.announce();
                self.explain(StatusCode::OK, "accepted")
            }
            Ok(ChangeOutcome::Conflict { current }) => {
                let reason = format!("version {current} is in force");
                self.explain(StatusCode::PRECONDITION_FAILED, &reason)
            }
            Ok(ChangeOutcome::OldVersion { current }) => {
                let reason = format!("the version must be above {current}");
                self.explain(StatusCode::BAD_REQUEST, &reason)
            }
            Ok(ChangeOutcome::Unreadable | ChangeOutcome::Listed) => {
                self.unavailable(version, "unreadable entry")
            }
            Err(ProposeError::NotLeader { .. } | ProposeError::Unknown) => {
                self.unavailable(version, "no outcome")
            }
        }
    }

    fn redirect(&self, version: u64, leader: IpAddr, path: &str) -> OwnAnswer {
        let address = SocketAddr::new(leader, self.state.settings.operators.port());
        info!(event = "config-redirected", version, leader = %address);
        let mut answer = self.explain(StatusCode::TEMPORARY_REDIRECT, "another instance leads");
        if let Ok(location) = HeaderValue::from_str(&format!("http://{address}{path}")) {
            answer.headers_mut().insert(header::LOCATION, location);
        }
        answer
    }

    fn unavailable(&self, version: u64, reason: &str) -> OwnAnswer {
        info!(event = "config-not-taken", version, reason);
        self.explain(StatusCode::SERVICE_UNAVAILABLE, reason)
    }

    fn explain(&self, status: StatusCode, reason: &str) -> OwnAnswer {
        Self::respond(status, self.dialect.explanation(reason).into())
    }

    fn respond(status: StatusCode, body: Bytes) -> OwnAnswer {
        let mut answer = Response::new(Full::new(body));
        *answer.status_mut() = status;
        let json = HeaderValue::from_static("application/json");
        answer.headers_mut().insert(header::CONTENT_TYPE, json);
        answer
    }
}
