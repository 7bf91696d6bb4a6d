//! The shape of a settings file.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

/// A whole settings file; which tables it has depends on the role.
#[derive(Debug, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub(crate) enum SettingsFile {
    Node(NodeFile),
    Control(ControlFile),
    Proxy(ProxyFile),
    Group(GroupFile),
}

/// Settings file of a node in a deployment without keys between its processes.
///
/// Unknown keys are ignored here: the platform that fills the file in may add some.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct ProxyFile {
    pub(crate) process: String,
    pub(crate) data_centre: String,
    pub(crate) service: String,
    pub(crate) server: SocketAddr,
    pub(crate) control: Vec<SocketAddr>,
    pub(crate) ports: Vec<u16>,
    pub(crate) memory_mb: u64,
    pub(crate) listen: ProxyListen,
    pub(crate) bounds: BoundsFile,
}

/// Listeners of such a node.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct ProxyListen {
    pub(crate) address: IpAddr,
    pub(crate) callers: SocketAddr,
    pub(crate) servers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

/// Settings file of a control instance in such a deployment.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct GroupFile {
    pub(crate) process: String,
    pub(crate) data_centre: String,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) ports: Vec<u16>,
    pub(crate) data: PathBuf,
    pub(crate) first_start: bool,
    pub(crate) listen: GroupListen,
    pub(crate) bounds: BoundsFile,
}

/// Listeners of such a control instance.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct GroupListen {
    pub(crate) address: IpAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

/// What the deployment promises, as its operators state it.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct BoundsFile {
    pub(crate) tolerated_losses: usize,
    pub(crate) lease_ms: u64,
    pub(crate) drain_ms: u64,
    pub(crate) grace_s: f64,
    pub(crate) contact_ms: u64,
    pub(crate) attempt_window_s: f64,
    pub(crate) attempt_ratio: f64,
    pub(crate) attempt_slack: f64,
    pub(crate) quota_window_s: f64,
    pub(crate) quota_overage: f64,
    pub(crate) quota_slack: f64,
}

/// Settings file of a node.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct NodeFile {
    pub(crate) process: String,
    pub(crate) data_centre: String,
    pub(crate) listen: NodeListen,
    pub(crate) control: Vec<MemberFile>,
    pub(crate) tls: TlsFile,
    pub(crate) caller_tls: Option<TlsFile>,
    #[serde(default)]
    pub(crate) limits: LimitFile,
}

/// Listeners of a node.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct NodeListen {
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) local: SocketAddr,
    pub(crate) admin: SocketAddr,
}

/// Settings file of a control instance.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct ControlFile {
    pub(crate) process: String,
    pub(crate) data_centre: String,
    pub(crate) instance: u64,
    pub(crate) listen: ControlListen,
    pub(crate) data: PathBuf,
    pub(crate) group: Vec<MemberFile>,
    #[serde(default)]
    pub(crate) join: bool,
    pub(crate) owners: Vec<String>,
    pub(crate) tls: TlsFile,
}

/// Listeners of a control instance.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct ControlListen {
    pub(crate) quic: SocketAddr,
    pub(crate) admin: SocketAddr,
}

/// A control instance in a list.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct MemberFile {
    pub(crate) instance: u64,
    pub(crate) address: SocketAddr,
}

/// PEM files; relative paths count from the settings file's folder.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct TlsFile {
    pub(crate) authority: PathBuf,
    pub(crate) certificate: PathBuf,
    pub(crate) key: PathBuf,
}

/// Limits against bad input.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub(crate) struct LimitFile {
    pub(crate) head_bytes: usize,
    pub(crate) body_bytes: usize,
    pub(crate) head_timeout_ms: u64,
    pub(crate) body_timeout_ms: u64,
    pub(crate) drain_timeout_ms: u64,
}

impl Default for LimitFile {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_timeout_ms: 5_000,
            body_timeout_ms: 15_000,
            drain_timeout_ms: 30_000,
        }
    }
}
