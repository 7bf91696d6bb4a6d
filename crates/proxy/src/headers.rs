//! Headers on their way through: which are passed on, and in which form.

use bytes::Bytes;
use fleet::ProtocolAdapter;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;

/// Headers that concern one connection only.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];

/// A list of headers as it travels between nodes.
pub(crate) type HeaderList = Vec<(String, Bytes)>;

/// Returns the headers of a request that are passed on as they came.
pub(crate) fn passed_on<D: ProtocolAdapter>(dialect: &D, headers: &HeaderMap) -> HeaderList {
    let keep = |name: &HeaderName| !dialect.is_reserved(name.as_str());
    listed(headers, keep)
}

/// Returns the headers of an answer that are returned.
pub(crate) fn returned(headers: &HeaderMap) -> HeaderList {
    listed(headers, |_| true)
}

/// Rebuilds a header map; what is no valid header was none when it was listed.
pub(crate) fn rebuilt(list: &HeaderList) -> HeaderMap {
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

fn listed(headers: &HeaderMap, keep: impl Fn(&HeaderName) -> bool) -> HeaderList {
    let named = connection_named(headers);
    headers
        .iter()
        .filter(|(name, _)| {
            keep(name)
                && !CONNECTION_HEADERS.contains(name)
                && !named.iter().any(|other| other == name.as_str())
        })
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}

/// Returns the headers that `Connection` declares to concern this connection only.
fn connection_named(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(header::CONNECTION).into_iter();
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
