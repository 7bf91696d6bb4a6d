//! A stub backend server, run by the program `standin`.

mod announce;
mod server;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use model::exchange::ServerState;
use tokio::sync::Semaphore;

pub use server::run;

/// Header with the marker of a request, which the stub backend server journals and echoes.
pub const MARKER_HEADER: &str = "x-marker";
/// Header that makes the stub backend server exit when it runs the request.
pub const CRASH_HEADER: &str = "x-crash";
/// Header that makes the stub backend server respond with the headers that it received.
pub const ECHO_HEADER: &str = "x-echo-headers";

/// Settings of a stub backend server.
#[derive(Clone, Debug)]
pub struct StandinSettings {
    /// Service that it announces.
    pub service: String,
    /// Listener; port 0 selects any free port.
    pub listen: SocketAddr,
    /// Loopback listener of the node beside it.
    pub node: SocketAddr,
    /// Requests that it runs concurrently; further ones wait.
    pub slots: usize,
    /// Duration of a request.
    pub delay: Duration,
    /// Time for which it announces `starting` before it is ready.
    pub warm_up: Duration,
    /// Paths that it calls through its node for each request, one after the other.
    pub calls: Vec<String>,
    /// File that records the requests that ran.
    pub journal: PathBuf,
}

/// State of a running stub backend server.
#[derive(Debug)]
pub(crate) struct StandinState {
    pub(crate) settings: StandinSettings,
    pub(crate) slots: Semaphore,
    pub(crate) delay_ms: AtomicU64,
    pub(crate) draining: AtomicBool,
    pub(crate) shedding: AtomicBool,
    pub(crate) started: std::time::Instant,
    pub(crate) journal: crate::journal::RunJournal,
}

impl StandinState {
    pub(crate) fn new(settings: StandinSettings) -> std::io::Result<Arc<Self>> {
        let delay_ms = u64::try_from(settings.delay.as_millis()).unwrap_or(u64::MAX);
        Ok(Arc::new(Self {
            slots: Semaphore::new(settings.slots),
            delay_ms: AtomicU64::new(delay_ms),
            draining: AtomicBool::new(false),
            shedding: AtomicBool::new(false),
            started: std::time::Instant::now(),
            journal: crate::journal::RunJournal::open(&settings.journal)?,
            settings,
        }))
    }

    pub(crate) fn state(&self) -> ServerState {
        if self.draining.load(std::sync::atomic::Ordering::Relaxed) {
            ServerState::Draining
        } else if self.started.elapsed() < self.settings.warm_up {
            ServerState::Starting
        } else {
            ServerState::Ready
        }
    }
}
