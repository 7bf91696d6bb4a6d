//! The stop of a node: its schedule, how its tasks learn of it, and which of them are open.

use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::stop_schedule::StopPhase;
use crate::stop_schedule::StopSchedule;

/// Tells the tasks of a node about its stop, and counts those that it has to wait for.
#[derive(Debug, Default)]
pub(crate) struct StopControl {
    schedule: OnceLock<StopSchedule>,
    has_ended: AtomicBool,
    finishing: CancellationToken,
    ending: CancellationToken,
    connections_closing: CancellationToken,
    links_closing: CancellationToken,
    links_flushed: CancellationToken,
    /// Connections of callers and of the local backend server.
    pub(crate) connections: TaskTracker,
    /// Calls that the local backend server runs, or will.
    pub(crate) server_calls: TaskTracker,
    /// Calls from other nodes.
    pub(crate) calls: TaskTracker,
    /// Links on which other nodes send calls.
    pub(crate) links: TaskTracker,
    /// Links with answers that may not have been sent yet.
    pub(crate) unflushed_links: TaskTracker,
}

impl StopControl {
    /// Begins the stop; a stop that has begun goes on as planned.
    pub(crate) fn request(&self, now: Instant, grace: Duration) -> StopSchedule {
        *self.schedule.get_or_init(|| StopSchedule::new(now, grace))
    }

    pub(crate) fn is_requested(&self) -> bool {
        self.schedule.get().is_some()
    }

    /// Returns how long after the stop request `at` was, if there was one by then.
    pub(crate) fn since_request(&self, at: Instant) -> Option<Duration> {
        at.checked_duration_since(self.schedule.get()?.requested_at())
    }

    /// Returns whether a request or call that is read at `now` is taken.
    pub(crate) fn takes_calls(&self, now: Instant) -> bool {
        let schedule = self.schedule.get();
        schedule.is_none_or(|schedule| schedule.phase(now) < StopPhase::Finishing)
    }

    /// Returns whether a call that the local backend server makes for a request under way, and
    /// that ends by `deadline`, is taken at `now`.
    pub(crate) fn takes_child(&self, now: Instant, deadline: Instant) -> bool {
        let schedule = self.schedule.get();
        self.takes_calls(now) || schedule.is_some_and(|it| it.has_time_for_child(deadline))
    }

    /// Returns the deadline of a request or call that is taken now.
    pub(crate) fn limit_deadline(&self, deadline: Instant) -> Instant {
        let schedule = self.schedule.get();
        schedule.map_or(deadline, |schedule| schedule.limit_deadline(deadline))
    }

    /// Tells the tasks that wait for it that `phase` has begun.
    pub(crate) fn announce(&self, phase: StopPhase) {
        if phase >= StopPhase::Finishing {
            self.finishing.cancel();
        }
        if phase >= StopPhase::Ending {
            self.ending.cancel();
        }
    }

    /// Waits until nothing new is taken any more.
    pub(crate) async fn finishing(&self) {
        self.finishing.cancelled().await;
    }

    /// Waits until whatever has no answer yet must get one.
    pub(crate) async fn ending(&self) {
        self.ending.cancelled().await;
    }

    /// Closes the listener for callers and idle connections, unless the local backend server
    /// still has calls to make for what it runs; to be called repeatedly from `phase` finishing.
    pub(crate) fn close_connections(&self, phase: StopPhase) {
        if phase >= StopPhase::Ending
            || (phase == StopPhase::Finishing && self.server_calls.is_empty())
        {
            self.connections_closing.cancel();
        }
    }

    /// Waits until idle connections have to close, and no new one is accepted.
    pub(crate) async fn connections_closing(&self) {
        self.connections_closing.cancelled().await;
    }

    /// Waits until the links from other nodes have to close.
    pub(crate) async fn links_closing(&self) {
        self.links_closing.cancelled().await;
    }

    /// Waits until every link from another node has sent the answers to its calls.
    pub(crate) async fn links_flushed(&self) {
        self.links_flushed.cancelled().await;
    }

    /// Waits until the links from other nodes have sent all answers and closed.
    ///
    /// None of them closes before all have sent theirs, since a call that arrives on a link that
    /// has closed counts as one that may have run.
    pub(crate) async fn close_links(&self) {
        self.links_closing.cancel();
        self.unflushed_links.close();
        self.unflushed_links.wait().await;
        self.links_flushed.cancel();
        self.links.close();
        self.links.wait().await;
    }

    /// Returns the number of open connections and calls.
    pub(crate) fn open_count(&self) -> usize {
        self.connections.len() + self.calls.len()
    }

    /// Notes that the process ends now, so that whatever is dropped from here on is cut.
    pub(crate) fn end(&self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Relaxed)
    }
}
