//! TOML structure of a settings file.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;

/// A whole settings file; its role decides which tables it has.
#[derive(Debug, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub(crate) enum SettingsFile {
    Node(NodeFile),
    Control(ControlFile),
    Proxy(ProxyFile),
    Group(GroupFile),
}

/// Settings file of a node in a deployment without TLS among its processes.
///
/// Unknown keys are ignored, because the platform that generates the file may add some.
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
    pub(crate) bounds: BoundsTable,
}

/// Listen addresses of such a node.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct ProxyListen {
    pub(crate) address: IpAddr,
    pub(crate) callers: SocketAddr,
    pub(crate) servers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

/// Settings file of a control instance in a deployment without TLS among its processes.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct GroupFile {
    pub(crate) process: String,
    pub(crate) data_centre: String,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) ports: Vec<u16>,
    pub(crate) data: PathBuf,
    pub(crate) first_start: bool,
    #[serde(default)]
    pub(crate) data_centres: Vec<String>,
    pub(crate) listen: GroupListen,
    pub(crate) bounds: BoundsTable,
    pub(crate) traffic: Option<TrafficTable>,
}

/// What it costs when a call leaves its data centre.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub(crate) struct TrafficTable {
    pub(crate) leave_cost_ms: u64,
    pub(crate) network_delay_ms: u64,
}

impl Default for TrafficTable {
    fn default() -> Self {
        Self {
            leave_cost_ms: 15,
            network_delay_ms: 10,
        }
    }
}

/// Listen addresses of such a control instance.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct GroupListen {
    pub(crate) address: IpAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

/// Guarantees of the deployment, as its operators state them.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) struct BoundsTable {
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
    pub(crate) cold_overage: Option<f64>,
    pub(crate) cold_slack: Option<f64>,
}

/// Settings file of a node.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct NodeFile {
    pub(crate) process: String,
    pub(crate) data_centre: String,
    pub(crate) listen: NodeListen,
    pub(crate) control: Vec<MemberTable>,
    pub(crate) tls: TlsTable,
    pub(crate) caller_tls: Option<TlsTable>,
    #[serde(default)]
    pub(crate) limits: LimitsTable,
}

/// Listen addresses of a node.
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
    pub(crate) group: Vec<MemberTable>,
    #[serde(default)]
    pub(crate) join: bool,
    pub(crate) owners: Vec<String>,
    pub(crate) tls: TlsTable,
}

/// Listen addresses of a control instance.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct ControlListen {
    pub(crate) quic: SocketAddr,
    pub(crate) admin: SocketAddr,
}

/// One control instance of a list.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct MemberTable {
    pub(crate) instance: u64,
    pub(crate) address: SocketAddr,
}

/// PEM files; paths are relative to the directory of the settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(crate) struct TlsTable {
    pub(crate) authority: PathBuf,
    pub(crate) certificate: PathBuf,
    pub(crate) key: PathBuf,
}

/// Size and time limits for input.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub(crate) struct LimitsTable {
    pub(crate) head_bytes: usize,
    pub(crate) body_bytes: usize,
    pub(crate) head_timeout_ms: u64,
    pub(crate) body_timeout_ms: u64,
    pub(crate) drain_timeout_ms: u64,
}

impl Default for LimitsTable {
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
