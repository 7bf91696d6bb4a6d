//! What an adapter must translate between the wire and the project's own types.

use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use http::HeaderMap;
use http::Method;
use model::context::ServerLoad;

use crate::AttemptId;
use crate::CallHead;
use crate::FleetConfig;
use crate::ServerAnnouncement;
use crate::ServerName;

/// What could not be read from the wire.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum WireFault {
    /// The bytes have another form than expected.
    #[display("unreadable: {reason}")]
    Unreadable {
        /// What is wrong, and where.
        reason: String,
    },
    /// A field has a value that is not allowed.
    #[display("{field}: not allowed")]
    Disallowed {
        /// The field, by its name on the wire.
        field: String,
    },
}

/// What a request says besides method, host, path and body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RequestMarks {
    /// Identifier of the attempt, if it carries one.
    pub attempt: Option<AttemptId>,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// Key of the caller's team.
    pub key: Option<String>,
}

/// What an answer of a backend server says besides status and body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerMarks {
    /// Attempt that the answer belongs to.
    pub attempt: Option<AttemptId>,
    /// Whether the backend server states that it did not run the request.
    pub not_run: bool,
    /// Backend server that answered.
    pub server: Option<ServerName>,
    /// Load that it reports.
    pub load: Option<ServerLoad>,
}

/// A call of the deployment's own interfaces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ControlCall {
    /// Asks whether the node takes callers.
    Ready,
    /// A backend server announces itself.
    Announce(ServerName),
    /// A backend server has left.
    Leave(ServerName),
    /// An operator sends a configuration.
    PutConfig,
    /// An operator reads the configuration.
    GetConfig,
    /// None of these.
    Unknown,
}

/// Names, formats and calls of the platform that a deployment runs on; it decides nothing.
pub trait WireDialect: Clone + Send + Sync + 'static {
    /// Reads what a request's headers say.
    fn request_marks(&self, headers: &HeaderMap) -> RequestMarks;

    /// Returns whether a request header must not be passed on as it came.
    fn is_reserved(&self, name: &str) -> bool;

    /// Sets the headers that a backend server expects on a call.
    fn mark_call(
        &self,
        headers: &mut HeaderMap,
        head: &CallHead,
        server: Option<&ServerName>,
        time_left: Duration,
    );

    /// Reads what an answer's headers say.
    fn answer_marks(&self, headers: &HeaderMap) -> AnswerMarks;

    /// Sets the headers of an answer that the system gives itself.
    fn mark_own_answer(
        &self,
        headers: &mut HeaderMap,
        attempt: Option<&str>,
        retry_after: Option<Duration>,
    );

    /// Tells which call of the deployment's interfaces this is.
    fn control_call(&self, method: &Method, path: &str) -> ControlCall;

    /// Reads an announcement of the backend server `server`.
    ///
    /// # Errors
    ///
    /// Fails when a field is missing, mistyped or has an unknown value.
    fn announcement(
        &self,
        server: ServerName,
        body: &[u8],
    ) -> Result<ServerAnnouncement, WireFault>;

    /// Returns the body that acknowledges an announcement.
    fn announcement_answer(&self) -> Vec<u8>;

    /// Reads a configuration.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be read in full.
    fn config(&self, document: &[u8]) -> Result<FleetConfig, WireFault>;

    /// Returns a body that explains a refusal.
    fn explanation(&self, reason: &str) -> Vec<u8>;
}
