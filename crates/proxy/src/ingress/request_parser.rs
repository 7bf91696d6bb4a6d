//! Whole requests at the start of what a connection has received.

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::header;
use httparse::Header;
use httparse::Status;

/// Header lines of a request that is read here; one with more is left to the HTTP library.
const HEADERS_MAX: usize = 48;

/// The input begins with something that only the HTTP library reads: a body that has not arrived
/// whole or that comes in chunks, options of the connection, or no request at all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct NotPlain;

/// Takes a request with its body out of `input`; `None` if its head has not arrived whole.
///
/// A request is plain if its framing allows one reading only: HTTP/1.1, and no body or one of a
/// single length.
///
/// # Errors
///
/// Fails, and leaves the input as it is, if the request is not plain.
pub(super) fn take_request(input: &mut BytesMut) -> Result<Option<Request<Bytes>>, NotPlain> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    let head_bytes = match parsed.parse(input) {
        Ok(Status::Complete(head_bytes)) => head_bytes,
        Ok(Status::Partial) => return Ok(None),
        Err(_) => return Err(NotPlain),
    };
    let body_bytes = match body_length(&parsed) {
        Some(body_bytes) if body_bytes <= input.len() - head_bytes => body_bytes,
        _ => return Err(NotPlain),
    };
    let (method, path) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    let head = build_head(method, path, parsed.headers).ok_or(NotPlain)?;
    let mut request = input.split_to(head_bytes + body_bytes).freeze();
    Ok(Some(head.map(|()| request.split_off(head_bytes))))
}

/// Returns the length of the body in bytes; `None` if the request is not plain.
fn body_length(parsed: &httparse::Request<'_, '_>) -> Option<usize> {
    let is_plain_method = !matches!(parsed.method, Some("HEAD" | "CONNECT") | None);
    let is_plain_path = parsed.path.is_some_and(|path| path.starts_with('/'));
    if parsed.version != Some(1) || !is_plain_method || !is_plain_path {
        return None;
    }
    let mut length = None;
    for line in parsed.headers.iter() {
        let is_named = |name: HeaderName| line.name.eq_ignore_ascii_case(name.as_str());
        if is_named(header::CONTENT_LENGTH) {
            if length.is_some() {
                return None;
            }
            length = Some(decimal(line.value)?);
        } else if is_named(header::CONNECTION) {
            if !line.value.eq_ignore_ascii_case(b"keep-alive") {
                return None;
            }
        } else if is_named(header::TRANSFER_ENCODING)
            || is_named(header::EXPECT)
            || is_named(header::UPGRADE)
        {
            return None;
        }
    }
    Some(length.unwrap_or(0))
}

/// Reads a number of digits only; `usize::from_str` would take a sign as well.
fn decimal(text: &[u8]) -> Option<usize> {
    let digits = text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| digits)?;
    text.parse().ok()
}

fn build_head(method: &str, path: &str, lines: &[Header<'_>]) -> Option<Request<()>> {
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(method.as_bytes()).ok()?;
    *request.uri_mut() = Uri::try_from(path).ok()?;
    let mut headers = HeaderMap::with_capacity(lines.len());
    for line in lines {
        let name = HeaderName::from_bytes(line.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(line.value).ok()?);
    }
    *request.headers_mut() = headers;
    Some(request)
}
