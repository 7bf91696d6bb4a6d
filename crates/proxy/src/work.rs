//! Counts the calls that the local backend server ran, and those that it made itself.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use model::entry::OfferedRequests;
use model::entry::RouteCalls;
use model::entry::RouteExecutions;
use model::entry::SentCalls;
use model::entry::WorkReport;
use model::ids::RouteName;
use model::ids::ServiceName;

#[derive(Clone, Copy, Debug, Default)]
struct RunTotals {
    started: u32,
    refused: u32,
    completed: u32,
    busy: Duration,
}

/// Counts since the last report to control.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkCounter {
    runs: HashMap<RouteName, RunTotals>,
    calls: HashMap<(RouteName, RouteName), u32>,
    sent: HashMap<ServiceName, u32>,
    refused: u32,
    since: Option<Instant>,
}

impl WorkCounter {
    /// Counts a call that is sent to the local backend server.
    pub(crate) fn count_started(&mut self, route: &RouteName) {
        self.runs.entry(route.clone()).or_default().started += 1;
    }

    /// Counts a call that the local backend server answered, with its service time.
    pub(crate) fn count_completed(&mut self, route: &RouteName, busy: Duration) {
        let totals = self.runs.entry(route.clone()).or_default();
        totals.completed += 1;
        totals.busy += busy;
    }

    /// Counts a call that the local backend server refused itself.
    pub(crate) fn count_server_refused(&mut self, route: &RouteName) {
        self.runs.entry(route.clone()).or_default().refused += 1;
    }

    /// Counts a call on `route` that the backend server made while it ran one on `parent`.
    pub(crate) fn count_call(&mut self, parent: &RouteName, route: &RouteName) {
        let key = (parent.clone(), route.clone());
        *self.calls.entry(key).or_default() += 1;
    }

    /// Counts a call that this node sends to a server of `service`.
    pub(crate) fn count_sent(&mut self, service: &ServiceName) {
        *self.sent.entry(service.clone()).or_default() += 1;
    }

    /// Counts a call that was refused here because no slot became free in time.
    pub(crate) fn count_refused(&mut self) {
        self.refused += 1;
    }

    /// Returns the counts and resets them.
    pub(crate) fn take_report(
        &mut self,
        offered: Vec<OfferedRequests>,
        now: Instant,
    ) -> WorkReport {
        let since = self.since.replace(now).unwrap_or(now);
        let window = now.saturating_duration_since(since);
        let runs = self.runs.drain().map(|(route, totals)| RouteExecutions {
            route,
            started: totals.started,
            refused: totals.refused,
            count: totals.completed,
            busy_ms: u32::try_from(totals.busy.as_millis()).unwrap_or(u32::MAX),
        });
        let calls = self
            .calls
            .drain()
            .map(|((parent, route), count)| RouteCalls {
                parent,
                route,
                count,
            });
        let sent = self.sent.drain();
        let sent = sent.map(|(service, count)| SentCalls { service, count });
        WorkReport {
            window_ms: u32::try_from(window.as_millis()).unwrap_or(u32::MAX).max(1),
            offered,
            runs: runs.collect(),
            calls: calls.collect(),
            sent: sent.collect(),
            refused: std::mem::take(&mut self.refused),
        }
    }
}
