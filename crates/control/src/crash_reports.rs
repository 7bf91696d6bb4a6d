//! Crash reports of the nodes and the quarantine that follows from them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use admit::SuspectBook;
use clock::Clock;
use model::exchange::CrashReport;
use model::exchange::QuarantineNotice;
use model::ids::NodeId;
use model::ids::ServiceName;

/// Time for which reports are kept for peers that cannot be reached, in seconds.
const RETENTION_S: u64 = 60;
/// Crash reports kept for peers at most; the oldest make room.
const REPORTS_MAX: usize = 1_024;

/// Takes crash reports over from nodes and peers, and says what nodes must refuse.
#[derive(Debug)]
pub struct CrashReports<C> {
    clock: C,
    state: Mutex<CrashReportsState<C>>,
}

#[derive(Debug)]
struct CrashReportsState<C> {
    book: SuspectBook<C>,
    last: u64,
    own: BTreeMap<u64, TimedReport>,
    known: BTreeSet<(NodeId, u32)>,
}

/// A report of a node of this instance, which the peers must be told.
#[derive(Debug)]
struct TimedReport {
    at: Instant,
    report: CrashReport,
}

/// Crash reports that a peer must be told of.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportBatch {
    /// Position of the last report.
    pub cursor: u64,
    /// The reports.
    pub reports: Vec<CrashReport>,
}

impl<C: Clock> CrashReports<C> {
    /// Creates an empty desk.
    pub fn new(clock: C) -> Self {
        let state = CrashReportsState {
            book: SuspectBook::new(clock.clone()),
            last: 0,
            own: BTreeMap::new(),
            known: BTreeSet::new(),
        };
        Self {
            clock,
            state: Mutex::new(state),
        }
    }

    /// Takes over reports of a node of this instance.
    pub fn add_reports(&self, reports: &[CrashReport]) {
        if reports.is_empty() {
            return;
        }
        let at = self.clock.now();
        let mut state = self.lock();
        for report in reports {
            let _ = state.book.record(report);
            if state.known.insert((report.node, report.crash)) {
                state.keep(at, report.clone());
            }
        }
    }

    /// Takes over reports that a peer tells of.
    pub fn add_peer_reports(&self, reports: &[CrashReport]) {
        let mut state = self.lock();
        for report in reports {
            let _ = state.book.record(report);
        }
    }

    /// Returns the reports of this instance's nodes after `cursor`.
    #[must_use]
    pub fn reports_since(&self, cursor: u64) -> ReportBatch {
        let state = self.lock();
        let later = state.own.range(cursor + 1..);
        ReportBatch {
            cursor: state.last,
            reports: later.map(|(_, timed)| timed.report.clone()).collect(),
        }
    }

    /// Returns what a node that serves or calls these services must refuse.
    #[must_use]
    pub fn quarantine_notices(
        &self,
        own: &ServiceName,
        interests: &[ServiceName],
    ) -> Vec<QuarantineNotice> {
        let mut notices = self.lock().book.notices();
        notices.retain(|notice| notice.service == *own || interests.contains(&notice.service));
        notices
    }

    /// Forgets reports that all peers had time to learn of.
    pub fn expire_reports(&self) {
        let now = self.clock.now();
        let retention = Duration::from_secs(RETENTION_S);
        let mut state = self.lock();
        while let Some(first) = state.own.first_entry() {
            if now.saturating_duration_since(first.get().at) < retention {
                return;
            }
            let ended = first.remove().report;
            state.known.remove(&(ended.node, ended.crash));
        }
    }

    fn lock(&self) -> MutexGuard<'_, CrashReportsState<C>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C> CrashReportsState<C> {
    fn keep(&mut self, at: Instant, report: CrashReport) {
        self.last += 1;
        self.own.insert(self.last, TimedReport { at, report });
        if self.own.len() <= REPORTS_MAX {
            return;
        }
        if let Some((_, oldest)) = self.own.pop_first() {
            let oldest = oldest.report;
            self.known.remove(&(oldest.node, oldest.crash));
        }
    }
}
