//! Validated settings of a deployment without TLS among its processes.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use model::ids::DataCentreName;
use model::ids::ServiceName;

use crate::SettingsError;
use crate::check::SettingsValidator;
use crate::file::BoundsTable;
use crate::file::GroupFile;
use crate::file::ProxyFile;
use crate::file::TrafficTable;

/// Simultaneous losses that a group of at most seven instances can tolerate.
const TOLERATED_LOSSES: RangeInclusive<usize> = 0..=3;
/// Factor on the rate of cold backend servers where the platform states none.
const COLD_OVERAGE_DEFAULT: f64 = 1.0;
/// Additional requests to cold backend servers where the platform states none.
const COLD_SLACK_DEFAULT: f64 = 0.0;
/// Largest such factor and number; larger ones limit nothing.
const COLD_BOUND_MAX: f64 = 1e6;
/// Largest cost or delay of traffic between data centres, in milliseconds.
const TRAFFIC_COST_MAX_MS: u64 = 60_000;
/// Bytes in a mebibyte.
const MEBIBYTE: u64 = 1024 * 1024;

/// Guarantees of the deployment, as its operators state them.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentBounds {
    /// Number of control instances whose disks may be lost at the same time.
    pub tolerated_losses: usize,
    /// Time after which no node may accept a revoked key.
    pub revocation_time: Duration,
    /// Time for which a draining backend server may still receive calls.
    pub drain_time: Duration,
    /// Time between the stop request and the end of the process.
    pub stop_grace_period: Duration,
    /// Time after which a process without disruption counts as reachable.
    pub reachable_after: Duration,
    /// Time window over which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed for each request.
    pub retry_ratio: f64,
    /// Additional retries allowed in each window, over all nodes.
    pub retry_slack: f64,
    /// Time window over which the requests of a team are counted.
    pub quota_window: Duration,
    /// Fraction by which a team may exceed its rate limit.
    pub quota_overage_ratio: f64,
    /// Additional requests by which a team may exceed its rate limit.
    pub quota_slack_requests: f64,
    /// Factor by which the requests to a cold backend server may exceed its rate.
    pub cold_overage_factor: f64,
    /// Additional requests that a cold backend server may receive in any one second.
    pub cold_slack_requests: f64,
}

/// Settings of a node in a deployment without TLS among its processes.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxySettings {
    /// Name of the process in logs and metrics.
    pub process: String,
    /// Data centre in which the process runs.
    pub data_centre: DataCentreName,
    /// Service of the node's own backend server.
    pub service: ServiceName,
    /// Address of the backend server.
    pub server_address: SocketAddr,
    /// Some control instances, as known when the file was written; only their IP
    /// addresses are used.
    pub control_seeds: Vec<SocketAddr>,
    /// IP address of this process.
    pub own_address: IpAddr,
    /// Listen address for callers and for calls of the backend server.
    pub caller_listener: SocketAddr,
    /// Listen address for announcements of the backend server.
    pub announcement_listener: SocketAddr,
    /// Listen address for readiness checks, which ask whether this node accepts callers.
    pub readiness_listener: SocketAddr,
    /// Listen address for metrics.
    pub metrics_listener: SocketAddr,
    /// Port for connections between nodes.
    pub link_port: u16,
    /// Port at which control instances accept connections.
    pub control_port: u16,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Guarantees of the deployment.
    pub bounds: DeploymentBounds,
}

/// Settings of a control instance in a deployment without TLS among its processes.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupSettings {
    /// Name of the process in logs and metrics.
    pub process: String,
    /// Data centre in which the process runs.
    pub data_centre: DataCentreName,
    /// Some control instances; the initial members at the first start of the deployment.
    pub seeds: Vec<SocketAddr>,
    /// IP address of this process.
    pub own_address: IpAddr,
    /// Listen address for operators.
    pub operator_listener: SocketAddr,
    /// Listen address for metrics.
    pub metrics_listener: SocketAddr,
    /// Port for connections from other control instances and from nodes.
    pub link_port: u16,
    /// Directory of the log, the snapshots and the instance's identity.
    pub data_directory: PathBuf,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// Data centres of the deployment; empty if the platform does not name them.
    pub data_centres: BTreeSet<DataCentreName>,
    /// Guarantees of the deployment.
    pub bounds: DeploymentBounds,
    /// Costs of traffic between data centres; if present, that traffic is planned whatever the
    /// routes are.
    pub traffic: Option<TrafficSettings>,
}

/// What it costs when a call leaves its data centre, as response time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TrafficSettings {
    /// Response time that operators give up to keep a call within its data centre.
    pub leave_cost: Duration,
    /// Network delay between data centres, there and back.
    pub network_delay: Duration,
}

impl Default for TrafficSettings {
    fn default() -> Self {
        Self::new(&TrafficTable::default())
    }
}

impl TrafficSettings {
    const fn new(file: &TrafficTable) -> Self {
        Self {
            leave_cost: Duration::from_millis(file.leave_cost_ms),
            network_delay: Duration::from_millis(file.network_delay_ms),
        }
    }
}

impl SettingsValidator<'_> {
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
            data_centres: self.data_centres(file.data_centres)?,
            bounds: self.bounds(&file.bounds)?,
            traffic: self.traffic(file.traffic.as_ref())?,
        })
    }

    fn traffic(
        &self,
        file: Option<&TrafficTable>,
    ) -> Result<Option<TrafficSettings>, SettingsError> {
        let Some(file) = file else {
            return Ok(None);
        };
        let costs = [
            ("traffic.leave-cost-ms", file.leave_cost_ms),
            ("traffic.network-delay-ms", file.network_delay_ms),
        ];
        for (key, cost_ms) in costs {
            if cost_ms > TRAFFIC_COST_MAX_MS {
                return Err(self.invalid_value(key, cost_ms, "60000 at most"));
            }
        }
        Ok(Some(TrafficSettings::new(file)))
    }

    fn data_centres(&self, names: Vec<String>) -> Result<BTreeSet<DataCentreName>, SettingsError> {
        let names = names.into_iter();
        names
            .map(|name| self.name("data-centres", name).map(Arc::from))
            .collect()
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

    /// Returns the ports of control instances and of nodes, from the first and last allowed port.
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

    fn bounds(&self, file: &BoundsTable) -> Result<DeploymentBounds, SettingsError> {
        if !TOLERATED_LOSSES.contains(&file.tolerated_losses) {
            let key = "bounds.tolerated-losses";
            return Err(self.invalid_value(key, file.tolerated_losses, "0 to 3"));
        }
        let positive_seconds = |key: &str, value: f64| {
            Duration::try_from_secs_f64(value)
                .ok()
                .filter(|length| !length.is_zero())
                .ok_or_else(|| self.invalid_value(key, value, "a time above 0"))
        };
        let non_negative = |key: &str, value: f64| {
            if value.is_finite() && value >= 0.0 {
                return Ok(value);
            }
            Err(self.invalid_value(key, value, "0 or more"))
        };
        let (cold_overage_factor, cold_slack_requests) = self.cold_bounds(file)?;
        Ok(DeploymentBounds {
            tolerated_losses: file.tolerated_losses,
            revocation_time: Duration::from_millis(file.lease_ms),
            drain_time: Duration::from_millis(file.drain_ms),
            stop_grace_period: positive_seconds("bounds.grace-s", file.grace_s)?,
            reachable_after: Duration::from_millis(file.contact_ms),
            retry_window: positive_seconds("bounds.attempt-window-s", file.attempt_window_s)?,
            retry_ratio: non_negative("bounds.attempt-ratio", file.attempt_ratio)?,
            retry_slack: non_negative("bounds.attempt-slack", file.attempt_slack)?,
            quota_window: positive_seconds("bounds.quota-window-s", file.quota_window_s)?,
            quota_overage_ratio: non_negative("bounds.quota-overage", file.quota_overage)?,
            quota_slack_requests: non_negative("bounds.quota-slack", file.quota_slack)?,
            cold_overage_factor,
            cold_slack_requests,
        })
    }

    /// Returns the factor and the additional requests that apply to cold backend servers.
    fn cold_bounds(&self, file: &BoundsTable) -> Result<(f64, f64), SettingsError> {
        let overage = file.cold_overage.unwrap_or(COLD_OVERAGE_DEFAULT);
        let slack = file.cold_slack.unwrap_or(COLD_SLACK_DEFAULT);
        if !(overage > 0.0 && overage <= COLD_BOUND_MAX) {
            let key = "bounds.cold-overage";
            return Err(self.invalid_value(key, overage, "above 0, at most 1000000"));
        }
        if !(0.0..=COLD_BOUND_MAX).contains(&slack) {
            return Err(self.invalid_value("bounds.cold-slack", slack, "0 to 1000000"));
        }
        Ok((overage, slack))
    }
}
