//! Watches the calls at the local backend server for stalled connections.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use admit::AbandonReason;
use admit::StalledCall;
use bytes::Bytes;
use clock::Clock;
use fleet::CallHead;
use fleet::FailureReason;
use fleet::ProtocolAdapter;
use fleet::ServerAnnouncement;
use model::ids::RouteName;
use tokio::pin;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::local_server::LocalServer;
use crate::local_server::ParentCall;
use crate::retry::AttemptOutcome;
use crate::state::ProxyState;
use crate::state::lock;

/// Kind of the metrics on stalled connections.
const STALLED: &str = "stalled-connection";

/// A call that is sent to the backend server, alone on its connection.
#[derive(Debug)]
pub(super) struct SentCall {
    pub(super) id: u64,
    route: RouteName,
    /// When the server must have finished it.
    pub(super) deadline: Instant,
    is_stalled: AtomicBool,
    /// Whether a stalled connection is closed, since the call may be sent elsewhere.
    is_closed: AtomicBool,
    stalled: Notify,
}

impl SentCall {
    pub(super) fn new(id: u64, route: RouteName, deadline: Instant) -> Self {
        Self {
            id,
            route,
            deadline,
            is_stalled: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            stalled: Notify::new(),
        }
    }

    /// Returns whether the connection is stalled, so that it must not be used again.
    pub(super) fn is_stalled(&self) -> bool {
        self.is_stalled.load(Ordering::Relaxed)
    }

    /// Notes that the connection is stalled; a probe keeps it even if it could be closed.
    fn mark_stalled(&self, is_probe: bool) {
        self.is_closed.store(!is_probe, Ordering::Relaxed);
        self.is_stalled.store(true, Ordering::Relaxed);
        self.stalled.notify_one();
    }
}

impl LocalServer {
    /// Runs a call on its connection until the deadline, which is `left` away.
    ///
    /// On a stalled connection an idempotent call ends at once. Any other call waits on, so that
    /// an answer that still comes is delivered.
    pub(super) async fn run_sent<C: Clock, A: ProtocolAdapter>(
        &self,
        proxy: &ProxyState<C, A>,
        head: &CallHead,
        body: Bytes,
        server: &ServerAnnouncement,
        (sent, left): (&SentCall, Duration),
    ) -> AttemptOutcome {
        let exchange = timeout(
            left,
            self.send_call(proxy, head, body, server, (sent, left)),
        );
        pin!(exchange);
        let outcome = tokio::select! {
            biased;
            outcome = &mut exchange => outcome,
            () = sent.stalled.notified() => {
                if head.idempotent && sent.is_closed.load(Ordering::Relaxed) {
                    let cause = FailureReason::Stalled;
                    return AttemptOutcome::Failed { cause };
                }
                exchange.await
            }
        };
        let outcome = outcome.unwrap_or(AttemptOutcome::Failed {
            cause: FailureReason::Timeout,
        });
        if sent.is_stalled() && matches!(outcome, AttemptOutcome::Answered { .. }) {
            proxy.metrics.count(STALLED, "answered-late");
        }
        outcome
    }

    /// Notes that a request begins to be written to its connection.
    pub(super) fn note_sent(&self, sent: &SentCall, now: Instant) {
        let mut state = lock(&self.state);
        state.stalls.begin(sent.id, &sent.route, now);
    }

    /// Notes that a part of the response was received.
    pub(super) fn note_progress(&self, sent: &SentCall, now: Instant) {
        lock(&self.state).stalls.note_progress(sent.id, now);
    }

    /// Looks for connections that have stalled; must be called about every 50 ms.
    pub(crate) fn check_stalls<C: Clock, A: ProtocolAdapter>(&self, proxy: &ProxyState<C, A>) {
        let now = proxy.now();
        for (call, sent) in self.take_stalled(now) {
            let detail = if call.is_probe { "probe" } else { "found" };
            proxy.metrics.count(STALLED, detail);
            if proxy.may_log_request() {
                let silent_ms = call.silence.as_millis();
                let left_ms = sent.deadline.saturating_duration_since(now).as_millis();
                tracing::info!(event = "connection-stalled", route = %sent.route, silent_ms,
                    left_ms, probe = call.is_probe, abandoned = self.abandoned_calls());
            }
        }
        let abandoned = u64::from(self.abandoned_calls());
        proxy.metrics.set("abandoned-calls", abandoned);
    }

    /// Counts the calls on connections that have stalled since the last check as abandoned.
    fn take_stalled(&self, now: Instant) -> Vec<(StalledCall, Arc<SentCall>)> {
        let mut state = lock(&self.state);
        let mut stalled = Vec::new();
        let mut changes = Vec::new();
        for call in state.stalls.check(now) {
            let Some(sent) = state.sent.get(&call.id).cloned() else {
                continue;
            };
            let (reason, until) = (AbandonReason::Stalled, sent.deadline);
            changes.push(state.limiter.abandon(call.id, reason, until, now));
            sent.mark_stalled(call.is_probe);
            stalled.push((call, sent));
        }
        drop(state);
        for change in changes {
            self.notify_waiters(change);
        }
        stalled
    }

    /// Returns how many calls the server may run besides those in flight.
    pub(crate) fn abandoned_calls(&self) -> u32 {
        lock(&self.state).limiter.abandoned()
    }

    /// Notes that the backend server makes a call on behalf of `parent`, until the result is
    /// dropped.
    pub(crate) fn begin_child<C: Clock>(&self, parent: &ParentCall, clock: C) -> ChildCall<C> {
        lock(&self.state).stalls.begin_child(parent.call);
        ChildCall {
            server: self.clone(),
            parent: parent.call,
            clock,
        }
    }
}

/// A call that the backend server makes while it runs another one, which is therefore not stalled.
#[derive(Debug)]
pub(crate) struct ChildCall<C: Clock> {
    server: LocalServer,
    parent: u64,
    clock: C,
}

impl<C: Clock> Drop for ChildCall<C> {
    fn drop(&mut self) {
        let now = self.clock.now();
        lock(&self.server.state).stalls.end_child(self.parent, now);
    }
}
