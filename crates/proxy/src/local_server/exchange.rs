//! HTTP exchange with the local backend server for one call.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use fleet::CallHead;
use fleet::FailureReason;
use fleet::ProtocolAdapter;
use fleet::RefusalReason;
use fleet::ResponseHead;
use fleet::ResponseMetadata;
use fleet::ServerAnnouncement;
use fleet::ServerName;
use http::Request;
use http::Response;
use http::StatusCode;
use http::response::Parts;
use http_body_util::Full;
use hyper::body::Incoming;
use model::status::is_final_status;

use crate::body::BodyError;
use crate::body::read_body;
use crate::connection_pool::SendError;
use crate::connection_pool::ServerConnection;
use crate::crash_probe::probe_after_lost_connection;
use crate::headers;
use crate::local_server::LocalServer;
use crate::local_server::UNAVAILABLE_RETRY_AFTER;
use crate::local_server::stall_watch::SentCall;
use crate::retry::AttemptOutcome;
use crate::state::ProxyState;

/// Largest response body, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

impl LocalServer {
    /// Sends a call to the backend server and reads the response.
    pub(super) async fn send_call<C: Clock, A: ProtocolAdapter>(
        &self,
        proxy: &ProxyState<C, A>,
        head: &CallHead,
        body: Bytes,
        server: &ServerAnnouncement,
        (sent, left): (&SentCall, Duration),
    ) -> AttemptOutcome {
        let Some(request) = build_request(proxy, head, body, &server.server, left) else {
            return AttemptOutcome::Refused {
                cause: RefusalReason::NoServer,
                retry_after: UNAVAILABLE_RETRY_AFTER,
            };
        };
        let address = proxy.settings.server_address;
        let begin = || self.note_sent(sent, proxy.now());
        match self.pool.send(address, request, begin).await {
            Ok((response, connection)) => {
                self.note_progress(sent, proxy.now());
                self.read_response(proxy, head, response, connection, sent)
                    .await
            }
            Err(SendError::NotSent) => AttemptOutcome::Refused {
                cause: RefusalReason::ConnectFailed,
                retry_after: UNAVAILABLE_RETRY_AFTER,
            },
            Err(SendError::ResponseLost(error)) => {
                tracing::debug!(event = "server-lost", attempt = %head.attempt, %error);
                let cause = if error.is_parse() || is_invalid_data(&error) {
                    FailureReason::BadResponse
                } else {
                    FailureReason::ConnectionLost
                };
                AttemptOutcome::Failed { cause }
            }
        }
    }

    async fn read_response<C: Clock, A: ProtocolAdapter>(
        &self,
        proxy: &ProxyState<C, A>,
        head: &CallHead,
        response: Response<Incoming>,
        connection: ServerConnection,
        sent: &SentCall,
    ) -> AttemptOutcome {
        let (parts, body) = response.into_parts();
        let metadata = proxy.adapter.response_metadata(&parts.headers);
        let claim = classify(&parts, &metadata, &head.attempt, connection.is_reused());
        if claim == ResponseClaim::Foreign {
            if proxy.may_log_request() {
                let status = parts.status.as_u16();
                tracing::info!(event = "foreign-answer", request = %head.attempt, status,
                    id = metadata.attempt.as_deref().unwrap_or("-"));
            }
            return AttemptOutcome::Failed {
                cause: FailureReason::BadResponse,
            };
        }
        self.note_reported_load(metadata.load, &proxy.metrics, proxy.now());
        let buffer = proxy.answer_memory.buffer(MAX_RESPONSE_BYTES);
        let allowance = connection.allowance();
        let note_chunk = |length| {
            allowance.note_progress(length);
            self.note_progress(sent, proxy.now());
        };
        let collected = read_body(body, buffer, note_chunk).await;
        // Nothing that is sent on a connection after a stalled call may ever be answered.
        let may_reuse = !sent.is_stalled();
        if claim == ResponseClaim::Refusal {
            if may_reuse && collected.is_ok() && metadata.attempt.is_some() {
                self.pool.put_back(connection);
            }
            let cause = if parts.status == StatusCode::MISDIRECTED_REQUEST {
                RefusalReason::NoServer
            } else {
                RefusalReason::ServerRefused
            };
            return AttemptOutcome::Refused {
                cause,
                retry_after: UNAVAILABLE_RETRY_AFTER,
            };
        }
        match collected {
            Ok(body) => {
                if may_reuse {
                    self.pool.put_back(connection);
                }
                let head = ResponseHead {
                    status: parts.status.as_u16(),
                    headers: headers::response_headers(&parts.headers),
                };
                AttemptOutcome::Answered { head, body }
            }
            Err(error) => {
                if matches!(error, BodyError::Broken(_)) {
                    probe_after_lost_connection(proxy);
                }
                if proxy.may_log_request() {
                    tracing::info!(event = "answer-broken", request = %head.attempt, %error);
                }
                AttemptOutcome::Failed {
                    cause: FailureReason::BadResponse,
                }
            }
        }
    }
}

/// What a response says of the request to which it came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResponseClaim {
    /// The backend server ran the request.
    Answer,
    /// The backend server did not run the request and never will.
    Refusal,
    /// Nothing: the response belongs to another request or answers none.
    Foreign,
}

/// Tells what a response says of the request `attempt`.
///
/// A refusal without an id counts only on a new connection: on one that `is_reused` it may be that
/// of an earlier request, written once more, while the backend server runs this one.
fn classify(
    parts: &Parts,
    metadata: &ResponseMetadata,
    attempt: &str,
    is_reused: bool,
) -> ResponseClaim {
    let refuses = metadata.not_executed || parts.status == StatusCode::MISDIRECTED_REQUEST;
    let matches_attempt = match &metadata.attempt {
        Some(answered) => answered == attempt,
        None => refuses && !is_reused,
    };
    // Nodes ask for no other protocol, so a status such as 101 answers none of their requests.
    if !matches_attempt
        || !is_final_status(parts.status.as_u16())
        || parts.headers.contains_key(http::header::CONTENT_ENCODING)
    {
        ResponseClaim::Foreign
    } else if refuses {
        ResponseClaim::Refusal
    } else {
        ResponseClaim::Answer
    }
}

/// Returns whether the response was given up since it had no end.
fn is_invalid_data(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<io::Error>());
    source.is_some_and(|source| source.kind() == io::ErrorKind::InvalidData)
}

fn build_request<C: Clock, A: ProtocolAdapter>(
    proxy: &ProxyState<C, A>,
    head: &CallHead,
    body: Bytes,
    server: &ServerName,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let mut request = Request::builder()
        .method(head.method.as_str())
        .uri(head.path.as_str())
        .body(Full::new(body))
        .ok()?;
    let mut map = headers::to_header_map(&head.headers);
    proxy
        .adapter
        .set_request_headers(&mut map, head, Some(server), left);
    *request.headers_mut() = map;
    Some(request)
}
