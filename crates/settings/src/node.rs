//! Checked settings of a node.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use model::ids::DataCentreName;
use model::ids::InstanceId;

/// Certificate, key and trusted authority of a process, as PEM files.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsFiles {
    /// Authority that signed the certificates of all processes.
    pub authority: PathBuf,
    /// Certificate of this process.
    pub certificate: PathBuf,
    /// Private key of this process.
    pub key: PathBuf,
}

/// Where a control instance is reached by nodes and peers (QUIC).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlAddress {
    /// Identity in the group.
    pub instance: InstanceId,
    /// UDP address.
    pub address: SocketAddr,
}

/// Limits against bad input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request or answer body, in bytes.
    pub body_bytes: usize,
    /// Time within which a caller must have sent its head.
    pub head_timeout: Duration,
    /// Time within which a caller must have sent its body.
    pub body_timeout: Duration,
    /// Time that a graceful stop waits for calls in flight.
    pub drain_timeout: Duration,
}

/// Settings of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Name of the process in logs, metrics and the time line.
    pub process: String,
    /// Data centre that the process stands in.
    pub data_centre: DataCentreName,
    /// Listener for callers, TLS.
    pub caller_listener: SocketAddr,
    /// Listener for other nodes, mutual TLS.
    pub peer_listener: SocketAddr,
    /// Listener for the backend server beside this node, loopback only.
    pub local_listener: SocketAddr,
    /// Listener for operators.
    pub admin_listener: SocketAddr,
    /// Control instances, in the order in which they are tried.
    pub control_addresses: Vec<ControlAddress>,
    /// TLS files towards other processes.
    pub tls: TlsFiles,
    /// TLS files towards callers; the process's own when none are set.
    pub caller_tls: TlsFiles,
    /// Limits against bad input.
    pub limits: LimitSettings,
}
