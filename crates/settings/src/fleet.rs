//! Checked settings of the roles in a deployment without keys between its processes.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use model::ids::DataCentreName;
use model::ids::ServiceName;

use crate::SettingsError;
use crate::check::FileChecker;
use crate::file::BoundsFile;
use crate::file::GroupFile;
use crate::file::ProxyFile;

/// Losses at the same time that a group of at most seven instances can bear.
const TOLERATED_LOSSES: RangeInclusive<usize> = 0..=3;
/// Bytes in a mebibyte.
const MEBIBYTE: u64 = 1024 * 1024;

/// What the deployment promises, as its operators state it.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentBounds {
    /// Control instances whose disks may be lost at the same time.
    pub tolerated_losses: usize,
    /// Time after which a withdrawn key must not be used anywhere.
    pub revocation_time: Duration,
    /// Time for which a draining backend server may still get calls.
    pub drain_time: Duration,
    /// Time between the request to stop and the end of the process.
    pub stop_grace_period: Duration,
    /// Time after which a process without disruption counts as reachable.
    pub reachable_after: Duration,
    /// Window over which repeated attempts are counted.
    pub retry_window: Duration,
    /// Repeated attempts allowed for each request.
    pub retry_ratio: f64,
    /// Repeated attempts allowed besides, in each window, over all nodes.
    pub retry_slack: f64,
    /// Window over which the requests of a team are counted.
    pub quota_window: Duration,
    /// Part by which a team may exceed its limit.
    pub quota_overage_ratio: f64,
    /// Requests by which a team may exceed its limit besides.
    pub quota_slack_requests: f64,
}

/// Settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxySettings {
    /// Name of the process in logs and metrics.
    pub process: String,
    /// Data centre that the process stands in.
    pub data_centre: DataCentreName,
    /// Service of the backend server beside this node.
    pub service: ServiceName,
    /// Address of the backend server.
    pub server_address: SocketAddr,
    /// Some control instances, as known when the file was written; only their
    /// IP addresses count.
    pub control_seeds: Vec<SocketAddr>,
    /// Own IP address.
    pub own_address: IpAddr,
    /// Listener for callers and for the backend server's own calls.
    pub caller_listener: SocketAddr,
    /// Listener for announcements of the backend server.
    pub announcement_listener: SocketAddr,
    /// Listener for questions whether this node takes callers.
    pub readiness_listener: SocketAddr,
    /// Listener for metrics.
    pub metrics_listener: SocketAddr,
    /// Port for links between nodes.
    pub link_port: u16,
    /// Port of the control instances for links.
    pub control_port: u16,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Promises of the deployment.
    pub bounds: DeploymentBounds,
}

/// Settings of a control instance.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupSettings {
    /// Name of the process in logs and metrics.
    pub process: String,
    /// Data centre that the process stands in.
    pub data_centre: DataCentreName,
    /// Some control instances; at the first start of all, the first members.
    pub seeds: Vec<SocketAddr>,
    /// Own IP address.
    pub own_address: IpAddr,
    /// Listener for operators.
    pub operator_listener: SocketAddr,
    /// Listener for metrics.
    pub metrics_listener: SocketAddr,
    /// Port for links among control instances and from nodes.
    pub link_port: u16,
    /// Folder of the log, the snapshots and the identity.
    pub data_directory: PathBuf,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// Promises of the deployment.
    pub bounds: DeploymentBounds,
}

impl FileChecker<'_> {
    pub(crate) fn proxy(&self, file: ProxyFile) -> Result<ProxySettings, SettingsError> {
        let process = self.name("process", file.process)?;
        let data_centre = self.name("data-centre", file.data_centre)?;
        let (control_port, link_port) = self.ports(&file.ports)?;
        Ok(ProxySettings {
            process,
            data_centre: Arc::from(data_centre),
            service: Arc::from(self.name("service", file.service)?),
            server_address: file.server,
            control_seeds: self.addresses("control", file.control)?,
            own_address: file.listen.address,
            caller_listener: file.listen.callers,
            announcement_listener: file.listen.servers,
            readiness_listener: file.listen.ready,
            metrics_listener: file.listen.metrics,
            link_port,
            control_port,
            memory_bytes: file.memory_mb * MEBIBYTE,
            bounds: self.bounds(&file.bounds)?,
        })
    }

    pub(crate) fn group(&self, file: GroupFile) -> Result<GroupSettings, SettingsError> {
        let process = self.name("process", file.process)?;
        let data_centre = self.name("data-centre", file.data_centre)?;
        let (link_port, _) = self.ports(&file.ports)?;
        Ok(GroupSettings {
            process,
            data_centre: Arc::from(data_centre),
            seeds: self.addresses("seeds", file.seeds)?,
            own_address: file.listen.address,
            operator_listener: file.listen.operators,
            metrics_listener: file.listen.metrics,
            link_port,
            data_directory: file.data,
            first_start: file.first_start,
            bounds: self.bounds(&file.bounds)?,
        })
    }

    fn addresses(
        &self,
        key: &str,
        addresses: Vec<SocketAddr>,
    ) -> Result<Vec<SocketAddr>, SettingsError> {
        if addresses.is_empty() {
            return Err(self.invalid_value(key, "[]", "at least one address"));
        }
        if let Some(other) = addresses.iter().find(|address| !address.is_ipv4()) {
            return Err(self.invalid_value(key, other, "IPv4 addresses"));
        }
        Ok(addresses)
    }

    /// Returns the port of control instances and that of nodes, from the first and last allowed.
    fn ports(&self, range: &[u16]) -> Result<(u16, u16), SettingsError> {
        match *range {
            [first, last] if first > 0 && first < last => Ok((first, first + 1)),
            _ => {
                let found = format!("{range:?}");
                Err(self.invalid_value(
                    "ports",
                    found,
                    "the first and the last of two or more ports",
                ))
            }
        }
    }

    fn bounds(&self, file: &BoundsFile) -> Result<DeploymentBounds, SettingsError> {
        if !TOLERATED_LOSSES.contains(&file.tolerated_losses) {
            let key = "bounds.tolerated-losses";
            return Err(self.invalid_value(key, file.tolerated_losses, "0 to 3"));
        }
        let seconds = |key: &str, value: f64| {
            Duration::try_from_secs_f64(value)
                .ok()
                .filter(|length| !length.is_zero())
                .ok_or_else(|| self.invalid_value(key, value, "a time above 0"))
        };
        let number = |key: &str, value: f64| {
            if value.is_finite() && value >= 0.0 {
                return Ok(value);
            }
            Err(self.invalid_value(key, value, "0 or more"))
        };
        Ok(DeploymentBounds {
            tolerated_losses: file.tolerated_losses,
            revocation_time: Duration::from_millis(file.lease_ms),
            drain_time: Duration::from_millis(file.drain_ms),
            stop_grace_period: seconds("bounds.grace-s", file.grace_s)?,
            reachable_after: Duration::from_millis(file.contact_ms),
            retry_window: seconds("bounds.attempt-window-s", file.attempt_window_s)?,
            retry_ratio: number("bounds.attempt-ratio", file.attempt_ratio)?,
            retry_slack: number("bounds.attempt-slack", file.attempt_slack)?,
            quota_window: seconds("bounds.quota-window-s", file.quota_window_s)?,
            quota_overage_ratio: number("bounds.quota-overage", file.quota_overage)?,
            quota_slack_requests: number("bounds.quota-slack", file.quota_slack)?,
        })
    }
}
