//! Prometheus metrics of one process, distinguished by the label `kind`.

use std::time::Duration;

use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the duration histogram's buckets, in seconds.
const DURATION_BUCKETS_S: [f64; 13] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0,
];

/// Event counters, duration histograms and gauges of a process; clones share them.
#[derive(Clone, Debug)]
pub struct ProcessMetrics {
    registry: Registry,
    events: IntCounterVec,
    durations: HistogramVec,
    values: IntGaugeVec,
}

impl ProcessMetrics {
    /// Creates the metrics `NAME_events_total{kind,detail}`, `NAME_seconds{kind}` and `NAME_value{kind}`.
    ///
    /// # Errors
    ///
    /// Fails when `name` is not a valid prefix of a metric name.
    pub fn new(name: &str) -> prometheus::Result<Self> {
        let registry = Registry::new();
        let events = IntCounterVec::new(
            Opts::new(format!("{name}_events_total"), "What happened, by kind"),
            &["kind", "detail"],
        )?;
        let durations = HistogramVec::new(
            HistogramOpts::new(format!("{name}_seconds"), "How long it took, by kind")
                .buckets(DURATION_BUCKETS_S.to_vec()),
            &["kind"],
        )?;
        let values = IntGaugeVec::new(
            Opts::new(format!("{name}_value"), "What holds now, by kind"),
            &["kind"],
        )?;
        registry.register(Box::new(events.clone()))?;
        registry.register(Box::new(durations.clone()))?;
        registry.register(Box::new(values.clone()))?;
        Ok(Self {
            registry,
            events,
            durations,
            values,
        })
    }

    /// Increments the counter of events with this `kind` and `detail`.
    pub fn count(&self, kind: &str, detail: &str) {
        self.events.with_label_values(&[kind, detail]).inc();
    }

    /// Adds a duration to the histogram of this `kind`.
    pub fn observe(&self, kind: &str, duration: Duration) {
        let seconds = duration.as_secs_f64();
        self.durations.with_label_values(&[kind]).observe(seconds);
    }

    /// Sets the gauge of this `kind`.
    pub fn set(&self, kind: &str, value: u64) {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        self.values.with_label_values(&[kind]).set(value);
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> String {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .unwrap_or_else(|error| {
                tracing::warn!(event = "metrics-not-encoded", %error);
                String::new()
            })
    }
}
