//! Metrics of a control instance.

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntGauge;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Histogram buckets for the duration of an exchange, in seconds.
const EXCHANGE_BUCKETS_S: [f64; 9] = [0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25];

/// Counters and gauges of a control instance.
#[derive(Debug)]
pub struct ControlMetrics {
    registry: Registry,
    /// Exchanges answered.
    pub exchanges: IntCounter,
    /// Exchanges without a lease, because no quorum confirmed the leader.
    pub lease_refusals: IntCounter,
    /// Time to answer an exchange, in seconds.
    pub exchange_seconds: Histogram,
    /// Idempotency claims and settlements received.
    pub idempotency_calls: IntCounter,
    /// Changes submitted.
    pub submissions: IntCounter,
    /// Nodes with a lease.
    pub nodes: IntGauge,
    /// Declaration version applied.
    pub version: IntGauge,
    /// 1 while this instance leads.
    pub leader: IntGauge,
    /// Last index applied.
    pub applied: IntGauge,
}

impl ControlMetrics {
    /// Creates the metrics.
    ///
    /// # Errors
    ///
    /// Fails when a name is invalid or used twice.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let options = HistogramOpts::new(
            "ragwortplank_control_exchange_seconds",
            "Time to answer an exchange.",
        );
        let exchange_seconds = Histogram::with_opts(options.buckets(EXCHANGE_BUCKETS_S.to_vec()))?;
        registry.register(Box::new(exchange_seconds.clone()))?;
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(format!("ragwortplank_control_{name}"), help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(format!("ragwortplank_control_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        Ok(Self {
            exchanges: counter("exchanges_total", "Exchanges answered.")?,
            lease_refusals: counter("lease_refusals_total", "Exchanges without a lease.")?,
            idempotency_calls: counter("once_calls_total", "Claims and settlements.")?,
            submissions: counter("submissions_total", "Changes submitted.")?,
            nodes: gauge("nodes", "Nodes with a lease.")?,
            version: gauge("declaration_version", "Declaration version applied.")?,
            leader: gauge("leader", "1 while this instance leads.")?,
            applied: gauge("applied_index", "Last log index applied.")?,
            exchange_seconds,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails when a metric cannot be encoded.
    pub fn encode(&self) -> Result<String, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }
}
