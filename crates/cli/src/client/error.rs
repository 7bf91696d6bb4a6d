//! Errors of requests to admin listeners.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;
use http::StatusCode;

use crate::exit::CliError;

/// Why a request to one address failed.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// No connection, no response in time, or no quorum; another address may work.
    #[display("{address}: {reason}")]
    Unreachable {
        /// The address.
        address: SocketAddr,
        /// What failed.
        reason: String,
    },
    /// The process returned an error status.
    #[display("{address}: {status}: {reason}")]
    ErrorResponse {
        /// The address.
        address: SocketAddr,
        /// HTTP status.
        status: StatusCode,
        /// Response body.
        reason: String,
    },
}

impl ClientError {
    /// Adds the reason for which the attempt as a control instance failed, if it differs.
    pub(super) fn with_control_reason(self, control_reason: &str) -> Self {
        match self {
            Self::Unreachable { address, reason } if reason != control_reason => {
                Self::Unreachable {
                    address,
                    reason: format!("as a control instance: {control_reason}; as a node: {reason}"),
                }
            }
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
