//! One call to the backend server: what is sent, and what of its answer counts.

use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use fleet::CallHead;
use fleet::FailureReason;
use fleet::ProtocolAdapter;
use fleet::RefusalReason;
use fleet::ResponseHead;
use fleet::ServerAnnouncement;
use fleet::ServerName;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;

use crate::fate::CallEnd;
use crate::headers;
use crate::own_server::ABSENT_RETRY;
use crate::own_server::OwnServer;
use crate::pool::SendFault;
use crate::pool::ServerLink;
use crate::state::ProxyState;

/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 64 * 1024 * 1024;

impl OwnServer {
    /// Sends the call and reads its answer.
    pub(super) async fn exchange<C: Clock, D: ProtocolAdapter>(
        &self,
        proxy: &ProxyState<C, D>,
        head: &CallHead,
        body: Bytes,
        server: &ServerAnnouncement,
        left: Duration,
    ) -> CallEnd {
        let Some(request) = request(proxy, head, body, &server.server, left) else {
            return CallEnd::Refused {
                cause: RefusalReason::NoServer,
                retry_after: ABSENT_RETRY,
            };
        };
        let address = proxy.settings.server_address;
        match self.pool.send(address, request).await {
            Ok((response, link)) => self.read(proxy, head, response, link).await,
            Err(SendFault::NotSent) => CallEnd::Refused {
                cause: RefusalReason::ConnectFailed,
                retry_after: ABSENT_RETRY,
            },
            Err(SendFault::Lost(error)) => {
                tracing::debug!(event = "server-lost", attempt = %head.attempt, %error);
                let cause = if error.is_parse() {
                    FailureReason::BadResponse
                } else {
                    FailureReason::ConnectionLost
                };
                CallEnd::Failed { cause }
            }
        }
    }

    async fn read<C: Clock, D: ProtocolAdapter>(
        &self,
        proxy: &ProxyState<C, D>,
        head: &CallHead,
        response: Response<Incoming>,
        link: ServerLink,
    ) -> CallEnd {
        let (parts, body) = response.into_parts();
        let marks = proxy.dialect.response_metadata(&parts.headers);
        let refused = marks.not_executed || parts.status == StatusCode::MISDIRECTED_REQUEST;
        let belongs = match &marks.attempt {
            Some(attempt) => *attempt == head.attempt,
            None => refused,
        };
        if !belongs || parts.headers.contains_key(http::header::CONTENT_ENCODING) {
            tracing::debug!(event = "foreign-answer", attempt = %head.attempt);
            return CallEnd::Failed {
                cause: FailureReason::BadResponse,
            };
        }
        let collected = Limited::new(body, ANSWER_BYTES).collect().await;
        if refused {
            if collected.is_ok() {
                self.pool.put_back(link);
            }
            let cause = if parts.status == StatusCode::MISDIRECTED_REQUEST {
                RefusalReason::NoServer
            } else {
                RefusalReason::ServerRefused
            };
            return CallEnd::Refused {
                cause,
                retry_after: ABSENT_RETRY,
            };
        }
        match collected {
            Ok(body) => {
                self.pool.put_back(link);
                let head = ResponseHead {
                    status: parts.status.as_u16(),
                    headers: headers::returned(&parts.headers),
                };
                CallEnd::Answered {
                    head,
                    body: body.to_bytes(),
                }
            }
            Err(error) => {
                tracing::debug!(event = "answer-broken", attempt = %head.attempt, %error);
                CallEnd::Failed {
                    cause: FailureReason::BadResponse,
                }
            }
        }
    }
}

fn request<C: Clock, D: ProtocolAdapter>(
    proxy: &ProxyState<C, D>,
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
    let mut map = headers::rebuilt(&head.headers);
    proxy
        .dialect
        .set_request_headers(&mut map, head, Some(server), left);
    *request.headers_mut() = map;
    Some(request)
}
