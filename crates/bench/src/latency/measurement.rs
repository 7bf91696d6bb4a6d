//! Latency at one concurrency.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use hdrhistogram::Histogram;
use rustls::ClientConfig;
use serde::Serialize;
use tokio::task::JoinSet;

use crate::group::ManagedProcess;
use crate::latency::connection::CallConnection;
use crate::latency::process::cpu_time;
use crate::latency::setup::LatencyGroup;
use crate::latency::setup::SERVICES;
use crate::load;

/// Highest latency that a histogram records, in nanoseconds.
const MAX_LATENCY_NS: u64 = 60_000_000_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 3;
/// Calls on each connection that are not counted.
const WARM_UP_CALLS: usize = 20;

/// Path of a sample.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum LatencyPath {
    /// One call to the stub backend server.
    #[display("direct")]
    Direct,
    /// Caller, entry node, node beside the stub backend server, stub backend server.
    #[display("one hop")]
    OneHop,
    /// Four calls to the stub backend server, one after the other.
    #[display("4 x direct")]
    DirectChain,
    /// A call to the first of four services that call each other.
    #[display("chain of 4")]
    Chain,
}

impl LatencyPath {
    /// All paths, each direct one before the one that it is compared with.
    pub const ALL: [Self; 4] = [Self::Direct, Self::OneHop, Self::DirectChain, Self::Chain];

    /// Returns the service calls that a sample makes.
    #[must_use]
    pub const fn calls(self) -> usize {
        match self {
            Self::Direct | Self::OneHop => 1,
            Self::DirectChain | Self::Chain => SERVICES.len(),
        }
    }

    /// Returns the direct path that this one is compared with.
    #[must_use]
    pub const fn baseline(self) -> Option<Self> {
        match self {
            Self::Direct | Self::DirectChain => None,
            Self::OneHop => Some(Self::Direct),
            Self::Chain => Some(Self::DirectChain),
        }
    }

    const fn requests(self) -> usize {
        match self {
            Self::DirectChain => SERVICES.len(),
            _ => 1,
        }
    }
}

/// Settings of one measurement.
#[derive(Clone, Copy, Debug)]
pub struct LatencySettings {
    /// Path of each sample.
    pub path: LatencyPath,
    /// Connections that each send one request after the other.
    pub concurrency: usize,
    /// Total number of samples, divided among the connections.
    pub samples: usize,
}

/// Result of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct LatencyFigures {
    /// Path of each sample.
    pub path: LatencyPath,
    /// Connections.
    pub concurrency: usize,
    /// Samples answered.
    pub answered: u64,
    /// Samples refused or failed, which the latencies leave out.
    pub failed: u64,
    /// Samples answered per second.
    pub per_second: f64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile, in milliseconds.
    pub p999_ms: f64,
    /// Processor time of all nodes per service call, in milliseconds.
    pub node_cpu_ms: f64,
    /// Processor time of all stub backend servers per service call, in milliseconds.
    pub server_cpu_ms: f64,
    /// Load averages of the machine over 1, 5 and 15 minutes.
    pub load_average: String,
}

/// Measures one path at one concurrency.
///
/// # Errors
///
/// Fails when a connection cannot be opened or is lost.
pub async fn measure_latency(
    group: &LatencyGroup,
    settings: LatencySettings,
) -> anyhow::Result<LatencyFigures> {
    let config = load::client_config(&group.processes.files.authority())?;
    let mut connections = Vec::new();
    for _ in 0..settings.concurrency {
        let mut connection = open(group, settings.path, Arc::clone(&config)).await?;
        for _ in 0..WARM_UP_CALLS {
            connection.call().await?;
        }
        connections.push(connection);
    }
    let nodes = process_ids(&group.processes.nodes);
    let servers = process_ids(&group.processes.servers);
    let nodes_before = cpu_of(&nodes)?;
    let servers_before = cpu_of(&servers)?;
    let started_at = Instant::now();
    let sampled = sample_all(connections, settings).await?;
    let elapsed = started_at.elapsed();
    let node_cpu = cpu_of(&nodes)?.saturating_sub(nodes_before);
    let server_cpu = cpu_of(&servers)?.saturating_sub(servers_before);
    let calls = (sampled.latencies.len() + sampled.failed).max(1) as f64;
    let calls = calls * settings.path.calls() as f64;
    let quantile = |part| sampled.latencies.value_at_quantile(part) as f64 / 1e6;
    Ok(LatencyFigures {
        path: settings.path,
        concurrency: settings.concurrency,
        answered: sampled.latencies.len(),
        failed: sampled.failed,
        per_second: sampled.latencies.len() as f64 / elapsed.as_secs_f64(),
        p50_ms: quantile(0.5),
        p99_ms: quantile(0.99),
        p999_ms: quantile(0.999),
        node_cpu_ms: node_cpu.as_secs_f64() * 1e3 / calls,
        server_cpu_ms: server_cpu.as_secs_f64() * 1e3 / calls,
        load_average: super::load_averages(),
    })
}

/// Latencies in nanoseconds, and the number of failed samples.
struct SampledCalls {
    latencies: Histogram<u64>,
    failed: u64,
}

impl SampledCalls {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_NS, DIGITS)?,
            failed: 0,
        })
    }
}

async fn open(
    group: &LatencyGroup,
    path: LatencyPath,
    config: Arc<ClientConfig>,
) -> anyhow::Result<CallConnection> {
    let key = &group.key.key;
    let [first, .., last] = SERVICES;
    match path {
        LatencyPath::Direct | LatencyPath::DirectChain => {
            CallConnection::plain(group.leaf_server(), &format!("/{last}")).await
        }
        LatencyPath::OneHop => {
            CallConnection::tls(
                group.entry_node_for_last(),
                &format!("/{last}"),
                config,
                key,
            )
            .await
        }
        LatencyPath::Chain => {
            CallConnection::tls(
                group.entry_node_for_chain(),
                &format!("/{first}"),
                config,
                key,
            )
            .await
        }
    }
}

async fn sample_all(
    connections: Vec<CallConnection>,
    settings: LatencySettings,
) -> anyhow::Result<SampledCalls> {
    let each = settings.samples.div_ceil(settings.concurrency);
    let mut callers = JoinSet::new();
    for connection in connections {
        callers.spawn(sample(connection, settings.path, each));
    }
    let mut all = SampledCalls::new()?;
    while let Some(joined) = callers.join_next().await {
        let sampled = joined??;
        all.latencies.add(&sampled.latencies)?;
        all.failed += sampled.failed;
    }
    Ok(all)
}

async fn sample(
    mut connection: CallConnection,
    path: LatencyPath,
    samples: usize,
) -> anyhow::Result<SampledCalls> {
    let mut outcome = SampledCalls::new()?;
    for _ in 0..samples {
        let started_at = Instant::now();
        let mut is_answered = true;
        for _ in 0..path.requests() {
            is_answered &= connection.call().await?;
        }
        let elapsed_ns = u64::try_from(started_at.elapsed().as_nanos()).unwrap_or(MAX_LATENCY_NS);
        if is_answered {
            outcome.latencies.saturating_record(elapsed_ns);
        } else {
            outcome.failed += 1;
        }
    }
    Ok(outcome)
}

fn process_ids(processes: &[ManagedProcess]) -> Vec<u32> {
    processes.iter().map(ManagedProcess::id).collect()
}

fn cpu_of(ids: &[u32]) -> anyhow::Result<Duration> {
    ids.iter().map(|id| cpu_time(*id)).sum()
}
