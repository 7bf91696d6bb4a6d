//! HTTP headers exchanged between nodes, backend servers and callers, and the removal of
//! headers that must not be forwarded.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;
use model::ids::CallId;
use serde::Serialize;
use serde::de::DeserializeOwned;
use uuid::Uuid;

/// Prefix of the header names that only nodes and backend servers may set.
const RESERVED_PREFIX: &str = "ragwortplank-";

/// Carries the [`model::context::CallContext`] between nodes.
pub(crate) const CONTEXT: HeaderName = HeaderName::from_static("ragwortplank-context");
/// Carries the [`model::context::CallFeedback`] between nodes.
pub(crate) const FEEDBACK: HeaderName = HeaderName::from_static("ragwortplank-feedback");
/// Carries the [`model::verdict::CallFailure`] between nodes.
pub(crate) const FAILURE: HeaderName = HeaderName::from_static("ragwortplank-failure");
/// Tells the backend server the id of the call that it runs; a sub-call carries the id of
/// its parent call.
pub(crate) const CALL_ID: HeaderName = HeaderName::from_static("ragwortplank-call");
/// Tells the caller whether the request ran.
pub(crate) const VERDICT: HeaderName = HeaderName::from_static("ragwortplank-verdict");
/// Tells the caller the request's id, for searches in the timeline.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("ragwortplank-request");
/// Set by a backend server that refused a call before running any part of it.
pub(crate) const SHED: HeaderName = HeaderName::from_static("ragwortplank-shed");
/// Set by the caller to identify a request that must run at most once.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Removes the headers that must not be forwarded: the caller's API key, hop-by-hop
/// headers and every header with the reserved prefix.
///
/// See `docs/DESIGN.md`, "Request context and keys".
pub(crate) fn strip(headers: &mut HeaderMap) {
    let hop_by_hop = connection_headers(headers);
    let stripped: Vec<HeaderName> = headers
        .keys()
        .filter(|name| must_strip(name) || hop_by_hop.contains(name))
        .cloned()
        .collect();
    for name in stripped {
        headers.remove(name);
    }
}

/// Returns the header names that `Connection` lists as hop-by-hop.
fn connection_headers(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(header::CONNECTION).iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    let names = texts.flat_map(|text| text.split(','));
    names.filter_map(|name| name.trim().parse().ok()).collect()
}

fn must_strip(name: &HeaderName) -> bool {
    if name.as_str().starts_with(RESERVED_PREFIX) {
        return true;
    }
    matches!(
        *name,
        header::AUTHORIZATION
            | header::PROXY_AUTHORIZATION
            | header::PROXY_AUTHENTICATE
            | header::CONNECTION
            | header::TE
            | header::TRAILER
            | header::TRANSFER_ENCODING
            | header::UPGRADE
            | header::CONTENT_LENGTH
            | header::HOST
            | header::EXPECT
    ) || name.as_str() == "keep-alive"
}

/// Encodes a message as a header value.
///
/// Returns none when the message cannot be encoded, which the messages of
/// [`model::context`] always can.
pub(crate) fn encode<T: Serialize>(message: &T) -> Option<HeaderValue> {
    let bytes = postcard::to_stdvec(message).ok()?;
    HeaderValue::from_str(&URL_SAFE_NO_PAD.encode(bytes)).ok()
}

/// Decodes the message in the header `name`; none when it is missing, repeated or malformed.
pub(crate) fn decode<T: DeserializeOwned>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    let value = get_single(headers, name)?;
    let bytes = URL_SAFE_NO_PAD.decode(value.as_bytes()).ok()?;
    postcard::from_bytes(&bytes).ok()
}

/// Returns the value of a header that must occur exactly once; none otherwise.
pub(crate) fn get_single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a HeaderValue> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    values.next().is_none().then_some(value)
}

/// Formats a call or request id as a header value.
pub(crate) fn id_value(call: CallId) -> HeaderValue {
    let text = format!("{call:032x}");
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("0"))
}

/// Reads the parent's call id from a sub-call; none when it is missing, repeated or malformed.
pub(crate) fn parse_call_id(headers: &HeaderMap) -> Option<CallId> {
    let text = get_single(headers, &CALL_ID)?.to_str().ok()?;
    CallId::from_str_radix(text, 16).ok()
}

/// Reads the idempotency key; none when it is missing, repeated or not a UUID.
pub(crate) fn parse_idempotency_key(headers: &HeaderMap) -> Option<Uuid> {
    let text = get_single(headers, &IDEMPOTENCY_KEY)?.to_str().ok()?;
    Uuid::parse_str(text).ok()
}
