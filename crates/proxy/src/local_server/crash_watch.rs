//! Watches for a crash of the backend server, by the connections to it that are lost.

use std::mem;
use std::time::Duration;
use std::time::Instant;

use model::ids::Fingerprint;

use crate::local_server::LocalServer;
use crate::local_server::RunningKey;
use crate::state::lock;

/// Time after a lost connection within which an answer may have been written before the crash, in
/// milliseconds.
const EARLIER_ANSWER_MS: u64 = 10;

/// What lost connections have shown of one run of the backend server.
#[derive(Debug, Default)]
pub(super) struct CrashWatch {
    /// Requests that ran when connections were lost, while a probe is to tell whether the server
    /// crashed.
    suspects: Vec<Fingerprint>,
    /// The calls that ran when the last connection was lost.
    running: Vec<RunningKey>,
    lost_at: Option<Instant>,
    /// Whether the server has answered a call since.
    has_answered: bool,
    is_probing: bool,
    /// Whether a connection was lost since the probe under way began.
    lost_again: bool,
    /// When this run crashed: what its other connections lose is no further crash.
    crashed_at: Option<Instant>,
}

/// What the other calls show of the server after a connection was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CrashSign {
    /// One was answered: the server runs.
    Answered,
    /// One still runs, or its end is not noticed yet.
    StillRunning,
    /// All have ended without an answer.
    AllEnded,
}

impl LocalServer {
    /// Notes that a connection was lost during a call that still counts as running; returns
    /// whether a probe must begin.
    ///
    /// A server that drains may end with connections open.
    pub(crate) fn note_lost_connection(&self, now: Instant) -> bool {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let watch = &mut state.crash_watch;
        if state.draining.is_some() || watch.crashed_at.is_some() {
            return false;
        }
        watch.running = state.running.keys().copied().collect();
        let running = state.running.values();
        watch.suspects.extend(running.map(|call| call.fingerprint));
        watch.suspects.sort_unstable();
        watch.suspects.dedup();
        watch.lost_at = Some(now);
        watch.has_answered = false;
        watch.lost_again = watch.is_probing;
        !mem::replace(&mut watch.is_probing, true)
    }

    /// Returns what the other calls show of the server since the last connection was lost. A crash
    /// ends all of them.
    pub(crate) fn crash_sign(&self) -> CrashSign {
        let state = lock(&self.state);
        let watch = &state.crash_watch;
        if watch.has_answered {
            return CrashSign::Answered;
        }
        let mut running = watch.running.iter();
        if running.any(|key| state.running.contains_key(key)) {
            CrashSign::StillRunning
        } else {
            CrashSign::AllEnded
        }
    }

    /// Ends a probe that found the server running; returns `false` if a connection was lost
    /// meanwhile, so that another probe must begin.
    pub(crate) fn end_probe(&self) -> bool {
        let watch = &mut lock(&self.state).crash_watch;
        if mem::replace(&mut watch.lost_again, false) {
            return false;
        }
        *watch = CrashWatch::default();
        true
    }

    /// Records that a probe found the server gone; returns the requests that ran, or `None` if it
    /// left or another one runs by now.
    pub(crate) fn record_crash(&self, now: Instant) -> Option<Vec<Fingerprint>> {
        let mut state = lock(&self.state);
        let is_draining = state.draining.is_some();
        let watch = mem::take(&mut state.crash_watch);
        let is_crash = watch.is_probing && !is_draining;
        state.crash_watch.crashed_at = is_crash.then_some(now);
        is_crash.then_some(watch.suspects)
    }

    /// Notes that a call that was sent at `sent` got its answer. After a crash the server runs
    /// again then, perhaps under its earlier name and start.
    pub(super) fn note_answer(&self, sent: Instant, now: Instant) {
        let watch = &mut lock(&self.state).crash_watch;
        watch.crashed_at = watch.crashed_at.filter(|at| sent <= *at);
        let margin = Duration::from_millis(EARLIER_ANSWER_MS);
        watch.has_answered |= watch.lost_at.is_some_and(|at| now >= at + margin);
    }
}
