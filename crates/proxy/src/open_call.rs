//! A request of a caller or a call of another node, from when it was read until its answer is
//! written.

use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use clock::Clock;
use fleet::ProtocolAdapter;
use model::ids::RouteName;
use tracing::info;

use crate::state::ProxyState;
use crate::state::lock;

/// How far a call got; dropping it unfinished when the process ends writes a log line.
pub(crate) struct OpenCall<C: Clock, A: ProtocolAdapter> {
    state: ProxyState<C, A>,
    attempt: String,
    route: Mutex<Option<RouteName>>,
    read_at: Instant,
    progress: CallProgress,
    is_answered: AtomicBool,
    is_finished: AtomicBool,
}

impl<C: Clock, A: ProtocolAdapter> OpenCall<C, A> {
    pub(crate) fn new(state: ProxyState<C, A>, attempt: String, read_at: Instant) -> Self {
        Self {
            state,
            attempt,
            route: Mutex::default(),
            read_at,
            progress: CallProgress::default(),
            is_answered: AtomicBool::new(false),
            is_finished: AtomicBool::new(false),
        }
    }

    pub(crate) fn set_route(&self, route: &RouteName) {
        *lock(&self.route) = Some(route.clone());
    }

    pub(crate) const fn progress(&self) -> &CallProgress {
        &self.progress
    }

    /// Notes that there is an answer, which has yet to be written.
    pub(crate) fn note_answer(&self) {
        self.is_answered.store(true, Ordering::Relaxed);
    }

    /// Notes that nothing more has to be done for this call.
    pub(crate) fn finish(&self) {
        self.is_finished.store(true, Ordering::Relaxed);
    }
}

impl<C: Clock, A: ProtocolAdapter> Drop for OpenCall<C, A> {
    fn drop(&mut self) {
        let state = &self.state;
        let is_finished = self.is_finished.load(Ordering::Relaxed);
        if is_finished || !state.stop.has_ended() || !state.may_log_request() {
            return;
        }
        let held = state.now().saturating_duration_since(self.read_at);
        let after_stop = state.stop.since_request(self.read_at);
        info!(
            event = "request-cut",
            request = %self.attempt,
            route = lock(&self.route).as_deref(),
            answered = self.is_answered.load(Ordering::Relaxed),
            may_have_run = self.progress.may_have_run(),
            held_ms = held.as_millis(),
            read_after_stop_ms = after_stop.map(|delay| delay.as_millis()),
        );
    }
}

/// Whether a call may have reached a backend server.
///
/// Set before anything is sent, so that "not run" is never claimed wrongly.
#[derive(Debug, Default)]
pub(crate) struct CallProgress {
    may_have_run: AtomicBool,
}

impl CallProgress {
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run.load(Ordering::Relaxed)
    }

    /// Notes that the call is about to be sent to a backend server or to another node.
    pub(crate) fn begin_send(&self) {
        self.may_have_run.store(true, Ordering::Relaxed);
    }

    /// Notes what all attempts so far have shown.
    pub(crate) fn resolve(&self, may_have_run: bool) {
        self.may_have_run.store(may_have_run, Ordering::Relaxed);
    }
}
