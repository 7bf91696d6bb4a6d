//! Why a message could not be exchanged with another process.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;

use crate::service::ControlError;

/// TLS files that cannot be used.
#[derive(Debug, Display, Error)]
pub enum IdentityError {
    /// A PEM file cannot be read or holds nothing of the kind expected.
    #[display("{}: {reason}", file.display())]
    BadFile {
        /// The file.
        file: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// The files do not make up a usable TLS configuration.
    #[display("TLS configuration: {_0}")]
    BadConfig(#[error(not(source))] String),
}

/// Why a connection to another process cannot be had or used.
#[derive(Debug, Display, Error)]
pub enum ConnectionError {
    /// The local address cannot be bound.
    #[display("address {address} cannot be bound: {source}")]
    BindFailed {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The peer cannot be reached, or one side refused the other's identity.
    #[display("no connection to {address}: {reason}")]
    Refused {
        /// Address of the peer.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The peer did not answer in time.
    #[display("no connection to {address} in time")]
    Timeout {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// An established connection was lost.
    #[display("connection lost: {_0}")]
    Lost(#[error(not(source))] String),
}

/// Why a call to a control instance has no answer.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// No control instance could be reached; the last failure.
    #[display("no control instance is reachable: {_0}")]
    Unreachable(ConnectionError),
    /// The call was sent and its answer did not arrive in time.
    #[display("control instance at {address} did not answer in time")]
    NoResponse {
        /// Address of the instance asked last.
        address: SocketAddr,
    },
    /// The instance answered with an error.
    #[display("control instance at {address}: {error}")]
    ErrorResponse {
        /// Address of the instance.
        address: SocketAddr,
        /// Its answer.
        #[error(source)]
        error: ControlError,
    },
}
