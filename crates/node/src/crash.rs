//! Records crashes of the backend server, and decides which calls may run after them.

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

/// Largest number of crash reports kept until control acknowledges them.
const REPORTS_MAX: usize = 16;

/// Largest number of suspects taken from another node's crash report.
const REPORTED_SUSPECTS_MAX: usize = 1_024;

/// Crashes of the local backend server, and the requests suspected of causing crashes.
#[derive(Debug)]
pub(crate) struct CrashTracker<C> {
    clock: C,
    tracked: Mutex<TrackedCrashes<C>>,
}

#[derive(Debug)]
struct TrackedCrashes<C> {
    service_quarantine: Option<ServiceQuarantine<C>>,
    reports: Vec<CrashReport>,
    crash_count: u32,
}

#[derive(Debug)]
struct ServiceQuarantine<C> {
    service: ServiceName,
    quarantine: CrashQuarantine<C>,
}

impl<C: Clock> CrashTracker<C> {
    /// Creates a tracker without suspects.
    pub(crate) fn new(clock: C) -> Self {
        Self {
            clock,
            tracked: Mutex::new(TrackedCrashes {
                service_quarantine: None,
                reports: Vec::new(),
                crash_count: 0,
            }),
        }
    }

    /// Decides whether a call may run, or is refused as a suspected cause of crashes.
    pub(crate) fn check(
        &self,
        service: &ServiceName,
        fingerprint: Fingerprint,
    ) -> QuarantineDecision {
        self.with_quarantine(service, |q| q.check(fingerprint))
    }

    /// Records that a call that was allowed to run has ended.
    pub(crate) fn record_end(
        &self,
        service: &ServiceName,
        fingerprint: Fingerprint,
        completed: bool,
    ) {
        self.with_quarantine(service, |q| q.record_end(fingerprint, completed));
    }

    /// Records that the backend server crashed while it ran the calls `in_flight`.
    ///
    /// Returns the crash report, for control and for the other nodes of the service.
    pub(crate) fn record_crash(
        &self,
        node: NodeId,
        service: &ServiceName,
        in_flight: &[Fingerprint],
    ) -> CrashReport {
        let suspects = self.with_quarantine(service, |q| q.record_crash(in_flight));
        let mut tracked = self.lock();
        tracked.crash_count += 1;
        let report = CrashReport {
            service: service.clone(),
            node,
            crash: tracked.crash_count,
            suspects,
        };
        if tracked.reports.len() == REPORTS_MAX {
            tracked.reports.remove(0);
        }
        tracked.reports.push(report.clone());
        report
    }

    /// Adds the suspects of a crash that another node of the service reported.
    pub(crate) fn add_reported(&self, report: &CrashReport) {
        let suspects = &report.suspects[..report.suspects.len().min(REPORTED_SUSPECTS_MAX)];
        self.with_quarantine(&report.service, |q| q.add_reported(suspects));
    }

    /// Applies control's list of quarantined requests.
    pub(crate) fn update(&self, service: &ServiceName, notices: &[QuarantineNotice]) {
        self.with_quarantine(service, |q| q.update(notices));
    }

    /// Returns the crash reports that control has not acknowledged yet.
    pub(crate) fn reports(&self) -> Vec<CrashReport> {
        self.lock().reports.clone()
    }

    /// Removes the reports that control acknowledged.
    pub(crate) fn forget_reports(&self, acknowledged: &[CrashReport]) {
        let mut tracked = self.lock();
        let is_pending =
            |report: &CrashReport| !acknowledged.iter().any(|other| other.crash == report.crash);
        tracked.reports.retain(is_pending);
    }

    /// Calls `action` with the quarantine of the service; a change of service starts an empty one.
    fn with_quarantine<R>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut CrashQuarantine<C>) -> R,
    ) -> R {
        let mut tracked = self.lock();
        let previous = tracked.service_quarantine.take();
        let mut service_quarantine = previous
            .filter(|service_quarantine| service_quarantine.service == *service)
            .unwrap_or_else(|| ServiceQuarantine {
                service: service.clone(),
                quarantine: CrashQuarantine::new(self.clock.clone(), service.clone()),
            });
        let result = action(&mut service_quarantine.quarantine);
        tracked.service_quarantine = Some(service_quarantine);
        result
    }

    fn lock(&self) -> MutexGuard<'_, TrackedCrashes<C>> {
        self.tracked.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
