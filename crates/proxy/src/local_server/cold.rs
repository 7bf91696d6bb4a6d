//! Whether the local backend server is cold, and what it tolerates until it is warm.
//!
//! Only backend servers of services with a cold limit are concerned. Announcements and answers to
//! health checks state the remaining cold time; the later statement counts.

use std::time::Duration;
use std::time::Instant;

use admit::PaceLimit;
use clock::Clock;
use fleet::ColdLimit;
use fleet::ProtocolAdapter;
use fleet::ServerAnnouncement;
use settings::DeploymentBounds;
use tracing::info;

use crate::local_server::LocalServer;
use crate::local_server::LocalServerState;
use crate::local_server::health_check::CheckTarget;
use crate::state::ProxyState;
use crate::state::lock;

/// Thousandths of a request.
const MILLI_PER_REQUEST: f64 = 1000.0;
/// Interval between health checks of a warm server, in milliseconds. Each check occupies a slot
/// of the server for 6 ms.
const WARM_CHECK_PERIOD_MS: u64 = 500;
/// Time without a statement after which a cold server is checked, in milliseconds. Announcements
/// come every 1.5 s, and each check takes a request of the pace from calls.
const COLD_CHECK_PERIOD_MS: u64 = 2_000;

/// What is known of the cold time of the local backend server.
#[derive(Debug, Default)]
pub(super) struct ColdState {
    limit: Option<ColdLimit>,
    /// When the cold period under way was noticed.
    since: Option<Instant>,
    /// Slots to publish during the cold period.
    pub(super) slots: Option<u32>,
    /// When the server last stated its remaining cold time, or may have been restarted.
    noted_at: Option<Instant>,
    /// Whether the server may have been restarted since it last stated the time.
    is_assumed: bool,
    /// When the last health check was sent.
    checked_at: Option<Instant>,
    is_checking: bool,
    /// Length of the earlier cold periods together.
    past: Duration,
}

impl ColdState {
    /// Returns whether a health check is due.
    fn is_check_due(&self, is_cold: bool, now: Instant) -> bool {
        if self.limit.is_none() || self.is_checking {
            return false;
        }
        let (last, period_ms) = if is_cold && !self.is_assumed {
            (self.checked_at.max(self.noted_at), COLD_CHECK_PERIOD_MS)
        } else {
            (self.checked_at, WARM_CHECK_PERIOD_MS)
        };
        last.is_none_or(|at| now >= at + Duration::from_millis(period_ms))
    }
}

impl LocalServerState {
    /// Returns the slots to publish: those of a cold server cover only the rate that it tolerates.
    pub(super) fn published_slots(&self) -> u32 {
        let announced = self.announcement.as_ref().map_or(0, |known| known.slots);
        self.cold
            .slots
            .map_or(announced, |slots| slots.min(announced))
    }

    /// Returns the warm-up time to publish. Where there is a cold limit, the published slots show
    /// the effect of the cold time already.
    pub(super) fn published_warm_up(&self, now: Instant) -> Duration {
        let until = self.warm_up_until.filter(|_| self.cold.limit.is_none());
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Applies the remaining cold time that the server stated.
    pub(super) fn apply_cold_left(&mut self, left: Duration, source: &str, now: Instant) {
        self.warm_up_until = (!left.is_zero()).then(|| now + left);
        self.cold.noted_at = Some(now);
        self.cold.is_assumed = false;
        self.update_cold(source, now);
    }

    /// Notes whether the server is cold by now.
    fn update_cold(&mut self, source: &str, now: Instant) {
        self.limiter.set_cold_until(self.warm_up_until);
        let is_cold = self.limiter.is_cold(now);
        let server = self.announcement.as_ref().map(|known| &*known.server);
        let server = server.unwrap_or("-");
        match (self.cold.since, is_cold) {
            (None, true) => {
                self.cold.since = Some(now);
                let until = self.warm_up_until.unwrap_or(now);
                let left_ms = until.saturating_duration_since(now).as_millis();
                let running = self.limiter.load().in_flight;
                info!(event = "server-cold", server, source, left_ms, running);
            }
            (Some(since), false) => {
                self.cold.since = None;
                let length = now.saturating_duration_since(since);
                self.cold.past += length;
                let cold_ms = length.as_millis();
                info!(event = "server-warm", server, source, cold_ms);
            }
            (None, false) | (Some(_), true) => {}
        }
        self.cold.slots = is_cold.then(|| self.limiter.usable_slots(now));
    }
}

impl LocalServer {
    /// Sets what the backend server tolerates while it is cold; returns whether this changes the
    /// record that the node publishes.
    pub(crate) fn set_cold_limit(
        &self,
        limit: Option<ColdLimit>,
        bounds: &DeploymentBounds,
        now: Instant,
    ) -> bool {
        let pace = limit.map(|limit| {
            let rate_per_s = limit.rate_milli as f64 / MILLI_PER_REQUEST;
            let target_per_s = rate_per_s * bounds.cold_overage_factor;
            PaceLimit::new(target_per_s, bounds.cold_slack_requests)
        });
        self.change_cold(now, |state| {
            state.cold.limit = limit;
            state.limiter.set_pace_limit(pace, now);
            state.update_cold("config", now);
        })
    }

    /// Notes the end of a cold period; returns whether this changes the record that the node
    /// publishes.
    pub(super) fn end_cold_period(&self, now: Instant) -> bool {
        let state = lock(&self.state);
        if state.cold.since.is_none() || state.limiter.is_cold(now) {
            return false;
        }
        drop(state);
        self.change_cold(now, |state| state.update_cold("time", now))
    }

    /// Takes the backend server for cold, because it may have been restarted: until it states its
    /// remaining cold time, or for the time that the configuration names.
    pub(crate) fn assume_cold<C: Clock, A: ProtocolAdapter>(&self, proxy: &ProxyState<C, A>) {
        let now = proxy.now();
        let is_changed = self.change_cold(now, |state| {
            let Some(limit) = state.cold.limit.filter(|limit| !limit.duration.is_zero()) else {
                return;
            };
            let until = now + limit.duration;
            state.warm_up_until = state.warm_up_until.max(Some(until));
            state.cold.noted_at = Some(now);
            state.cold.is_assumed = true;
            state.update_cold("restart", now);
        });
        if is_changed {
            proxy.publish_record();
        }
    }

    /// Begins a health check if one is due and delays no call.
    pub(super) fn begin_check(&self, now: Instant) -> Option<CheckTarget> {
        let mut state = lock(&self.state);
        let state = &mut *state;
        let is_cold = state.limiter.is_cold(now);
        if !state.accepts_calls() || !state.cold.is_check_due(is_cold, now) {
            return None;
        }
        let announcement = state.announcement.as_ref()?;
        if !state.limiter.try_check(now) {
            return None;
        }
        state.cold.checked_at = Some(now);
        state.cold.is_checking = true;
        Some(CheckTarget {
            server: announcement.server.clone(),
            started_at_ms: announcement.started_at_ms,
            sent: now,
        })
    }

    /// Ends a health check that found `cold_left`; returns whether this changes the record that
    /// the node publishes.
    ///
    /// The answer counts only for the process that was asked. One that shortens the cold time
    /// does not count if the server stated the time, or may have been restarted, after the check
    /// was sent.
    pub(super) fn end_check(
        &self,
        target: &CheckTarget,
        cold_left: Option<Duration>,
        now: Instant,
    ) -> bool {
        self.change_cold(now, |state| {
            state.cold.is_checking = false;
            let announcement = state.announcement.as_ref();
            let is_same = announcement.is_some_and(|known| target.is_process(known));
            let Some(left) = cold_left.filter(|_| is_same) else {
                return;
            };
            let is_shorter = state.warm_up_until.is_some_and(|until| now + left < until);
            let is_overtaken = state.cold.noted_at.is_some_and(|at| at > target.sent);
            if !(is_shorter && is_overtaken) {
                state.apply_cold_left(left, "health", now);
            }
        })
    }

    /// Returns for how many seconds the backend server has been cold in all; `None` without a
    /// cold limit.
    pub(crate) fn cold_seconds(&self, now: Instant) -> Option<u64> {
        let cold = &lock(&self.state).cold;
        cold.limit?;
        let since = cold.since.unwrap_or(now);
        let total = cold.past + now.saturating_duration_since(since);
        Some(total.as_secs())
    }

    /// Applies a change to what is known of the cold time, and starts the calls that may run
    /// then; returns whether the published slots changed.
    fn change_cold(&self, now: Instant, change: impl FnOnce(&mut LocalServerState)) -> bool {
        let mut state = lock(&self.state);
        let before = state.published_slots();
        change(&mut state);
        let is_changed = state.published_slots() != before;
        drop(state);
        self.process_queue(now);
        is_changed
    }
}

impl CheckTarget {
    /// Returns whether an announcement is of the process that was asked.
    fn is_process(&self, known: &ServerAnnouncement) -> bool {
        known.server == self.server && known.started_at_ms == self.started_at_ms
    }
}
