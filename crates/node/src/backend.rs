//! HTTP client of the local backend server, over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use model::ids::CallId;
use model::status::is_final_status;
use model::verdict::CallFailure;
use model::verdict::FailureCause;

use crate::call;
use crate::call::CallRequest;
use crate::call::CallResponse;
use crate::headers;

/// Timeout of connecting to the backend server, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Time after which an idle connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 2_000;

/// How a call to the backend server ended.
#[derive(Debug)]
pub(crate) enum BackendOutcome {
    /// It returned a complete response.
    Completed(CallResponse),
    /// It refused the request before running any part of it.
    Shed,
    /// It did not accept a connection; nothing was sent.
    Unreachable,
    /// The connection was lost after the request was sent, or what came back was no answer.
    Lost,
    /// The response exceeds the size limit.
    TooLarge,
}

impl BackendOutcome {
    /// Returns the response, or the failure that this outcome maps to.
    pub(crate) fn into_result(self) -> Result<CallResponse, CallFailure> {
        match self {
            Self::Completed(response) => Ok(response),
            Self::Shed => Err(CallFailure::not_run(FailureCause::Shed)),
            Self::Unreachable => Err(CallFailure::not_run(FailureCause::NoBackend)),
            Self::Lost => Err(CallFailure::may_have_run(FailureCause::ConnectionLost)),
            Self::TooLarge => Err(CallFailure::may_have_run(FailureCause::BadRequest)),
        }
    }
}

/// HTTP client of the local backend server.
#[derive(Clone, Debug)]
pub(crate) struct BackendClient {
    client: Client<HttpConnector, Full<Bytes>>,
    body_bytes_max: usize,
}

impl BackendClient {
    /// Creates a client that accepts response bodies of up to `body_bytes_max` bytes.
    pub(crate) fn new(body_bytes_max: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
            .build(connector);
        Self {
            client,
            body_bytes_max,
        }
    }

    /// Sends a request with the call id `call` and waits for the complete response.
    pub(crate) async fn run(
        &self,
        address: SocketAddr,
        call: CallId,
        request: &CallRequest,
        time_left: Duration,
    ) -> BackendOutcome {
        let Ok(mut request) = request.to_http("http", &address.to_string()) else {
            return BackendOutcome::Unreachable;
        };
        let head = request.headers_mut();
        head.insert(headers::CALL_ID, headers::id_value(call));
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return BackendOutcome::Unreachable,
            Err(_) => return BackendOutcome::Lost,
        };
        if !is_final_status(response.status().as_u16()) {
            // The connection is closed, since the body is not read.
            return BackendOutcome::Lost;
        }
        if response.headers().contains_key(headers::SHED) {
            return BackendOutcome::Shed;
        }
        let (head, body) = response.into_parts();
        match call::read_body(body, self.body_bytes_max, time_left).await {
            Ok(body) => {
                BackendOutcome::Completed(CallResponse::new(head.status, head.headers, body))
            }
            Err(call::ReadBodyError::TooLarge) => BackendOutcome::TooLarge,
            Err(_) => BackendOutcome::Lost,
        }
    }
}
