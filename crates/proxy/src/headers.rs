//! Selection and conversion of the HTTP headers that a node forwards.

use bytes::Bytes;
use fleet::ProtocolAdapter;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;

/// Headers that apply to a single connection (hop-by-hop) and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];

/// Headers in the form in which nodes send them to each other.
pub(crate) type HeaderList = Vec<(String, Bytes)>;

/// Returns the request headers to forward unchanged: no hop-by-hop and no reserved ones.
pub(crate) fn request_headers<A: ProtocolAdapter>(adapter: &A, headers: &HeaderMap) -> HeaderList {
    let keep = |name: &HeaderName| !adapter.is_reserved(name.as_str());
    end_to_end_headers(headers, keep)
}

/// Returns the response headers to forward, without hop-by-hop ones.
pub(crate) fn response_headers(headers: &HeaderMap) -> HeaderList {
    end_to_end_headers(headers, |_| true)
}

/// Converts a list back to a header map. Entries that are not valid headers are left out; lists
/// made from a header map hold none.
pub(crate) fn to_header_map(list: &HeaderList) -> HeaderMap {
    let mut headers = HeaderMap::with_capacity(list.len() + 6);
    for (name, value) in list {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

fn end_to_end_headers(headers: &HeaderMap, keep: impl Fn(&HeaderName) -> bool) -> HeaderList {
    let options = connection_options(headers);
    headers
        .iter()
        .filter(|(name, _)| {
            keep(name)
                && !HOP_BY_HOP_HEADERS.contains(name)
                && !options.iter().any(|other| other == name.as_str())
        })
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}

/// Returns the names listed in `Connection` headers, which mark further hop-by-hop headers.
fn connection_options(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).into_iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
