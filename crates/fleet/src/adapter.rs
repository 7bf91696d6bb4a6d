//! Interface of an adapter that translates between a platform's protocol and this crate's types.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::Method;
use model::context::ServerLoad;
use model::ids::DataCentreName;

use crate::AttemptId;
use crate::CallHead;
use crate::FleetConfig;
use crate::ServerAnnouncement;
use crate::ServerName;

/// Why a message of the platform could not be decoded.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum DecodeError {
    /// The bytes do not have the expected format.
    #[display("unreadable: {reason}")]
    Malformed {
        /// Description of the problem and its position.
        reason: String,
    },
    /// A field has a value that is not allowed.
    #[display("{field}: not allowed")]
    InvalidValue {
        /// Name of the field on the wire.
        field: String,
    },
}

/// Metadata that the headers of a request carry.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMetadata {
    /// Identifier of the attempt.
    pub attempt: Option<AttemptId>,
    /// How long the caller will wait for the response.
    pub deadline: Option<Duration>,
    /// Key of the caller's team.
    pub key: Option<String>,
}

/// Metadata that the headers of a backend server's response carry.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ResponseMetadata {
    /// Identifier of the attempt that this is the response to.
    pub attempt: Option<AttemptId>,
    /// Whether the backend server states that it did not execute the request.
    pub not_executed: bool,
    /// Backend server that answered.
    pub server: Option<ServerName>,
    /// Load that the backend server reports.
    pub load: Option<ServerLoad>,
    /// Time for which the backend server remains cold; only on answers to health checks.
    pub cold_left: Option<Duration>,
}

/// Request to the management API of a node or control instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApiRequest {
    /// Readiness check: whether the node accepts callers.
    Ready,
    /// A backend server announces itself or renews its announcement.
    Announce(ServerName),
    /// A backend server withdraws its announcement.
    Leave(ServerName),
    /// An operator submits a configuration.
    PutConfig,
    /// An operator reads the configuration.
    GetConfig,
    /// An operator orders that nothing more is sent to the backend servers of a data centre.
    BeginEvacuation(DataCentreName),
    /// An operator withdraws such an order.
    EndEvacuation(DataCentreName),
    /// The method and path match no endpoint.
    Unknown,
}

/// Header names, document formats and API endpoints of the platform that a deployment runs on.
///
/// Implementations only translate; all decisions are made by the callers of this trait.
pub trait ProtocolAdapter: Clone + Send + Sync + 'static {
    /// Extracts the metadata from the headers of a request.
    fn request_metadata(&self, headers: &HeaderMap) -> RequestMetadata;

    /// Returns whether a request header must not be forwarded unchanged.
    fn is_reserved(&self, name: &str) -> bool;

    /// Sets the headers that a backend server expects on a call.
    fn set_request_headers(
        &self,
        headers: &mut HeaderMap,
        head: &CallHead,
        server: Option<&ServerName>,
        time_left: Duration,
    );

    /// Extracts the metadata from the headers of a response.
    fn response_metadata(&self, headers: &HeaderMap) -> ResponseMetadata;

    /// Sets the headers of a response that the node generates itself.
    fn set_local_response_headers(
        &self,
        headers: &mut HeaderMap,
        attempt: Option<&str>,
        retry_after: Option<Duration>,
    );

    /// Matches a method and path to an endpoint of the management API.
    fn parse_api_request(&self, method: &Method, path: &str) -> ApiRequest;

    /// Decodes an announcement of the backend server `server`.
    ///
    /// # Errors
    ///
    /// Fails when a field is missing, has the wrong type or an unknown value.
    fn decode_announcement(
        &self,
        server: ServerName,
        body: &[u8],
    ) -> Result<ServerAnnouncement, DecodeError>;

    /// Returns the body of the response that acknowledges an announcement.
    fn announcement_response(&self) -> Vec<u8>;

    /// Decodes a configuration.
    ///
    /// # Errors
    ///
    /// Fails when any part of the document cannot be decoded.
    fn decode_config(&self, document: &[u8]) -> Result<FleetConfig, DecodeError>;

    /// Returns a response body that states the reason for a refusal.
    fn error_body(&self, reason: &str) -> Vec<u8>;
}
