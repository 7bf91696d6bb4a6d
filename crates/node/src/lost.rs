//! Finds out whether a lost connection means that the backend server died.

use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use timeline::EventRecord;
use tokio::net::TcpStream;

use crate::server::ServerTarget;
use crate::state::NodeState;
use crate::tell;

/// Time to connect to a backend server that lives, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 250;

/// Probes the backend server after a connection to it was lost.
///
/// What it ran is taken at once, before other calls notice the loss, so that
/// the report names everything that was in flight.
pub(crate) fn connection_lost<C: Clock>(state: &Arc<NodeState<C>>, target: &ServerTarget) {
    let suspects = state.parents.fingerprints();
    let state = Arc::clone(state);
    let target = target.clone();
    let tracker = state.background.clone();
    tracker.spawn(async move {
        let connecting = TcpStream::connect(target.address);
        let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
        let alive = matches!(tokio::time::timeout(timeout, connecting).await, Ok(Ok(_)));
        if alive || !state.server.crashed(target.address) {
            return;
        }
        state.gate.crashed();
        let crashes = &state.crashes;
        let report = crashes.crashed(state.node, &target.service, &suspects);
        tell::tell_service(&state, &report);
        tracing::warn!(event = "backend-crashed", service = %target.service, suspects = suspects.len());
        let event = EventRecord::new("backend-crashed")
            .field("service", &target.service)
            .field("suspects", &suspects.len());
        state.events.push(event);
        state.wake.notify_one();
    });
}
