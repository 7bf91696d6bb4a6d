//! Validated settings of a node.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use model::ids::DataCentreName;
use model::ids::InstanceId;

/// PEM files of a process: certificate, private key and trusted certificate authority.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TlsFiles {
    /// Certificate authority that signed the certificates of all processes.
    pub authority: PathBuf,
    /// Certificate of this process.
    pub certificate: PathBuf,
    /// Private key of this process.
    pub key: PathBuf,
}

/// Address at which nodes and other control instances reach a control instance (QUIC).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlAddress {
    /// Id of the instance in the control group.
    pub instance: InstanceId,
    /// UDP address.
    pub address: SocketAddr,
}

/// Size and time limits for input.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitSettings {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request or response body, in bytes.
    pub body_bytes: usize,
    /// Time in which a caller must send the request head.
    pub head_timeout: Duration,
    /// Time in which a caller must send the request body.
    pub body_timeout: Duration,
    /// Time for which a graceful stop waits for calls in flight.
    pub drain_timeout: Duration,
}

/// Settings of a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeSettings {
    /// Name of the process in logs, metrics and the event timeline.
    pub process: String,
    /// Data centre in which the process runs.
    pub data_centre: DataCentreName,
    /// Listen address for callers (TLS).
    pub caller_listener: SocketAddr,
    /// Listen address for other nodes (mutual TLS).
    pub peer_listener: SocketAddr,
    /// Listen address for the node's own backend server, loopback only.
    pub local_listener: SocketAddr,
    /// Listen address for operators.
    pub admin_listener: SocketAddr,
    /// Control instances, in the order in which they are tried.
    pub control_addresses: Vec<ControlAddress>,
    /// TLS files for connections to other processes of the deployment.
    pub tls: TlsFiles,
    /// TLS files for callers; the same as `tls` when the file sets none.
    pub caller_tls: TlsFiles,
    /// Size and time limits for input.
    pub limits: LimitSettings,
}
