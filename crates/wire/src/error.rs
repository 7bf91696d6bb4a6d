//! Errors of the communication with other processes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;

use crate::service::ControlError;

/// Why TLS files cannot be used.
#[derive(Debug, Display, Error)]
pub enum IdentityError {
    /// A PEM file cannot be read or does not contain the expected kind of item.
    #[display("{}: {reason}", file.display())]
    BadFile {
        /// The file.
        file: PathBuf,
        /// What is wrong with the file.
        reason: String,
    },
    /// The files do not form a valid TLS configuration.
    #[display("TLS configuration: {_0}")]
    BadConfig(#[error(not(source))] String),
}

/// Why a connection to another process cannot be opened or used.
#[derive(Debug, Display, Error)]
pub enum ConnectionError {
    /// The local address cannot be bound.
    #[display("address {address} cannot be bound: {source}")]
    BindFailed {
        /// The local address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The connection attempt failed, or one side rejected the other's certificate.
    #[display("no connection to {address}: {reason}")]
    Refused {
        /// Address of the peer.
        address: SocketAddr,
        /// Error of the handshake or of an earlier attempt.
        reason: String,
    },
    /// The connection was not established in time.
    #[display("no connection to {address} in time")]
    Timeout {
        /// Address of the peer.
        address: SocketAddr,
    },
    /// An established connection was lost.
    #[display("connection lost: {_0}")]
    Lost(#[error(not(source))] String),
}

/// Why a call to a control instance has no result.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// No control instance could be reached; holds the last connection error.
    #[display("no control instance is reachable: {_0}")]
    Unreachable(ConnectionError),
    /// The call failed after a connection was open, usually because no response came in time.
    #[display("control instance at {address} did not answer in time")]
    NoResponse {
        /// Address of the instance.
        address: SocketAddr,
    },
    /// The instance returned an error.
    #[display("control instance at {address}: {error}")]
    ErrorResponse {
        /// Address of the instance.
        address: SocketAddr,
        /// The returned error.
        #[error(source)]
        error: ControlError,
    },
}
