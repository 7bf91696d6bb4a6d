//! A single attempt to send a call to another node.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Clock;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use model::context::CallContext;
use model::context::CallFeedback;
use model::verdict::CallFailure;
use model::verdict::FailureCause;

use crate::call;
use crate::call::CallRequest;
use crate::call::CallResponse;
use crate::headers;
use crate::peers::PeerError;
use crate::state::NodeState;

/// Bytes by which a response's body may exceed the body limit, for problem documents.
const EXTRA_BODY_BYTES: usize = 4_096;

/// How an attempt ended.
#[derive(Debug)]
pub(crate) struct AttemptReport {
    /// The response or the failure.
    pub result: Result<CallResponse, CallFailure>,
    /// What the other node reported; none when its response was lost.
    pub feedback: Option<CallFeedback>,
}

impl AttemptReport {
    fn without_feedback(failure: CallFailure) -> Self {
        Self {
            result: Err(failure),
            feedback: None,
        }
    }
}

/// Sends a call to another node and waits for the response, at most `context.time_left`.
pub(crate) async fn attempt<C: Clock>(
    state: &NodeState<C>,
    address: SocketAddr,
    context: &CallContext,
    request: &CallRequest,
) -> AttemptReport {
    let Some(message) = build_message(address, context, request) else {
        return AttemptReport::without_feedback(CallFailure::not_run(FailureCause::Internal));
    };
    let sending = send(state, address, message, context.time_left);
    match tokio::time::timeout(context.time_left, sending).await {
        Ok(report) => report,
        Err(_) => AttemptReport::without_feedback(CallFailure::may_have_run(
            FailureCause::DeadlineExceeded,
        )),
    }
}

fn build_message(
    address: SocketAddr,
    context: &CallContext,
    request: &CallRequest,
) -> Option<Request<Full<bytes::Bytes>>> {
    let authority = address.to_string();
    let mut message = request.to_http("https", &authority).ok()?;
    let value = headers::encode(context)?;
    message.headers_mut().insert(headers::CONTEXT, value);
    Some(message)
}

async fn send<C: Clock>(
    state: &NodeState<C>,
    address: SocketAddr,
    message: Request<Full<bytes::Bytes>>,
    time_left: Duration,
) -> AttemptReport {
    match state.peers.send(address, message).await {
        Ok(response) => read_response(state, response, time_left).await,
        Err(PeerError::NotSent) => {
            AttemptReport::without_feedback(CallFailure::not_run(FailureCause::NoBackend))
        }
        Err(PeerError::Lost) => {
            AttemptReport::without_feedback(CallFailure::may_have_run(FailureCause::ConnectionLost))
        }
    }
}

async fn read_response<C: Clock>(
    state: &NodeState<C>,
    response: Response<Incoming>,
    time_left: Duration,
) -> AttemptReport {
    let (head, body) = response.into_parts();
    let feedback: Option<CallFeedback> = headers::decode(&head.headers, &headers::FEEDBACK);
    if let Some(feedback) = &feedback {
        state.events.clock().observe(feedback.stamp);
    }
    if let Some(failure) = headers::decode(&head.headers, &headers::FAILURE) {
        return AttemptReport {
            result: Err(failure),
            feedback,
        };
    }
    let bytes_max = state.settings.limits.body_bytes + EXTRA_BODY_BYTES;
    let result = match call::read_body(body, bytes_max, time_left).await {
        Ok(body) => Ok(CallResponse::new(head.status, head.headers, body)),
        Err(_) => Err(CallFailure::may_have_run(FailureCause::ConnectionLost)),
    };
    AttemptReport { result, feedback }
}
