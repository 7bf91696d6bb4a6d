//! Finds out whether the backend server crashed after a connection to it was lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use timeline::EventRecord;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::server::ServerTarget;
use crate::state::NodeState;
use crate::tell;

/// Timeout of the connects that test whether the backend server is running, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 250;
/// Time for which a new connection must stay open to show that the backend server is
/// running, in milliseconds.
const LASTS_MS: u64 = 60;

/// Probes the backend server after a connection to it was lost, and reports a crash.
///
/// The calls in flight are listed immediately, before other calls fail with the lost
/// connection, so that the crash report is complete.
pub(crate) fn connection_lost<C: Clock>(state: &Arc<NodeState<C>>, target: &ServerTarget) {
    let suspects = state.parents.fingerprints();
    let state = Arc::clone(state);
    let target = target.clone();
    let tracker = state.background.clone();
    tracker.spawn(async move {
        if is_alive(target.address).await || !state.server.crashed(target.address) {
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

/// Returns whether a backend server accepts connections and keeps them open.
///
/// When a process dies, its connections may close before its listening socket does, and
/// the kernel accepts new connections meanwhile. A first connection that closes at once
/// therefore proves nothing, and a second connect decides.
async fn is_alive(address: SocketAddr) -> bool {
    match connect(address).await {
        None => false,
        Some(mut stream) => {
            let lasts = Duration::from_millis(LASTS_MS);
            let ended = timeout(lasts, stream.read_u8()).await;
            ended.is_err() || connect(address).await.is_some()
        }
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
    let connected = timeout(limit, TcpStream::connect(address)).await;
    connected.ok()?.ok()
}
