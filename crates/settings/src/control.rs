//! Checked settings of a control instance.

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
    /// Name of the process in logs, metrics and the time line.
    pub process: String,
    /// Data centre that the process stands in.
    pub data_centre: DataCentreName,
    /// Identity in the group.
    pub instance: InstanceId,
    /// UDP address for nodes and peers (QUIC, mutual TLS).
    pub quic_listener: SocketAddr,
    /// Listener for operators.
    pub admin_listener: SocketAddr,
    /// Folder that the instance keeps its state in.
    pub data_directory: PathBuf,
    /// The members of the group at its first start, this one included.
    pub initial_members: Vec<ControlAddress>,
    /// Whether this instance joins an existing group as a learner.
    pub join_existing: bool,
    /// The two owners at the first start of the group.
    pub owners: Vec<OwnerKey>,
    /// TLS files.
    pub tls: TlsFiles,
}
