//! Resource usage of processes without calls.

use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use cli::client::AdminRequest;

use crate::group::NodePlan;
use crate::latency::process::cpu_time;
use crate::latency::process::resident_bytes;
use crate::latency::setup::LatencyGroup;

/// Metric that counts the bytes exchanged with control.
const BYTES_METRIC: &str = "ragwortplank_control_bytes ";

/// Resource usage of one process without calls.
#[derive(Clone, Debug)]
pub struct IdleUsage {
    /// Name of the process.
    pub process: String,
    /// Processor usage, in percent of one core.
    pub cpu_percent: f64,
    /// Bytes per second that a node exchanges with control; none for a control instance.
    pub control_bytes: Option<f64>,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

/// Counters of one process at one time.
struct IdleSample {
    process: String,
    cpu: Duration,
    control_bytes: Option<f64>,
    resident_bytes: u64,
}

/// Measures all nodes and control instances over a time without calls.
///
/// # Errors
///
/// Fails when a process's counters cannot be read.
pub async fn measure_idle(group: &LatencyGroup, time: Duration) -> anyhow::Result<Vec<IdleUsage>> {
    let started_at = Instant::now();
    let before = sample(group).await?;
    tokio::time::sleep(time).await;
    let elapsed_s = started_at.elapsed().as_secs_f64();
    let after = sample(group).await?;
    let pairs = before.into_iter().zip(after);
    let figures = pairs.map(|(before, after)| IdleUsage {
        process: after.process,
        cpu_percent: after.cpu.saturating_sub(before.cpu).as_secs_f64() * 100.0 / elapsed_s,
        control_bytes: after
            .control_bytes
            .zip(before.control_bytes)
            .map(|(after, before)| (after - before) / elapsed_s),
        resident_bytes: after.resident_bytes,
    });
    Ok(figures.collect())
}

async fn sample(group: &LatencyGroup) -> anyhow::Result<Vec<IdleSample>> {
    let processes = &group.processes;
    let mut samples = Vec::new();
    for (plan, node) in processes.plan.nodes.iter().zip(&processes.nodes) {
        samples.push(IdleSample {
            process: plan.name.clone(),
            control_bytes: Some(control_bytes(group, plan).await?),
            cpu: cpu_time(node.id())?,
            resident_bytes: resident_bytes(node.id())?,
        });
    }
    for control in &processes.controls {
        samples.push(IdleSample {
            process: control.name().to_owned(),
            control_bytes: None,
            cpu: cpu_time(control.id())?,
            resident_bytes: resident_bytes(control.id())?,
        });
    }
    Ok(samples)
}

async fn control_bytes(group: &LatencyGroup, node: &NodePlan) -> anyhow::Result<f64> {
    let request = AdminRequest::get("/metrics");
    let admin = group.processes.admin_client()?;
    let metrics = admin.send_to_node(node.admin, &request).await?;
    let value = metrics
        .lines()
        .find_map(|line| line.strip_prefix(BYTES_METRIC));
    let value = value.context("the node does not count bytes")?;
    Ok(value.trim().parse()?)
}
