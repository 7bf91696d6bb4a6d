//! Reading of a request's body, whole and within bounds.

use std::fmt::Display;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use clock::Clock;
use fleet::ProtocolAdapter;
use fleet::RouteTable;
use http::StatusCode;
use hyper::body::Body;
use tokio::time::timeout;

use crate::body::BodyError;
use crate::body::read_body;
use crate::ingress::refusal::Refusal;
use crate::memory_budget::BodyTooLarge;
use crate::state::ProxyState;

/// Largest request body, in bytes; a configuration can only lower it.
const MAX_BODY_BYTES: u32 = 64 * 1024 * 1024;
/// Retry-after delay while there is no memory for a body, in milliseconds.
const NO_MEMORY_RETRY_AFTER_MS: u64 = 500;

/// Reads the body of a request within the memory for bodies and until `deadline`.
pub(super) async fn read_request_body<C, A, B>(
    state: &ProxyState<C, A>,
    table: &RouteTable,
    body: B,
    deadline: Instant,
) -> Result<Bytes, Refusal>
where
    C: Clock,
    A: ProtocolAdapter,
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    let limit = table.config().limits.body_bytes.min(MAX_BODY_BYTES);
    let buffer = state.request_memory.buffer(limit as usize);
    let time_left = deadline.saturating_duration_since(state.now());
    match timeout(time_left, read_body(body, buffer, |_| ())).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge(BodyTooLarge::OverLimit))) => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(Refusal::new(status, "body-too-large"))
        }
        Ok(Err(BodyError::TooLarge(BodyTooLarge::NoMemory))) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let delay = Duration::from_millis(NO_MEMORY_RETRY_AFTER_MS);
            Err(Refusal::with_retry_after(status, "no-memory", delay))
        }
        Ok(Err(BodyError::Broken(error))) => {
            tracing::debug!(event = "body-broken", %error);
            Err(Refusal::new(StatusCode::BAD_REQUEST, "body-broken"))
        }
        Err(_) => Err(Refusal::new(StatusCode::REQUEST_TIMEOUT, "body-late")),
    }
}
