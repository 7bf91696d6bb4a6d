//! Prometheus metrics of a node.

use std::time::Duration;

use model::verdict::CallFailure;
use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.000_25, 0.000_5, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1.0,
    4.0,
];

/// Registry and metrics of a node.
#[derive(Clone, Debug)]
pub(crate) struct NodeMetrics {
    registry: Registry,
    requests: IntCounterVec,
    request_seconds: HistogramVec,
    /// Attempts sent to nodes, including retries.
    pub attempts: IntCounter,
    /// Retries: attempts after the first of a call.
    pub retries: IntCounter,
    /// Exchanges with control that renewed the lease.
    pub renewals: IntCounter,
    /// Exchanges with control that did not renew the lease.
    pub renewal_failures: IntCounter,
    /// Version of the applied declaration.
    pub applied_version: IntGauge,
    /// Bytes sent to and received from control.
    pub control_bytes: IntGauge,
    /// Calls that the backend server is running.
    pub in_flight: IntGauge,
}

/// Labels of a finished request.
pub(crate) struct RequestLabels<'a> {
    /// Class of the route, or `none`.
    pub class: &'a str,
    /// Team of the caller, or `none`.
    pub team: &'a str,
}

impl NodeMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub(crate) fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let requests = IntCounterVec::new(
            Opts::new("ragwortplank_requests_total", "Requests that entered here"),
            &["class", "team", "verdict", "cause"],
        )?;
        let request_seconds = HistogramVec::new(
            HistogramOpts::new(
                "ragwortplank_request_seconds",
                "Time from a request's head to its answer",
            )
            .buckets(LATENCY_BUCKETS_S.to_vec()),
            &["class"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        registry.register(Box::new(request_seconds.clone()))?;
        let counter = |name: &str, help: &str| -> prometheus::Result<IntCounter> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> prometheus::Result<IntGauge> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Self {
            requests,
            request_seconds,
            attempts: counter("ragwortplank_attempts_total", "Attempts sent to nodes")?,
            retries: counter("ragwortplank_retries_total", "Attempts beyond the first")?,
            renewals: counter("ragwortplank_renewals_total", "Leases renewed")?,
            renewal_failures: counter("ragwortplank_renewal_failures_total", "Renewals failed")?,
            applied_version: gauge(
                "ragwortplank_applied_version",
                "Declaration version applied",
            )?,
            control_bytes: gauge("ragwortplank_control_bytes", "Bytes exchanged with control")?,
            in_flight: gauge("ragwortplank_in_flight", "Calls the backend server runs")?,
            registry,
        })
    }

    /// Records a finished request, answered or refused.
    pub(crate) fn record_request(
        &self,
        labels: &RequestLabels<'_>,
        outcome: Result<(), &CallFailure>,
        elapsed: Duration,
    ) {
        let (verdict, cause) = match outcome {
            Ok(()) => ("ran".to_owned(), "none".to_owned()),
            Err(failure) => (failure.verdict.to_string(), failure.cause.to_string()),
        };
        self.requests
            .with_label_values(&[labels.class, labels.team, &verdict, &cause])
            .inc();
        self.request_seconds
            .with_label_values(&[labels.class])
            .observe(elapsed.as_secs_f64());
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = Vec::new();
        let families = self.registry.gather();
        if TextEncoder::new().encode(&families, &mut text).is_err() {
            return String::new();
        }
        String::from_utf8(text).unwrap_or_default()
    }
}
