//! Whether a request may have run, which every error reports.

use std::fmt;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Whether a backend server ran a request.
///
/// See `docs/DESIGN.md`, "Verdict". Only [`RunVerdict::NotRun`] allows an
/// automatic retry of a request that is not idempotent.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum RunVerdict {
    /// No byte of the request reached a backend server.
    #[display("not-run")]
    NotRun,
    /// The backend server returned a response.
    #[display("ran")]
    Ran,
    /// The request reached a backend server and its response was lost.
    #[display("may-have-run")]
    MayHaveRun,
}

/// Why a call was refused or failed; the names are stable in logs, metrics and responses.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
pub enum FailureCause {
    /// The caller sent no key, a malformed key or several keys.
    BadCredentials,
    /// The key is unknown or revoked.
    UnknownKey,
    /// No declared route matches.
    UnknownRoute,
    /// The request is malformed or exceeds a size limit.
    BadRequest,
    /// The rate limit of the team is used up.
    RateExceeded,
    /// The service is overloaded and this request ranks below the admission threshold.
    Overloaded,
    /// The deadline passed, or can no longer be met.
    DeadlineExceeded,
    /// No retries are left for this request.
    AllowanceSpent,
    /// The call chain is deeper than allowed.
    TooDeep,
    /// The request is quarantined because it crashed backend servers.
    Quarantined,
    /// No backend server of the service accepts new work.
    NoBackend,
    /// The node holds no lease, so its state may be stale.
    NoLease,
    /// The instance is stopping or draining.
    Draining,
    /// The parent call is not in flight on this node.
    UnknownParent,
    /// The idempotency key is missing, malformed or too old.
    BadIdempotencyKey,
    /// The idempotency key was used with another body.
    KeyReused,
    /// An earlier attempt with the same idempotency key exists.
    Duplicate,
    /// No quorum of control instances could commit the record in time.
    NoQuorum,
    /// The connection to the backend server or to its node was lost.
    ConnectionLost,
    /// The caller closed the connection.
    Cancelled,
    /// The backend server refused the request before running it (load shedding).
    Shed,
    /// Internal error of this software.
    Internal,
}

/// A failed call: its cause and whether it may have run.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallFailure {
    /// Whether a backend server may have run the request.
    pub verdict: RunVerdict,
    /// Why the call failed.
    pub cause: FailureCause,
    /// Delay before a retry, in milliseconds, if known.
    pub retry_after_ms: Option<u32>,
}

impl CallFailure {
    /// Creates a failure of a request that did not run.
    #[must_use]
    pub const fn not_run(cause: FailureCause) -> Self {
        Self {
            verdict: RunVerdict::NotRun,
            cause,
            retry_after_ms: None,
        }
    }

    /// Creates a failure of a request that may have run.
    #[must_use]
    pub const fn may_have_run(cause: FailureCause) -> Self {
        Self {
            verdict: RunVerdict::MayHaveRun,
            cause,
            retry_after_ms: None,
        }
    }

    /// Sets the delay before a retry, in milliseconds.
    #[must_use]
    pub const fn retry_after_ms(mut self, delay_ms: u32) -> Self {
        self.retry_after_ms = Some(delay_ms);
        self
    }
}

impl fmt::Display for CallFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "cause={} verdict={}", self.cause, self.verdict)
    }
}

impl std::error::Error for CallFailure {}
