//! Crash reports of nodes, and the quarantine derived from them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use admit::SuspectRegistry;
use clock::Clock;
use model::exchange::CrashReport;
use model::exchange::QuarantineNotice;
use model::ids::NodeId;
use model::ids::ServiceName;

/// Retention time of reports for unreachable peers, in seconds.
const RETENTION_S: u64 = 60;
/// Maximum number of reports kept for peers; the oldest is dropped first.
const REPORTS_MAX: usize = 1_024;

/// Collects crash reports of nodes and peers, and lists the requests that nodes must refuse.
#[derive(Debug)]
pub struct CrashReports<C> {
    clock: C,
    state: Mutex<CrashReportsState<C>>,
}

#[derive(Debug)]
struct CrashReportsState<C> {
    suspect_registry: SuspectRegistry<C>,
    last_position: u64,
    local: BTreeMap<u64, TimedReport>,
    seen: BTreeSet<(NodeId, u32)>,
}

/// A report of a node served by this instance, to be sent to the peers.
#[derive(Debug)]
struct TimedReport {
    at: Instant,
    report: CrashReport,
}

/// Crash reports to send to a peer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportBatch {
    /// Position of the last report.
    pub cursor: u64,
    /// The reports.
    pub reports: Vec<CrashReport>,
}

impl<C: Clock> CrashReports<C> {
    /// Creates an empty collection.
    pub fn new(clock: C) -> Self {
        let state = CrashReportsState {
            suspect_registry: SuspectRegistry::new(clock.clone()),
            last_position: 0,
            local: BTreeMap::new(),
            seen: BTreeSet::new(),
        };
        Self {
            clock,
            state: Mutex::new(state),
        }
    }

    /// Adds reports of a node served by this instance.
    pub fn add_reports(&self, reports: &[CrashReport]) {
        if reports.is_empty() {
            return;
        }
        let at = self.clock.now();
        let mut state = self.lock();
        for report in reports {
            let _ = state.suspect_registry.record_crash(report);
            if state.seen.insert((report.node, report.crash)) {
                state.add_local_report(at, report.clone());
            }
        }
    }

    /// Adds reports sent by a peer.
    pub fn add_peer_reports(&self, reports: &[CrashReport]) {
        let mut state = self.lock();
        for report in reports {
            let _ = state.suspect_registry.record_crash(report);
        }
    }

    /// Returns the reports of this instance's nodes after `cursor`.
    #[must_use]
    pub fn reports_since(&self, cursor: u64) -> ReportBatch {
        let state = self.lock();
        let later = state.local.range(cursor + 1..);
        ReportBatch {
            cursor: state.last_position,
            reports: later.map(|(_, timed)| timed.report.clone()).collect(),
        }
    }

    /// Returns the requests that a node must refuse, given the service it serves and those it
    /// calls.
    #[must_use]
    pub fn quarantine_notices(
        &self,
        service: &ServiceName,
        interests: &[ServiceName],
    ) -> Vec<QuarantineNotice> {
        let mut notices = self.lock().suspect_registry.notices();
        notices.retain(|notice| notice.service == *service || interests.contains(&notice.service));
        notices
    }

    /// Removes reports older than the retention time, in which all peers could receive them.
    pub fn expire_reports(&self) {
        let now = self.clock.now();
        let retention = Duration::from_secs(RETENTION_S);
        let mut state = self.lock();
        while let Some(first) = state.local.first_entry() {
            if now.saturating_duration_since(first.get().at) < retention {
                return;
            }
            let expired = first.remove().report;
            state.seen.remove(&(expired.node, expired.crash));
        }
    }

    fn lock(&self) -> MutexGuard<'_, CrashReportsState<C>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C> CrashReportsState<C> {
    fn add_local_report(&mut self, at: Instant, report: CrashReport) {
        self.last_position += 1;
        self.local
            .insert(self.last_position, TimedReport { at, report });
        if self.local.len() <= REPORTS_MAX {
            return;
        }
        if let Some((_, oldest)) = self.local.pop_first() {
            let oldest = oldest.report;
            self.seen.remove(&(oldest.node, oldest.crash));
        }
    }
}
