//! Records crashes of the backend server, and decides which calls may run after them.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use admit::TrialBook;
use admit::TrialDecision;
use clock::Clock;
use model::exchange::CrashReport;
use model::exchange::QuarantineNotice;
use model::ids::Fingerprint;
use model::ids::NodeId;
use model::ids::ServiceName;

/// Largest number of crash reports kept until control acknowledges them.
const REPORTS_MAX: usize = 16;

/// Largest number of suspects taken from another node's crash report.
const TOLD_MAX: usize = 1_024;

/// Crashes of the local backend server, and the requests suspected of causing crashes.
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
    book: TrialBook<C>,
}

impl<C: Clock> CrashWatch<C> {
    /// Creates a tracker without suspects.
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

    /// Decides whether a call may run, or is refused as a suspected cause of crashes.
    pub(crate) fn check(&self, service: &ServiceName, fingerprint: Fingerprint) -> TrialDecision {
        self.with_book(service, |book| book.check(fingerprint))
    }

    /// Records that a call that was allowed to run has ended.
    pub(crate) fn ended(&self, service: &ServiceName, fingerprint: Fingerprint, completed: bool) {
        self.with_book(service, |book| book.ended(fingerprint, completed));
    }

    /// Records that the backend server crashed while it ran the calls `in_flight`.
    ///
    /// Returns the crash report, for control and for the other nodes of the service.
    pub(crate) fn crashed(
        &self,
        node: NodeId,
        service: &ServiceName,
        in_flight: &[Fingerprint],
    ) -> CrashReport {
        let suspects = self.with_book(service, |book| book.crashed(in_flight));
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

    /// Adds the suspects of a crash that another node of the service reported.
    pub(crate) fn told(&self, report: &CrashReport) {
        let suspects = &report.suspects[..report.suspects.len().min(TOLD_MAX)];
        self.with_book(&report.service, |book| book.told(suspects));
    }

    /// Applies control's list of quarantined requests.
    pub(crate) fn update(&self, service: &ServiceName, notices: &[QuarantineNotice]) {
        self.with_book(service, |book| book.update(notices));
    }

    /// Returns the crash reports that control has not acknowledged yet.
    pub(crate) fn reports(&self) -> Vec<CrashReport> {
        self.lock().reports.clone()
    }

    /// Removes the reports that control acknowledged.
    pub(crate) fn taken(&self, taken: &[CrashReport]) {
        let mut watched = self.lock();
        let open = |report: &CrashReport| !taken.iter().any(|old| old.crash == report.crash);
        watched.reports.retain(open);
    }

    /// Calls `action` with the quarantine of the service; a change of service starts an empty one.
    fn with_book<R>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut TrialBook<C>) -> R,
    ) -> R {
        let mut watched = self.lock();
        let known = watched.trials.take();
        let mut trials = known
            .filter(|trials| trials.service == *service)
            .unwrap_or_else(|| ServiceTrials {
                service: service.clone(),
                book: TrialBook::new(self.clock.clone(), service.clone()),
            });
        let result = action(&mut trials.book);
        watched.trials = Some(trials);
        result
    }

    fn lock(&self) -> MutexGuard<'_, WatchedCrashes<C>> {
        self.watched.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
