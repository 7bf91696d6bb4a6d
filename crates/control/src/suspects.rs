//! Crash reports of the nodes and the quarantine that follows from them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::exchange::CrashReport;
use model::exchange::QuarantineNotice;
use model::ids::Fingerprint;
use model::ids::NodeId;
use model::ids::ServiceName;

/// Different crashes after which a request is quarantined.
const QUARANTINE_CRASHES: usize = 2;
/// Time for which crashes are remembered and requests stay quarantined, in seconds.
const RETENTION_S: u64 = 600;
/// Crash reports remembered at most; the oldest make room.
const REPORTS_MAX: usize = 1_024;

/// Crash reports from all nodes; each crash counts once.
#[derive(Debug)]
pub struct SuspectDesk<C> {
    clock: C,
    state: Mutex<DeskState>,
}

#[derive(Debug, Default)]
struct DeskState {
    last: u64,
    reports: BTreeMap<u64, TimedReport>,
    seen: BTreeSet<(NodeId, u32)>,
}

#[derive(Debug)]
struct TimedReport {
    at: Instant,
    report: CrashReport,
    /// Whether a node of this instance reported it, so that the peers must be told.
    own: bool,
}

/// Crash reports that a peer must be told of.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReportBatch {
    /// Position of the last report.
    pub cursor: u64,
    /// The reports.
    pub reports: Vec<CrashReport>,
}

impl<C: Clock> SuspectDesk<C> {
    /// Creates an empty desk.
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            state: Mutex::default(),
        }
    }

    /// Takes reports over from a node of this instance; always succeeds.
    pub fn report(&self, reports: &[CrashReport]) -> bool {
        self.record(reports, true);
        true
    }

    /// Takes reports over that a peer tells of.
    pub fn absorb(&self, reports: &[CrashReport]) {
        self.record(reports, false);
    }

    /// Returns the reports of this instance's nodes after `cursor`.
    #[must_use]
    pub fn since(&self, cursor: u64) -> ReportBatch {
        let state = self.lock();
        let later = state.reports.range(cursor + 1..);
        let own = later.filter(|(_, timed)| timed.own);
        ReportBatch {
            cursor: state.last,
            reports: own.map(|(_, timed)| timed.report.clone()).collect(),
        }
    }

    /// Returns what every node must refuse.
    #[must_use]
    pub fn notices(&self) -> Vec<QuarantineNotice> {
        let now = self.clock.now();
        let retention = Duration::from_secs(RETENTION_S);
        let state = self.lock();
        if state.reports.len() < QUARANTINE_CRASHES {
            return Vec::new();
        }
        let mut crashes: BTreeMap<(&ServiceName, Fingerprint), Vec<Instant>> = BTreeMap::new();
        for timed in state.reports.values() {
            let suspects: BTreeSet<_> = timed.report.suspects.iter().copied().collect();
            for suspect in suspects {
                let key = (&timed.report.service, suspect);
                crashes.entry(key).or_default().push(timed.at);
            }
        }
        let repeated = crashes
            .into_iter()
            .filter(|(_, at)| at.len() >= QUARANTINE_CRASHES);
        let notices = repeated.map(|((service, fingerprint), at)| {
            let last = at.into_iter().max().unwrap_or(now);
            QuarantineNotice {
                service: service.clone(),
                fingerprint,
                time_left: (last + retention).saturating_duration_since(now),
            }
        });
        notices.collect()
    }

    /// Forgets reports older than the retention period.
    pub fn expire(&self) {
        let now = self.clock.now();
        let retention = Duration::from_secs(RETENTION_S);
        let mut state = self.lock();
        while let Some(first) = state.reports.first_entry() {
            if now.saturating_duration_since(first.get().at) < retention {
                return;
            }
            let ended = first.remove().report;
            state.seen.remove(&(ended.node, ended.crash));
        }
    }

    fn record(&self, reports: &[CrashReport], own: bool) {
        if reports.is_empty() {
            return;
        }
        let at = self.clock.now();
        let mut state = self.lock();
        for report in reports {
            if !state.seen.insert((report.node, report.crash)) {
                continue;
            }
            state.last += 1;
            let position = state.last;
            let report = report.clone();
            state
                .reports
                .insert(position, TimedReport { at, report, own });
            if state.reports.len() > REPORTS_MAX
                && let Some((_, oldest)) = state.reports.pop_first()
            {
                let oldest = oldest.report;
                state.seen.remove(&(oldest.node, oldest.crash));
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, DeskState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
