//! Messages between two nodes: calls, their answers, and why there is none.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use model::context::CallRank;
use model::context::ServerLoad;
use model::ids::RouteName;
use model::ids::ServiceName;
use model::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;

/// One call on its way to the node beside a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallHead {
    /// Identifier that the caller gave.
    pub attempt: AttemptId,
    /// HTTP method.
    pub method: String,
    /// Path with its query, unchanged.
    pub path: String,
    /// Headers to forward, without those that concern one connection.
    pub headers: Vec<(String, Bytes)>,
    /// Route that was chosen.
    pub route: RouteName,
    /// Service that must run the call.
    pub service: ServiceName,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Whether another node has sent the call to a backend server before.
    pub repeated: bool,
    /// Order in which calls are refused.
    pub rank: CallRank,
    /// Time until the caller has no use for the answer any more.
    pub time_left: Duration,
    /// Team whose key came with the request.
    pub team: Option<TeamName>,
    /// Service on whose instance the request began.
    pub caller: ServiceName,
}

/// Why a call was refused; it has not run and never will.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum RefuseCause {
    /// The backend server is as busy as it may be.
    #[display("overloaded")]
    Overloaded,
    /// The time left does not suffice.
    #[display("too-late")]
    TooLate,
    /// The backend server leaves or its node stops.
    #[display("leaving")]
    Leaving,
    /// No backend server, or one of another service.
    #[display("no-server")]
    NoServer,
    /// The backend server itself said that it did not run the call.
    #[display("server-refused")]
    ServerRefused,
    /// The backend server could not be connected to.
    #[display("connect-failed")]
    ConnectFailed,
}

impl RefuseCause {
    /// Returns whether the call reached the backend server all the same.
    #[must_use]
    pub const fn has_arrived(self) -> bool {
        matches!(self, Self::ServerRefused)
    }
}

/// Why a call has no answer, though it may have run.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum FailCause {
    /// The connection to the backend server was lost.
    #[display("connection-lost")]
    ConnectionLost,
    /// What came was no whole answer to this call.
    #[display("bad-answer")]
    BadAnswer,
    /// No answer came in time.
    #[display("timeout")]
    Timeout,
    /// The link to the node beside the backend server was lost.
    #[display("link-lost")]
    LinkLost,
}

/// Head of an answer of a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Headers to return, without those that concern one connection.
    pub headers: Vec<(String, Bytes)>,
}

/// What two nodes say to each other; `id` is the sender's number of the call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Asks to run a call; more of its body follows unless `last`.
    Call {
        /// Number of the call.
        id: u64,
        /// The call.
        head: Box<CallHead>,
        /// First piece of the body.
        body: Bytes,
        /// Whether the body is whole.
        last: bool,
    },
    /// Carries on a body, in either direction.
    Data {
        /// Number of the call.
        id: u64,
        /// Next piece.
        body: Bytes,
        /// Whether the body is whole now.
        last: bool,
    },
    /// The caller needs no answer any more.
    Cancel {
        /// Number of the call.
        id: u64,
    },
    /// The backend server's answer.
    Answer {
        /// Number of the call.
        id: u64,
        /// Head of the answer.
        head: AnswerHead,
        /// First piece of the body.
        body: Bytes,
        /// Whether the body is whole.
        last: bool,
        /// Load of the backend server.
        load: ServerLoad,
    },
    /// The call has not run and never will.
    Refused {
        /// Number of the call.
        id: u64,
        /// Why.
        cause: RefuseCause,
        /// When there may be room, as far as known.
        retry_after: Duration,
        /// Load of the backend server.
        load: ServerLoad,
    },
    /// There is no answer, and the call may have run.
    Failed {
        /// Number of the call.
        id: u64,
        /// Why.
        cause: FailCause,
        /// Load of the backend server.
        load: ServerLoad,
    },
}
