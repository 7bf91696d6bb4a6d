//! Failure responses to callers, with problem documents (RFC 9457).

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use model::ids::RequestId;
use model::verdict::CallFailure;
use model::verdict::FailureCause;
use model::verdict::RunVerdict;
use serde::Serialize;

use crate::headers;

/// Media type of a problem document.
const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");
/// Prefix of the problem types, which name sections of `docs/REFUSALS.md`.
const TYPE_PREFIX: &str = "urn:ragwortplank:";
/// Milliseconds in a second; `Retry-After` is in seconds.
const SECOND_MS: u32 = 1_000;

/// Body of a failure response.
#[derive(Serialize)]
struct ProblemDocument {
    #[serde(rename = "type")]
    kind: String,
    title: String,
    status: u16,
    verdict: String,
    request: String,
}

/// Builds the response that reports a failure to a caller.
pub(crate) fn failure_response(failure: &CallFailure, request: RequestId) -> Response<Full<Bytes>> {
    let status = status_of(failure);
    let document = ProblemDocument {
        kind: format!("{TYPE_PREFIX}{}", failure.cause),
        title: title_of(failure.cause).to_owned(),
        status: status.as_u16(),
        verdict: failure.verdict.to_string(),
        request: format!("{request:032x}"),
    };
    let body = serde_json::to_vec(&document).unwrap_or_default();
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let head = response.headers_mut();
    head.insert(header::CONTENT_TYPE, PROBLEM_JSON);
    if let Some(delay_ms) = failure.retry_after_ms {
        let seconds = delay_ms.div_ceil(SECOND_MS).max(1);
        head.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    add_result_headers(&mut response, failure.verdict, request);
    response
}

/// Adds the headers with the verdict and the request's id to a response to a caller.
pub(crate) fn add_result_headers(
    response: &mut Response<Full<Bytes>>,
    verdict: RunVerdict,
    request: RequestId,
) {
    let head = response.headers_mut();
    head.insert(headers::VERDICT, verdict_value(verdict));
    head.insert(headers::REQUEST_ID, headers::id_value(request));
}

fn verdict_value(verdict: RunVerdict) -> HeaderValue {
    match verdict {
        RunVerdict::NotRun => HeaderValue::from_static("not-run"),
        RunVerdict::Ran => HeaderValue::from_static("ran"),
        RunVerdict::MayHaveRun => HeaderValue::from_static("may-have-run"),
    }
}

fn status_of(failure: &CallFailure) -> StatusCode {
    match failure.cause {
        FailureCause::BadCredentials | FailureCause::UnknownKey => StatusCode::UNAUTHORIZED,
        FailureCause::UnknownRoute => StatusCode::NOT_FOUND,
        FailureCause::BadRequest
        | FailureCause::BadIdempotencyKey
        | FailureCause::TooDeep
        | FailureCause::UnknownParent => StatusCode::BAD_REQUEST,
        FailureCause::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        FailureCause::Duplicate => StatusCode::CONFLICT,
        FailureCause::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
        FailureCause::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        FailureCause::ConnectionLost => StatusCode::BAD_GATEWAY,
        FailureCause::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        FailureCause::Overloaded
        | FailureCause::AllowanceSpent
        | FailureCause::Quarantined
        | FailureCause::NoBackend
        | FailureCause::NoLease
        | FailureCause::Draining
        | FailureCause::NoQuorum
        | FailureCause::Cancelled
        | FailureCause::Shed => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn title_of(cause: FailureCause) -> &'static str {
    match cause {
        FailureCause::BadCredentials => "Exactly one bearer key is needed",
        FailureCause::UnknownKey => "The key is not known",
        FailureCause::UnknownRoute => "No route matches",
        FailureCause::BadRequest => "The request is malformed or exceeds a limit",
        FailureCause::RateExceeded => "The team's rate is used up",
        FailureCause::Overloaded => "The service is overloaded",
        FailureCause::DeadlineExceeded => "The deadline passed or cannot be met",
        FailureCause::AllowanceSpent => "No further attempts are allowed",
        FailureCause::TooDeep => "The call chain is too deep",
        FailureCause::Quarantined => "The request crashed backend servers",
        FailureCause::NoBackend => "No backend server takes new work",
        FailureCause::NoLease => "The node is cut off from control",
        FailureCause::Draining => "The instance takes no new work",
        FailureCause::UnknownParent => "The parent call is not in flight",
        FailureCause::BadIdempotencyKey => "A recent UUID version 7 is needed as Idempotency-Key",
        FailureCause::KeyReused => "The idempotency key was used with another body",
        FailureCause::Duplicate => "An earlier attempt with this idempotency key exists",
        FailureCause::NoQuorum => "No quorum of control instances answered",
        FailureCause::ConnectionLost => "The connection was lost",
        FailureCause::Cancelled => "The request was cancelled",
        FailureCause::Shed => "The backend server refused the request",
        FailureCause::Internal => "Internal error",
    }
}
