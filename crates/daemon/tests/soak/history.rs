//! What callers, backend servers and the soak itself saw, in the order of one clock.

use std::fmt;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

/// A process of the deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProcessName {
    Control(u8),
    Node(u8),
}

impl fmt::Display for ProcessName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Control(number) => write!(formatter, "control-{number}"),
            Self::Node(number) => write!(formatter, "node-{number}"),
        }
    }
}

/// What was done to a process, or what it did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProcessEvent {
    Started,
    Terminated,
    /// Killed since it was still there at the end of the grace period.
    GraceEnded,
    Killed,
    Frozen,
    Thawed,
    HungUp,
    Exited,
}

/// How a request ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum RequestOutcome {
    /// A whole answer came; it bears a backend server's stamp or is the node's own.
    Answered { status: u16, is_stamped: bool },
    /// The connection ended without a whole answer.
    Cut { is_reset: bool, detail: String },
    /// The caller gave up.
    Silent,
}

/// A request whose last byte was sent on a connection that the node had not closed.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) id: String,
    pub(crate) node: u8,
    pub(crate) is_unsafe: bool,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) outcome: RequestOutcome,
}

/// How a run ended at the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum RunEnd {
    Answered,
    /// The connection was closed during the work.
    CutOff,
    /// The backend server broke off.
    Dropped,
}

/// A run of a request at a backend server.
#[derive(Clone, Debug)]
pub(crate) struct RunRecord {
    pub(crate) id: String,
    pub(crate) server: u8,
    pub(crate) began: Instant,
    pub(crate) end: Option<(Instant, RunEnd)>,
}

/// All records of a soak.
#[derive(Debug, Default)]
pub(crate) struct SoakHistory {
    requests: Mutex<Vec<RequestRecord>>,
    runs: Mutex<Vec<RunRecord>>,
    events: Mutex<Vec<(Instant, ProcessName, ProcessEvent)>>,
    faults: Mutex<Vec<String>>,
}

impl SoakHistory {
    pub(crate) fn requests(&self) -> MutexGuard<'_, Vec<RequestRecord>> {
        lock(&self.requests)
    }

    pub(crate) fn runs(&self) -> MutexGuard<'_, Vec<RunRecord>> {
        lock(&self.runs)
    }

    pub(crate) fn events(&self) -> MutexGuard<'_, Vec<(Instant, ProcessName, ProcessEvent)>> {
        lock(&self.events)
    }

    /// Returns the broken promises that were seen at once.
    pub(crate) fn faults(&self) -> MutexGuard<'_, Vec<String>> {
        lock(&self.faults)
    }

    pub(crate) fn record(&self, process: ProcessName, event: ProcessEvent) {
        let mut events = self.events();
        events.push((Instant::now(), process, event));
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
