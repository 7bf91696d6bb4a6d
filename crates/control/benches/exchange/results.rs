//! One CSV line of results.

use std::fmt;
use std::time::Duration;

use crate::RunPlan;
use crate::cpu::CpuSample;
use crate::group::THREAD_NAMES;
use crate::nodes::NodeTraffic;
use crate::nodes::THREAD_NAME;

/// Size of the IPv4 and UDP headers of a datagram, in bytes.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Durations since the commit, one for each change.
#[derive(Clone, Debug, Default)]
pub(crate) struct RolloutTimes {
    /// Until every node had applied the change.
    pub(crate) applied: Vec<Duration>,
    /// Until the control instance reported it in force.
    pub(crate) in_force: Vec<Duration>,
}

/// Results of one run.
pub(crate) struct RunResult {
    pub(crate) plan: RunPlan,
    pub(crate) elapsed: Duration,
    pub(crate) traffic: NodeTraffic,
    pub(crate) cpu: CpuSample,
    pub(crate) latencies: Vec<Duration>,
    pub(crate) serving_thread: &'static str,
    pub(crate) times: RolloutTimes,
}

impl RunResult {
    /// CSV header.
    pub(crate) const HEADINGS: &'static str = "nodes,period_ms,demands,changes,exchanges_per_s,up_bytes_per_node_s,down_bytes_per_node_s,\
datagrams_per_exchange,node_core_percent,holder_core_percent,holder_us_per_exchange,others_core_percent,\
exchange_p50_ms,exchange_p99_ms,applied_all_p50_ms,applied_all_max_ms,in_force_p50_ms,in_force_max_ms";

    fn core_percent(&self, name: &str) -> f64 {
        100.0 * self.cpu.of(name).as_secs_f64() / self.elapsed.as_secs_f64()
    }

    fn per_node_s(&self, bytes: u64) -> f64 {
        bytes as f64 / self.plan.nodes as f64 / self.elapsed.as_secs_f64()
    }
}

impl fmt::Display for RunResult {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let exchanges = self.latencies.len() as f64;
        let header_bytes = self.traffic.datagrams * DATAGRAM_HEADER_BYTES / 2;
        let serving = self.core_percent(self.serving_thread);
        let others = THREAD_NAMES
            .iter()
            .filter(|name| **name != self.serving_thread);
        let others: f64 = others.map(|name| self.core_percent(name)).sum();
        write!(
            formatter,
            "{},{},{},{},{:.0},{:.0},{:.0},{:.2},{:.3},{:.2},{:.1},{:.2},{:.2},{:.2},{:.0},{:.0},{:.0},{:.0}",
            self.plan.nodes,
            self.plan.period.as_millis(),
            self.plan.demands,
            self.plan.changes,
            exchanges / self.elapsed.as_secs_f64(),
            self.per_node_s(self.traffic.sent_bytes + header_bytes),
            self.per_node_s(self.traffic.received_bytes + header_bytes),
            self.traffic.datagrams as f64 / exchanges,
            self.core_percent(THREAD_NAME) / self.plan.nodes as f64,
            serving,
            serving / 100.0 * 1e6 * self.elapsed.as_secs_f64() / exchanges,
            others,
            milliseconds(&self.latencies, 50),
            milliseconds(&self.latencies, 99),
            quantile(&self.times.applied, 50),
            quantile(&self.times.applied, 100),
            quantile(&self.times.in_force, 50),
            quantile(&self.times.in_force, 100),
        )
    }
}

fn quantile(times: &[Duration], percent: usize) -> f64 {
    let mut times = times.to_vec();
    times.sort_unstable();
    milliseconds(&times, percent)
}

/// Returns a quantile of sorted times, in milliseconds.
fn milliseconds(sorted: &[Duration], percent: usize) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let time = sorted.get(last * percent / 100);
    time.map_or(f64::NAN, |time| time.as_secs_f64() * 1e3)
}
