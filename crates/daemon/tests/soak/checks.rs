//! Checks the promises against what callers and backend servers saw.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use crate::deployment::GRACE;
use crate::history::ProcessEvent;
use crate::history::ProcessName;
use crate::history::RequestOutcome;
use crate::history::RequestRecord;
use crate::history::RunEnd;
use crate::history::RunRecord;
use crate::history::SoakHistory;

/// Time after which a request whose connection is open has been read.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after a disturbance in which a node is not in touch.
const CONTACT: Duration = Duration::from_secs(3);
/// A request sent later than this after SIGTERM is either answered or not taken.
const LATE_SEND: Duration = Duration::from_secs(3);
/// Work that lasts beyond this part of the grace period may be cut, if it was sent early.
const LAST_SIXTH: Duration = Duration::from_secs(5);
/// Time after the grace period that still counts as a stop.
const STOP_SLACK: Duration = Duration::from_secs(1);
/// Time after which a request is near its timeout.
const NEAR_TIMEOUT: Duration = Duration::from_millis(6_500);
/// Statuses that say that a request has not run and never will.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];

/// What a request that ended with its connection has to do with the promise not to lose it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CutKind {
    /// The node was killed or frozen.
    Disturbed,
    /// The request crossed the node's close, as its time shows, and nothing ran.
    Crossed,
    /// The node closed the connection in its stop with the request unread, and nothing ran.
    Unread,
    /// A backend server was still at work at the end of the grace period, on a request that was
    /// sent early.
    Excused,
    Lost,
}

/// The records of a soak, by request and by process.
#[derive(Debug)]
pub(crate) struct PromiseChecker {
    requests: Vec<RequestRecord>,
    runs: HashMap<String, Vec<RunRecord>>,
    events: Vec<(Instant, ProcessName, ProcessEvent)>,
    /// Times at which this process did not run, and how long.
    stalls: Vec<(Instant, Duration)>,
}

impl PromiseChecker {
    pub(crate) fn new(history: &SoakHistory, stalls: Vec<(Instant, Duration)>) -> Self {
        let mut runs: HashMap<String, Vec<RunRecord>> = HashMap::new();
        for run in history.runs().iter() {
            runs.entry(run.id.clone()).or_default().push(run.clone());
        }
        Self {
            requests: history.requests().clone(),
            runs,
            events: history.events().clone(),
            stalls,
        }
    }

    /// Returns a line for each broken promise.
    pub(crate) fn broken_promises(&self) -> Vec<String> {
        let check = |request| Some((self.broken_promise(request)?, request));
        let broken = self.requests.iter().filter_map(check);
        broken
            .map(|(promise, request)| format!("{promise}: {}", self.describe(request)))
            .collect()
    }

    /// Returns what happened, in one line.
    pub(crate) fn summary(&self) -> String {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for (_, _, event) in &self.events {
            *counts.entry(format!("{event:?}")).or_default() += 1;
        }
        for request in &self.requests {
            let outcome = match &request.outcome {
                RequestOutcome::Answered { status, .. } => status.to_string(),
                RequestOutcome::Cut { .. } => format!("cut {:?}", self.cut_kind(request)),
                RequestOutcome::Silent => "silent".to_owned(),
            };
            *counts.entry(outcome).or_default() += 1;
        }
        let in_stop = |request: &&RequestRecord| self.stop_before(request).is_some();
        let in_stops = self.requests.iter().filter(in_stop).count();
        let count = self.requests.len();
        format!("{count} requests, {in_stops} in stops, {counts:?}")
    }

    fn runs(&self, request: &RequestRecord) -> &[RunRecord] {
        self.runs.get(&request.id).map_or(&[], Vec::as_slice)
    }

    fn broken_promise(&self, request: &RequestRecord) -> Option<&'static str> {
        let runs = self.runs(request);
        if request.is_unsafe && runs.len() > 1 {
            return Some("TWICE");
        }
        match &request.outcome {
            RequestOutcome::Answered { status, .. }
                if request.is_unsafe && REFUSALS.contains(status) && !runs.is_empty() =>
            {
                Some("REFUSED")
            }
            RequestOutcome::Cut { .. } => {
                (self.cut_kind(request) == CutKind::Lost).then_some("LOST")
            }
            RequestOutcome::Answered {
                is_stamped: false, ..
            } if self.is_replaced(request) => Some("LOST (answered by the node)"),
            _ => None,
        }
    }

    /// Returns what a cut request has to do with the promise not to lose it.
    fn cut_kind(&self, request: &RequestRecord) -> CutKind {
        let slack = LOSS_SLACK + self.stall(request);
        let was_read = !self.runs(request).is_empty() || request.ended - request.sent > slack;
        if self.is_disturbed(ProcessName::Node(request.node), request) {
            CutKind::Disturbed
        } else if self.is_unread(request) {
            CutKind::Unread
        } else if !was_read {
            CutKind::Crossed
        } else if self.is_excused(request) {
            CutKind::Excused
        } else {
            CutKind::Lost
        }
    }

    /// Returns whether a node in its stop closed the connection without having read the request.
    ///
    /// A connection is reset only if bytes that were sent on it were never read.
    fn is_unread(&self, request: &RequestRecord) -> bool {
        matches!(&request.outcome, RequestOutcome::Cut { is_reset: true, .. })
            && self.runs(request).is_empty()
            && self.stop_before(request).is_some()
    }

    /// Returns whether a node in its stop broke off a request that a backend server worked on.
    fn is_replaced(&self, request: &RequestRecord) -> bool {
        let is_broken_off = |run: &RunRecord| {
            let server = ProcessName::Node(run.server);
            let is_planned = server != ProcessName::Node(request.node)
                && self.has_event(server, request, GRACE, &[ProcessEvent::Terminated]);
            matches!(run.end, Some((at, RunEnd::CutOff)) if at <= request.ended)
                && !is_planned
                && !self.is_disturbed(server, request)
        };
        self.stop_before(request).is_some()
            && request.ended - request.sent < NEAR_TIMEOUT
            && self.runs(request).iter().any(is_broken_off)
            && !self.is_disturbed(ProcessName::Node(request.node), request)
            && !self.is_excused(request)
    }

    /// Returns whether the process was killed or frozen shortly before or during the request.
    fn is_disturbed(&self, process: ProcessName, request: &RequestRecord) -> bool {
        let disturbances = [
            ProcessEvent::Killed,
            ProcessEvent::Frozen,
            ProcessEvent::Thawed,
        ];
        self.has_event(process, request, CONTACT, &disturbances)
    }

    /// Returns whether one of the events happened during the request or `before` it.
    fn has_event(
        &self,
        process: ProcessName,
        request: &RequestRecord,
        before: Duration,
        events: &[ProcessEvent],
    ) -> bool {
        self.events.iter().any(|(at, name, event)| {
            let is_near = *at + before >= request.sent && *at <= request.ended;
            *name == process && is_near && events.contains(event)
        })
    }

    /// Returns whether a backend server was still at work at the end of the grace period, on a
    /// request that was sent early in the stop.
    fn is_excused(&self, request: &RequestRecord) -> bool {
        let Some(stop) = self.stop_before(request) else {
            return false;
        };
        let is_at_work = |run: &RunRecord| run.end.is_none_or(|(at, _)| at >= stop + LAST_SIXTH);
        request.sent <= stop + LATE_SEND && self.runs(request).iter().any(is_at_work)
    }

    /// Returns when the stop began in which the request ended.
    fn stop_before(&self, request: &RequestRecord) -> Option<Instant> {
        let mut stop = None;
        for (at, process, event) in &self.events {
            if *process != ProcessName::Node(request.node) || *at > request.ended {
                continue;
            }
            match event {
                ProcessEvent::Started if *at > request.sent => {}
                ProcessEvent::Started => stop = None,
                ProcessEvent::Terminated => stop = stop.or(Some(*at)),
                _ => {}
            }
        }
        stop.filter(|stop| request.ended <= *stop + GRACE + STOP_SLACK)
    }

    /// Returns for how long this process did not run during a request.
    fn stall(&self, request: &RequestRecord) -> Duration {
        let during = |(at, _): &&(Instant, Duration)| request.sent <= *at && *at <= request.ended;
        let stalls = self.stalls.iter().filter(during);
        stalls.map(|(_, time)| *time).max().unwrap_or_default()
    }

    fn describe(&self, request: &RequestRecord) -> String {
        let stop = self.stop_before(request);
        let zero = stop.unwrap_or(request.sent);
        let since = |at: Instant| {
            let early = zero.saturating_duration_since(at).as_secs_f64();
            at.saturating_duration_since(zero).as_secs_f64() - early
        };
        let since_what = stop.map_or("it was sent", |_| "SIGTERM");
        let kind = if request.is_unsafe { "POST" } else { "GET" };
        let mut line = format!(
            "{kind} {} at node-{}, seconds since {since_what}: sent {:+.3}",
            request.id,
            request.node,
            since(request.sent)
        );
        for run in self.runs(request) {
            let (server, began) = (run.server, since(run.began));
            let end = run.end.map_or("no end".to_owned(), |(at, end)| {
                format!("{end:?} {:+.3}", since(at))
            });
            let _ = write!(line, ", run at server {server} {began:+.3} ({end})");
        }
        let node = ProcessName::Node(request.node);
        for (at, process, event) in &self.events {
            let is_near = *at + GRACE >= request.sent && *at <= request.ended + STOP_SLACK;
            if *process == node && is_near {
                let _ = write!(line, ", {event:?} {:+.3}", since(*at));
            }
        }
        let ended = since(request.ended);
        let _ = write!(line, ", ended {ended:+.3}: {:?}", request.outcome);
        line
    }
}
