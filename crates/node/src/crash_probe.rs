//! Finds out whether the backend server crashed after a connection to it was lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use timeline::EventRecord;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::crash_report;
use crate::server::ServerTarget;
use crate::state::NodeState;

/// Timeout of the connects that test whether the backend server is running, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Time for which a new connection must stay open to show that the backend server is
/// running, in milliseconds. On a busy machine, a process that died keeps its listening socket
/// for longer than 60 ms after its connections were closed.
const STABLE_AFTER_MS: u64 = 1_000;

/// Delay before the next connect after a connection has closed, in milliseconds. Without one,
/// the connect may succeed just before the listening socket closes.
const RECONNECT_DELAY_MS: u64 = 50;
/// Connects after which a backend server counts as running although it closes each connection.
const CONNECTS_MAX: u32 = 4;

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
        let address = target.address;
        if is_running(move || connect(address)).await || !state.server.mark_crashed(address) {
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
/// `connect` returns a new connection, or `None` if the backend server accepts none. When a
/// process dies, its connections may close before its listening socket does, and the kernel
/// accepts new connections meanwhile. A connection that closes therefore proves nothing, and a
/// later connection attempt decides.
pub async fn is_running<S, F>(connect: impl Fn() -> F) -> bool
where
    S: AsyncRead + Unpin,
    F: Future<Output = Option<S>>,
{
    let stable_after = Duration::from_millis(STABLE_AFTER_MS);
    for _ in 0..CONNECTS_MAX {
        let Some(mut stream) = connect().await else {
            return false;
        };
        if timeout(stable_after, stream.read_u8()).await.is_err() {
            return true;
        }
        sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await;
    }
    true
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let connected = timeout(connect_timeout, TcpStream::connect(address)).await;
    connected.ok()?.ok()
}
