//! A stand-in backend server.

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

/// Header by which a caller marks a request; the stand-in journals and echoes it.
pub const MARKER_HEADER: &str = "x-marker";
/// Header that makes the stand-in end itself when it runs the request.
pub const CRASH_HEADER: &str = "x-crash";
/// Header that makes the stand-in answer with the headers that it saw.
pub const ECHO_HEADER: &str = "x-echo-headers";

/// How a stand-in behaves.
#[derive(Clone, Debug)]
pub struct StandinSettings {
    /// Service that it announces.
    pub service: String,
    /// Listener; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Loopback listener of the node beside it.
    pub node: SocketAddr,
    /// Requests that it runs at once; further ones wait.
    pub slots: usize,
    /// Time that a request takes.
    pub delay: Duration,
    /// Time for which it says `starting` before it is ready.
    pub warm_up: Duration,
    /// Paths that it calls through its node for each request, one after the other.
    pub calls: Vec<String>,
    /// File that records what ran.
    pub journal: PathBuf,
}

/// Parts of a stand-in's behaviour that change while it runs.
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
