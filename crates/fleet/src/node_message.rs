//! Messages between two nodes: calls, responses, and the reasons why a call got no response.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use model::context::CallRank;
use model::context::ServerLoad;
use model::context::ServerPace;
use model::ids::Fingerprint;
use model::ids::RouteName;
use model::ids::ServiceName;
use model::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;

/// Most bytes of a body that count for a fingerprint.
const FINGERPRINT_BODY_BYTES: usize = 64 * 1024;

/// Metadata of one call, sent to the node that runs beside a backend server.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallHead {
    /// Identifier that the caller chose for this attempt.
    pub attempt: AttemptId,
    /// HTTP method.
    pub method: String,
    /// Path with the query string, unchanged.
    pub path: String,
    /// Headers to forward, without hop-by-hop headers.
    pub headers: Vec<(String, Bytes)>,
    /// Route that matched the request.
    pub route: RouteName,
    /// Service that must execute the call.
    pub service: ServiceName,
    /// Whether the call may be executed more than once.
    pub idempotent: bool,
    /// Whether an earlier attempt of this call, or of the call that caused it, reached a backend
    /// server.
    pub repeated: bool,
    /// Priority under overload: the lowest rank is refused first.
    pub rank: CallRank,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Team whose key authenticated the request.
    pub team: Option<TeamName>,
    /// Service of the node that forwards the call.
    pub caller_service: ServiceName,
}

impl CallHead {
    /// Returns the fingerprint of a call, equal for every time that its caller sends the same
    /// request: of method, host, path, team, and the length and beginning of the body.
    #[must_use]
    pub fn fingerprint(&self, body: &[u8]) -> Fingerprint {
        let host = self.headers.iter().find(|(name, _)| name == "host");
        let beginning = &body[..body.len().min(FINGERPRINT_BODY_BYTES)];
        let parts = [
            self.method.as_bytes(),
            host.map_or(&[], |(_, host)| host),
            self.path.as_bytes(),
            self.team.as_deref().unwrap_or_default().as_bytes(),
            &body.len().to_le_bytes(),
            beginning,
        ];
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        let mut truncated = [0; size_of::<Fingerprint>()];
        hasher.finalize_xof().fill(&mut truncated);
        Fingerprint::from_le_bytes(truncated)
    }
}

/// Why a call was refused; it was not executed and will not be.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum RefusalReason {
    /// The backend server is at its concurrency limit.
    #[display("overloaded")]
    Overloaded,
    /// The time left until the deadline is too short.
    #[display("too-late")]
    TooLate,
    /// The backend server is draining or its node is shutting down.
    #[display("leaving")]
    Draining,
    /// The node has no backend server, or one of another service.
    #[display("no-server")]
    NoServer,
    /// The backend server answered that it did not execute the call.
    #[display("server-refused")]
    ServerRefused,
    /// The connection to the backend server could not be opened.
    #[display("connect-failed")]
    ConnectFailed,
    /// Backend servers that ran the same request crashed.
    #[display("quarantined")]
    Quarantined,
    /// The data centre of the backend server is evacuated.
    #[display("evacuated")]
    Evacuated,
}

impl RefusalReason {
    /// Returns whether the call reached the backend server although it was not executed.
    #[must_use]
    pub const fn reached_server(self) -> bool {
        matches!(self, Self::ServerRefused)
    }
}

/// Why a call that may have been executed has no response.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum FailureReason {
    /// The connection to the backend server was lost.
    #[display("connection-lost")]
    ConnectionLost,
    /// The response was malformed, incomplete or belonged to another call.
    #[display("bad-answer")]
    BadResponse,
    /// No response came within the deadline.
    #[display("timeout")]
    Timeout,
    /// The connection to the node beside the backend server was lost.
    #[display("link-lost")]
    LinkLost,
    /// The connection to the backend server stalled; other calls were answered meanwhile.
    #[display("stalled")]
    Stalled,
}

/// Status and headers of a backend server's response.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Headers to return, without hop-by-hop headers.
    pub headers: Vec<(String, Bytes)>,
}

/// Message between two nodes; `id` is the number that the calling node gave to the call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum NodeMessage {
    /// Requests execution of a call; more of its body follows unless `last` is set.
    Call {
        /// Number of the call.
        id: u64,
        /// The call.
        head: Box<CallHead>,
        /// First chunk of the body.
        body: Bytes,
        /// Whether this chunk ends the body.
        last: bool,
    },
    /// Continues a body, in either direction.
    Data {
        /// Number of the call.
        id: u64,
        /// Next chunk of the body.
        body: Bytes,
        /// Whether this chunk ends the body.
        last: bool,
    },
    /// The caller no longer needs a response.
    Cancel {
        /// Number of the call.
        id: u64,
    },
    /// The backend server's response.
    Response {
        /// Number of the call.
        id: u64,
        /// Status and headers.
        head: ResponseHead,
        /// First chunk of the body.
        body: Bytes,
        /// Whether this chunk ends the body.
        last: bool,
        /// Load of the backend server.
        load: ServerLoad,
    },
    /// The call was not executed and will not be.
    Refused {
        /// Number of the call.
        id: u64,
        /// Reason for the refusal.
        cause: RefusalReason,
        /// Estimated time until a retry may succeed.
        retry_after: Duration,
        /// Load of the backend server.
        load: ServerLoad,
    },
    /// There is no response, and the call may have been executed.
    Failed {
        /// Number of the call.
        id: u64,
        /// Reason for the failure.
        cause: FailureReason,
        /// Load of the backend server.
        load: ServerLoad,
    },
    /// The pace of the backend server has changed, or still differs from the usual one. Belongs to no
    /// call.
    Pace {
        /// The present pace.
        pace: ServerPace,
    },
}
