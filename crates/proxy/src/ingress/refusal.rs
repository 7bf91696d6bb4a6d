//! Responses of the node itself that refuse a request, with reason and retry-after delay.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use clock::Clock;
use fleet::ProtocolAdapter;
use http::Response;
use http::StatusCode;
use model::ids::TeamName;
use tracing::info;

use crate::open_call::CallProgress;
use crate::state::ProxyState;

/// Largest random addition to a retry-after delay, as a fraction of it, so that callers do not
/// all retry at the same time.
const JITTER_FRACTION: f64 = 0.5;

/// Retry-after delay while the node stops, in milliseconds; callers that retry earlier may not
/// know of the stop yet.
const STOPPING_RETRY_AFTER_MS: u64 = 500;

/// A response with its body in memory.
pub(super) type BufferedResponse = Response<Bytes>;

/// A refusal by this node, with the inputs of the decision for the log.
pub(super) struct Refusal {
    pub(super) status: StatusCode,
    pub(super) reason: &'static str,
    pub(super) retry_after: Option<Duration>,
    /// Team of the request, when its quota or the admission plan led to the refusal.
    pub(super) team: Option<TeamName>,
    /// This node's share of the team's rate, in thousandths of a request per second.
    pub(super) share_milli: Option<u64>,
}

impl Refusal {
    pub(super) const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
            team: None,
            share_milli: None,
        }
    }

    /// Creates a refusal with a retry-after delay and random jitter on it.
    pub(super) fn with_retry_after(
        status: StatusCode,
        reason: &'static str,
        delay: Duration,
    ) -> Self {
        let factor = 1.0 + JITTER_FRACTION * rand::random::<f64>();
        Self {
            retry_after: Some(delay.mul_f64(factor)),
            ..Self::new(status, reason)
        }
    }

    /// Refuses a request that a stopping node no longer takes.
    pub(super) fn stopping() -> Self {
        let delay = Duration::from_millis(STOPPING_RETRY_AFTER_MS);
        Self::with_retry_after(StatusCode::SERVICE_UNAVAILABLE, "stopping", delay)
    }

    /// Answers a request that has no answer when the node ends, by whether it may have run.
    pub(super) fn at_end(progress: &CallProgress) -> Self {
        if progress.may_have_run() {
            return Self::new(StatusCode::GATEWAY_TIMEOUT, "stopped-may-have-run");
        }
        Self::stopping()
    }

    pub(super) fn respond<C: Clock, A: ProtocolAdapter>(
        &self,
        state: &ProxyState<C, A>,
        attempt: Option<&str>,
        started: Instant,
    ) -> BufferedResponse {
        state.metrics.count("refused", self.reason);
        if state.may_log_request() {
            let elapsed = state.now().saturating_duration_since(started);
            let after_stop = state.stop.since_request(started);
            info!(
                event = "request-refused",
                request = attempt.unwrap_or("-"),
                status = self.status.as_u16(),
                reason = self.reason,
                team = self.team.as_deref(),
                share_milli = self.share_milli,
                config = state.config().version(),
                retry_after_ms = self.retry_after.map(|delay| delay.as_millis()),
                held_ms = elapsed.as_millis(),
                read_after_stop_ms = after_stop.map(|delay| delay.as_millis()),
            );
        }
        let body = state.adapter.error_body(self.reason);
        let mut response = Response::new(Bytes::from(body));
        *response.status_mut() = self.status;
        let adapter = &state.adapter;
        adapter.set_local_response_headers(response.headers_mut(), attempt, self.retry_after);
        response
    }
}
