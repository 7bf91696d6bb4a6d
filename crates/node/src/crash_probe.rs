//! Finds out whether the backend server crashed after a connection to it was lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use timeline::EventRecord;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::crash_report;
use crate::server::ServerTarget;
use crate::state::NodeState;

/// Timeout of the connects that test whether the backend server is running, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Time for which a new connection must stay open to show that the backend server is
/// running, in milliseconds.
const STABLE_AFTER_MS: u64 = 60;

/// Probes the backend server after a connection to it was lost, and reports a crash.
///
/// The calls in flight are listed immediately, before other calls fail with the lost
/// connection, so that the crash report is complete.
pub(crate) fn probe_after_lost_connection<C: Clock>(
    state: &Arc<NodeState<C>>,
    target: &ServerTarget,
) {
    let suspects = state.parents.fingerprints();
    let state = Arc::clone(state);
    let target = target.clone();
    let tracker = state.background.clone();
    tracker.spawn(async move {
        if is_running(target.address).await || !state.server.mark_crashed(target.address) {
            return;
        }
        state.admission.record_crash();
        let crashes = &state.crashes;
        let report = crashes.record_crash(state.node, &target.service, &suspects);
        crash_report::notify_service(&state, &report);
        tracing::warn!(event = "backend-crashed", service = %target.service, suspects = suspects.len());
        let event = EventRecord::new("backend-crashed")
            .field("service", &target.service)
            .field("suspects", &suspects.len());
        state.events.push(event);
        state.exchange_needed.notify_one();
    });
}

/// Returns whether a backend server accepts connections and keeps them open.
///
/// When a process dies, its connections may close before its listening socket does, and
/// the kernel accepts new connections meanwhile. A first connection that closes at once
/// therefore proves nothing, and a second connection attempt decides.
async fn is_running(address: SocketAddr) -> bool {
    match connect(address).await {
        None => false,
        Some(mut stream) => {
            let stable_after = Duration::from_millis(STABLE_AFTER_MS);
            let ended = timeout(stable_after, stream.read_u8()).await;
            ended.is_err() || connect(address).await.is_some()
        }
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let connected = timeout(connect_timeout, TcpStream::connect(address)).await;
    connected.ok()?.ok()
}
