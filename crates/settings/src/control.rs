//! Validated settings of a control instance.

use std::net::SocketAddr;
use std::path::PathBuf;

use model::ids::DataCentreName;
use model::ids::InstanceId;
use model::ids::OwnerKey;

use crate::ControlAddress;
use crate::TlsFiles;

/// Settings of a control instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ControlSettings {
    /// Name of the process in logs, metrics and the event timeline.
    pub process: String,
    /// Data centre in which the process runs.
    pub data_centre: DataCentreName,
    /// Id of this instance in the control group.
    pub instance: InstanceId,
    /// UDP listen address for nodes and other control instances (QUIC, mutual TLS).
    pub quic_listener: SocketAddr,
    /// Listen address for operators.
    pub admin_listener: SocketAddr,
    /// Directory of the replicated state.
    pub data_directory: PathBuf,
    /// Members of the group at its first start, including this instance.
    pub initial_members: Vec<ControlAddress>,
    /// Whether this instance joins an existing group as a learner (a non-voting member).
    pub join_existing: bool,
    /// Public keys of the two owners at the first start of the group.
    pub owners: Vec<OwnerKey>,
    /// TLS files.
    pub tls: TlsFiles,
}
