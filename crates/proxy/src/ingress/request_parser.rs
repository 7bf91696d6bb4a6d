//! Heads of requests at the start of what a connection has received.

use bytes::Buf;
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

use crate::body_decoder::BodyFraming;

/// Header lines of a request that is read here; one with more is left to the HTTP library.
const HEADERS_MAX: usize = 48;

/// The input begins with something that only the HTTP library reads: options that are rarely used,
/// a framing that could be read in two ways, or no request at all.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct NotPlain;

/// Head of a request, and what it says of the rest.
#[derive(Debug)]
pub(super) struct RequestHead {
    pub(super) request: Request<()>,
    pub(super) framing: BodyFraming,
    /// Whether the caller closes the connection behind the answer.
    pub(super) closes: bool,
    /// Whether the caller waits to be asked for the body.
    pub(super) expects_continue: bool,
}

/// Takes the head of a request out of `input`; `None` if it has not arrived whole.
///
/// A request is plain if its framing allows one reading only: HTTP/1.1, and no body, one of a
/// single length or one in chunks.
///
/// # Errors
///
/// Fails, and leaves the input as it is, if the request is not plain.
pub(super) fn take_head(input: &mut BytesMut) -> Result<Option<RequestHead>, NotPlain> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    let head_bytes = match parsed.parse(input) {
        Ok(Status::Complete(head_bytes)) => head_bytes,
        Ok(Status::Partial) => return Ok(None),
        Err(_) => return Err(NotPlain),
    };
    let options = read_options(&parsed).ok_or(NotPlain)?;
    let framing = options.framing().ok_or(NotPlain)?;
    let (method, path) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    let request = build_request(method, path, parsed.headers).ok_or(NotPlain)?;
    input.advance(head_bytes);
    Ok(Some(RequestHead {
        request,
        framing,
        closes: options.closes,
        expects_continue: options.expects_continue,
    }))
}

/// What the header lines say of the body and of the connection.
#[derive(Clone, Copy, Debug, Default)]
struct RequestOptions {
    length: Option<u64>,
    is_chunked: bool,
    closes: bool,
    expects_continue: bool,
}

impl RequestOptions {
    /// Returns the framing of the body; `None` if it has two.
    const fn framing(&self) -> Option<BodyFraming> {
        match (self.length, self.is_chunked) {
            (Some(_), true) => None,
            (Some(length), false) => Some(BodyFraming::Length(length)),
            (None, true) => Some(BodyFraming::Chunked),
            (None, false) => Some(BodyFraming::Length(0)),
        }
    }
}

/// Returns what the header lines say; `None` if the request is not plain.
fn read_options(parsed: &httparse::Request<'_, '_>) -> Option<RequestOptions> {
    let is_plain_method = !matches!(parsed.method, Some("CONNECT") | None);
    let is_plain_path = parsed.path.is_some_and(|path| path.starts_with('/'));
    if parsed.version != Some(1) || !is_plain_method || !is_plain_path {
        return None;
    }
    let mut options = RequestOptions::default();
    for line in parsed.headers.iter() {
        let is_named = |name: HeaderName| line.name.eq_ignore_ascii_case(name.as_str());
        let says = |value: &str| line.value.eq_ignore_ascii_case(value.as_bytes());
        if is_named(header::CONTENT_LENGTH) {
            let length = decimal(line.value)?;
            options.length.replace(length).is_none().then_some(())?;
        } else if is_named(header::TRANSFER_ENCODING) {
            (says("chunked") && !options.is_chunked).then_some(())?;
            options.is_chunked = true;
        } else if is_named(header::CONNECTION) {
            options.closes |= says("close");
            (says("close") || says("keep-alive")).then_some(())?;
        } else if is_named(header::EXPECT) {
            says("100-continue").then_some(())?;
            options.expects_continue = true;
        } else if is_named(header::UPGRADE) {
            return None;
        }
    }
    Some(options)
}

/// Reads a number of digits only; `u64::from_str` would take a sign as well.
fn decimal(text: &[u8]) -> Option<u64> {
    let digits = text.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(text).ok().filter(|_| digits)?;
    text.parse().ok()
}

fn build_request(method: &str, path: &str, lines: &[Header<'_>]) -> Option<Request<()>> {
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
