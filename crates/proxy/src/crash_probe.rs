//! Finds out whether the backend server crashed after a connection to it was lost.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Clock;
use fleet::ProtocolAdapter;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;
use tracing::warn;

use crate::local_server::CrashSign;
use crate::state::ProxyState;

/// Interval at which the calls beside a lost one are looked at, in milliseconds, and how often: a
/// busy node notices only after a while which of them a crash has ended.
const SETTLE_MS: u64 = 20;
const SETTLE_ROUNDS: u32 = 10;
/// Timeout of a connect, in milliseconds. A server that does not answer may only be busy.
const CONNECT_TIMEOUT_MS: u64 = 250;
/// Time for which a connection must stay open to show that the server runs, in milliseconds.
const STABLE_AFTER_MS: u64 = 60;

/// Probes the local backend server after a connection to it was lost, and records a crash.
///
/// The calls in flight are listed at once, before the others fail as well.
pub(crate) fn probe_after_lost_connection<C: Clock, A: ProtocolAdapter>(state: &ProxyState<C, A>) {
    if !state.server.note_lost_connection(state.now()) {
        return;
    }
    let state = state.clone();
    tokio::spawn(async move {
        loop {
            if !runs_on(&state).await {
                record_crash(&state);
                return;
            }
            if state.server.end_probe() {
                return;
            }
        }
    });
}

/// Returns whether the server runs on, by its other calls or else by a new connection.
async fn runs_on<C: Clock, A: ProtocolAdapter>(state: &ProxyState<C, A>) -> bool {
    for _ in 0..SETTLE_ROUNDS {
        sleep(Duration::from_millis(SETTLE_MS)).await;
        match state.server.crash_sign() {
            CrashSign::Answered => return true,
            CrashSign::StillRunning => {}
            CrashSign::AllEnded => return accepts_connections(state.settings.server_address).await,
        }
    }
    true
}

fn record_crash<C: Clock, A: ProtocolAdapter>(state: &ProxyState<C, A>) {
    let now = state.now();
    let Some(running) = state.server.record_crash(now) else {
        return;
    };
    let service = &state.settings.service;
    let suspects = state
        .crashes()
        .record_crash(state.node, service, running, now);
    warn!(event = "server-crashed", %service, suspects);
    state.metrics.count("server", "crashed");
    state.server.assume_cold(state);
    state.report_now.notify_one();
}

/// Returns whether the server may be running: it accepts a connection, or does not refuse one.
///
/// When a process dies, its connections may close before its listener does, and the kernel
/// accepts connections meanwhile. One that closes at once proves nothing, and a second decides.
async fn accepts_connections(address: SocketAddr) -> bool {
    match connect(address).await {
        Connection::Refused => false,
        Connection::Unknown => true,
        Connection::Open(mut stream) => {
            let stable_after = Duration::from_millis(STABLE_AFTER_MS);
            let ended = timeout(stable_after, stream.read_u8()).await;
            ended.is_err() || !matches!(connect(address).await, Connection::Refused)
        }
    }
}

/// How a connect ended.
enum Connection {
    Open(TcpStream),
    Refused,
    /// It timed out, or failed for another reason.
    Unknown,
}

async fn connect(address: SocketAddr) -> Connection {
    let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Connection::Open(stream),
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Connection::Refused,
        Ok(Err(_)) | Err(_) => Connection::Unknown,
    }
}
