//! Why an admin listener gave no answer.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;
use http::StatusCode;

use crate::exit::CliError;

/// Why one address gave no answer.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// No connection, no answer in time, or no quorum behind it: another address may do.
    #[display("{address}: {reason}")]
    Unreachable {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// The process answered that the request cannot be done.
    #[display("{address}: {status}: {reason}")]
    ErrorResponse {
        /// The address.
        address: SocketAddr,
        /// HTTP status.
        status: StatusCode,
        /// Text of the answer.
        reason: String,
    },
}

impl ClientError {
    /// Names what went wrong for either role, unless it is the same.
    pub(super) fn after_control(self, as_control: &str) -> Self {
        match self {
            Self::Unreachable { address, reason } if reason != as_control => Self::Unreachable {
                address,
                reason: format!("as a control instance: {as_control}; as a node: {reason}"),
            },
            error => error,
        }
    }
}

impl From<ClientError> for CliError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::Unreachable { .. } => Self::Unreachable(error.into()),
            ClientError::ErrorResponse { .. } => Self::Failed(error.into()),
        }
    }
}
