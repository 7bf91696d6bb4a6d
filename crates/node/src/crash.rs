//! Notices that the backend server died, and what it ran then.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use admit::CrashQuarantine;
use admit::QuarantineDecision;
use clock::Clock;
use model::exchange::CrashReport;
use model::exchange::QuarantineNotice;
use model::ids::Fingerprint;
use model::ids::NodeId;
use model::ids::ServiceName;

/// Crashes that are kept until control took them over.
const REPORTS_MAX: usize = 16;

/// Suspects taken from another node's report.
const TOLD_MAX: usize = 1_024;

/// Crashes of the backend server and suspects of crashes.
#[derive(Debug)]
pub(crate) struct CrashWatch<C> {
    clock: C,
    watched: Mutex<WatchedCrashes<C>>,
}

#[derive(Debug)]
struct WatchedCrashes<C> {
    trials: Option<ServiceTrials<C>>,
    reports: Vec<CrashReport>,
    crash: u32,
}

#[derive(Debug)]
struct ServiceTrials<C> {
    service: ServiceName,
    book: CrashQuarantine<C>,
}

impl<C: Clock> CrashWatch<C> {
    /// Creates a watch without suspects.
    pub(crate) fn new(clock: C) -> Self {
        Self {
            clock,
            watched: Mutex::new(WatchedCrashes {
                trials: None,
                reports: Vec::new(),
                crash: 0,
            }),
        }
    }

    /// Decides whether a call may run as far as crashes are concerned.
    pub(crate) fn check(
        &self,
        service: &ServiceName,
        fingerprint: Fingerprint,
    ) -> QuarantineDecision {
        self.with_book(service, |book| book.check(fingerprint))
    }

    /// Notes that a call that was allowed to run has ended.
    pub(crate) fn ended(&self, service: &ServiceName, fingerprint: Fingerprint, completed: bool) {
        self.with_book(service, |book| book.record_end(fingerprint, completed));
    }

    /// Notes that the backend server died while it ran these calls.
    ///
    /// Returns the report, for control and for the other nodes of the service.
    pub(crate) fn crashed(
        &self,
        node: NodeId,
        service: &ServiceName,
        in_flight: &[Fingerprint],
    ) -> CrashReport {
        let suspects = self.with_book(service, |book| book.record_crash(in_flight));
        let mut watched = self.lock();
        watched.crash += 1;
        let report = CrashReport {
            service: service.clone(),
            node,
            crash: watched.crash,
            suspects,
        };
        if watched.reports.len() == REPORTS_MAX {
            watched.reports.remove(0);
        }
        watched.reports.push(report.clone());
        report
    }

    /// Takes over a crash that another node of the service tells of.
    pub(crate) fn told(&self, report: &CrashReport) {
        let suspects = &report.suspects[..report.suspects.len().min(TOLD_MAX)];
        self.with_book(&report.service, |book| book.add_reported(suspects));
    }

    /// Takes over what control says is refused.
    pub(crate) fn update(&self, service: &ServiceName, notices: &[QuarantineNotice]) {
        self.with_book(service, |book| book.update(notices));
    }

    /// Returns the crashes that control has not taken over yet.
    pub(crate) fn reports(&self) -> Vec<CrashReport> {
        self.lock().reports.clone()
    }

    /// Forgets reports that control took over.
    pub(crate) fn taken(&self, taken: &[CrashReport]) {
        let mut watched = self.lock();
        let open = |report: &CrashReport| !taken.iter().any(|old| old.crash == report.crash);
        watched.reports.retain(open);
    }

    /// Calls `action` with the book of the service; a node that changes its service starts anew.
    fn with_book<R>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut CrashQuarantine<C>) -> R,
    ) -> R {
        let mut watched = self.lock();
        let known = watched.trials.take();
        let mut trials = known
            .filter(|trials| trials.service == *service)
            .unwrap_or_else(|| ServiceTrials {
                service: service.clone(),
                book: CrashQuarantine::new(self.clock.clone(), service.clone()),
            });
        let result = action(&mut trials.book);
        watched.trials = Some(trials);
        result
    }

    fn lock(&self) -> MutexGuard<'_, WatchedCrashes<C>> {
        self.watched.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
