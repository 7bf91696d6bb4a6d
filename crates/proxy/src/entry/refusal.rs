//! Answers of a node's own: why it refuses, and when the caller may come back.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use clock::Clock;
use fleet::ProtocolAdapter;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use model::ids::TeamName;
use tracing::info;

use crate::state::ProxyState;

/// Part by which a delay is spread, so that callers do not come back together.
const SPREAD_PART: f64 = 0.5;

/// An answer whose body is whole.
pub(super) type OwnAnswer = Response<Full<Bytes>>;

/// A refusal of this node's own, with the inputs that decided it.
pub(super) struct OwnRefusal {
    pub(super) status: StatusCode,
    pub(super) reason: &'static str,
    pub(super) retry_after: Option<Duration>,
    /// The team whose limit decided.
    pub(super) team: Option<TeamName>,
    /// This node's part of the limit, in thousandths of a request per second.
    pub(super) share_milli: Option<u64>,
}

impl OwnRefusal {
    pub(super) const fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
            team: None,
            share_milli: None,
        }
    }

    /// Creates a refusal that names a delay, spread so that callers come back one by one.
    pub(super) fn later(status: StatusCode, reason: &'static str, delay: Duration) -> Self {
        let spread = 1.0 + SPREAD_PART * rand::random::<f64>();
        Self {
            retry_after: Some(delay.mul_f64(spread)),
            ..Self::new(status, reason)
        }
    }

    pub(super) fn respond<C: Clock, D: ProtocolAdapter>(
        &self,
        state: &ProxyState<C, D>,
        attempt: Option<&str>,
        started: Instant,
    ) -> OwnAnswer {
        state.metrics.count("refused", self.reason);
        if state.may_log() {
            let held = state.now().saturating_duration_since(started);
            info!(
                event = "request-refused",
                request = attempt.unwrap_or("-"),
                status = self.status.as_u16(),
                reason = self.reason,
                team = self.team.as_deref(),
                share_milli = self.share_milli,
                config = state.view().version(),
                retry_after_ms = self.retry_after.map(|delay| delay.as_millis()),
                held_ms = held.as_millis(),
            );
        }
        let body = state.dialect.error_body(self.reason);
        let mut answer = Response::new(Full::new(Bytes::from(body)));
        *answer.status_mut() = self.status;
        let dialect = &state.dialect;
        dialect.set_local_response_headers(answer.headers_mut(), attempt, self.retry_after);
        answer
    }
}
