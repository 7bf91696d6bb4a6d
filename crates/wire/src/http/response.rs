//! Responses of the admin listeners.

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body_util::Full;
use serde::Serialize;

/// Response body that is held in memory as a whole.
pub type BufferedBody = Full<Bytes>;

/// Creates a response with a value encoded as JSON.
#[must_use]
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<BufferedBody> {
    match serde_json::to_vec(value) {
        Ok(encoded) => full_response(status, "application/json", Bytes::from(encoded)),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Creates a plain-text response.
#[must_use]
pub fn text_response(status: StatusCode, text: &str) -> Response<BufferedBody> {
    let body = Bytes::copy_from_slice(text.as_bytes());
    full_response(status, "text/plain; charset=utf-8", body)
}

fn full_response(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<BufferedBody> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
