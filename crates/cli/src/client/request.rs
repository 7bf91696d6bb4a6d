//! Requests to admin listeners.

use bytes::Bytes;
use http::Method;
use serde::Serialize;

/// A request to an admin listener.
#[derive(Clone, Debug)]
pub struct AdminRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Bytes,
}

impl AdminRequest {
    /// Creates a GET request.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        }
    }

    /// Creates a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails when the value cannot be serialized.
    pub fn post(path: impl Into<String>, body: &impl Serialize) -> anyhow::Result<Self> {
        Ok(Self {
            method: Method::POST,
            path: path.into(),
            body: Bytes::from(serde_json::to_vec(body)?),
        })
    }
}
