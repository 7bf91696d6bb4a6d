//! The load and pace that the backend server reports with its answers.

use std::time::Duration;
use std::time::Instant;

use model::context::ServerLoad;
use model::context::ServerPace;

use crate::local_server::LocalServer;
use crate::state::lock;

/// Time for which a reported pace counts, in milliseconds. Other work on the instance begins and
/// ends several times a second.
const PACE_VALID_MS: u64 = 400;

/// The last reported pace, if any.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LastPace {
    report: Option<(ServerPace, Instant)>,
}

impl LastPace {
    /// Returns the pace, unless it was reported too long ago.
    pub(super) fn at(&self, now: Instant) -> Option<ServerPace> {
        let (pace, reported_at) = self.report?;
        let valid = Duration::from_millis(PACE_VALID_MS);
        (now.saturating_duration_since(reported_at) < valid).then_some(pace)
    }
}

impl LocalServer {
    /// Notes the load that the backend server reported with an answer.
    pub(super) fn note_reported_load(&self, load: Option<ServerLoad>, now: Instant) {
        let mut state = lock(&self.state);
        if let Some(pace) = load.and_then(|load| load.pace) {
            state.pace.report = Some((pace, now));
        }
        let calls = load.map(|load| load.in_flight.saturating_add(load.queued));
        let changes = state.limiter.note_report(calls, now);
        drop(state);
        self.notify_waiters(changes);
    }
}
