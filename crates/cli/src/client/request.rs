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
    /// Asks for a resource.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            body: Bytes::new(),
        }
    }

    /// Sends a value as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the value has no JSON form.
    pub fn post(path: impl Into<String>, body: &impl Serialize) -> anyhow::Result<Self> {
        Ok(Self {
            method: Method::POST,
            path: path.into(),
            body: Bytes::from(serde_json::to_vec(body)?),
        })
    }
}
