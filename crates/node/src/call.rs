//! Buffered requests and responses, as a node forwards them.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use model::ids::Fingerprint;
use model::verdict::CallFailure;
use model::verdict::FailureCause;

use crate::headers;

/// A buffered request, without the headers that must not be forwarded.
#[derive(Clone, Debug)]
pub(crate) struct CallRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, without scheme and authority.
    pub target: String,
    /// Headers, filtered by [`headers::strip`].
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// A backend server's buffered response, without the headers that must not be forwarded.
#[derive(Clone, Debug)]
pub(crate) struct CallResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Headers, filtered by [`headers::strip`].
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Why a body could not be read completely.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadBodyError {
    /// It exceeds the size limit.
    TooLarge,
    /// It did not arrive before the timeout.
    TimedOut,
    /// The connection was lost while reading it.
    ConnectionLost,
}

impl ReadBodyError {
    /// Returns the failure of a request whose body could not be read.
    pub(crate) const fn failure(self) -> CallFailure {
        match self {
            Self::TooLarge | Self::TimedOut => CallFailure::not_run(FailureCause::BadRequest),
            Self::ConnectionLost => CallFailure::not_run(FailureCause::Cancelled),
        }
    }
}

/// Reads a complete body within a size limit and a timeout; trailers are dropped.
pub(crate) async fn read_body<B>(
    body: B,
    bytes_max: usize,
    timeout: Duration,
) -> Result<Bytes, ReadBodyError>
where
    B: Body,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let reading = Limited::new(body, bytes_max).collect();
    match tokio::time::timeout(timeout, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ReadBodyError::TooLarge),
        Ok(Err(_)) => Err(ReadBodyError::ConnectionLost),
        Err(_) => Err(ReadBodyError::TimedOut),
    }
}

impl CallRequest {
    /// Builds a request from its head and body; headers that must not be forwarded are removed.
    pub(crate) fn new(method: Method, uri: &Uri, mut head: HeaderMap, body: Bytes) -> Self {
        headers::strip(&mut head);
        let target = uri.path_and_query().map_or("/", |target| target.as_str());
        Self {
            method,
            target: target.to_owned(),
            headers: head,
            body,
        }
    }

    /// Returns the digest of method, target and body, equal for every resend.
    pub(crate) fn digest(&self) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        for part in [self.method.as_str().as_bytes(), self.target.as_bytes()] {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        hasher.update(&self.body);
        *hasher.finalize().as_bytes()
    }

    /// Returns [`Self::digest`] truncated to a fingerprint.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        let digest = self.digest();
        let mut truncated = [0; size_of::<Fingerprint>()];
        truncated.copy_from_slice(&digest[..size_of::<Fingerprint>()]);
        Fingerprint::from_le_bytes(truncated)
    }

    /// Builds the HTTP request to send to `authority`.
    pub(crate) fn to_http(
        &self,
        scheme: &str,
        authority: &str,
    ) -> http::Result<Request<Full<Bytes>>> {
        let uri = Uri::builder()
            .scheme(scheme)
            .authority(authority)
            .path_and_query(self.target.as_str())
            .build()?;
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = self.headers.clone();
        Ok(request)
    }
}

impl CallResponse {
    /// Builds a response from its head and body; headers that must not be forwarded are removed.
    pub(crate) fn new(status: StatusCode, mut head: HeaderMap, body: Bytes) -> Self {
        headers::strip(&mut head);
        Self {
            status,
            headers: head,
            body,
        }
    }

    /// Builds the HTTP response.
    pub(crate) fn into_http(self) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
