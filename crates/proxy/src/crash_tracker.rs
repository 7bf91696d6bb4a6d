//! Crashes of the local backend server, and the requests that are refused because of crashes.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use admit::CompletedCalls;
use fleet::QuarantineList;
use fleet::QuarantineVersion;
use model::exchange::CrashReport;
use model::ids::Fingerprint;
use model::ids::NodeId;
use model::ids::ServiceName;

/// Most crash reports that wait to be recorded by control.
const MAX_REPORTS: usize = 16;

/// What this node knows of requests that crash backend servers.
#[derive(Debug, Default)]
pub(crate) struct CrashTracker {
    /// The requests that are refused, and until when.
    quarantined: HashMap<Fingerprint, Instant>,
    version: Option<QuarantineVersion>,
    completed: CompletedCalls,
    /// Crashes that control has not recorded yet, the oldest first.
    reports: VecDeque<CrashReport>,
    crash_count: u32,
}

impl CrashTracker {
    /// Returns whether any request is refused.
    pub(crate) fn is_active(&self) -> bool {
        !self.quarantined.is_empty()
    }

    /// Returns for how long a request is refused; `None` if it may run.
    pub(crate) fn refusal(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let until = self.quarantined.get(&fingerprint)?;
        let left = until.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Records that a request got its answer from the local backend server.
    pub(crate) fn record_completed(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.completed.insert(fingerprint, now);
    }

    /// Records a crash of the local backend server while it ran the requests `running`; returns
    /// the number of suspects.
    ///
    /// Requests that completed here recently are none.
    pub(crate) fn record_crash(
        &mut self,
        node: NodeId,
        service: &ServiceName,
        running: Vec<Fingerprint>,
        now: Instant,
    ) -> usize {
        let mut suspects = running;
        suspects.retain(|fingerprint| !self.completed.contains(*fingerprint, now));
        suspects.sort_unstable();
        suspects.dedup();
        let count = suspects.len();
        if suspects.is_empty() {
            return count;
        }
        if self.reports.len() >= MAX_REPORTS {
            self.reports.pop_front();
            tracing::warn!(event = "crash-forgotten", %service);
        }
        self.crash_count += 1;
        self.reports.push_back(CrashReport {
            service: service.clone(),
            node,
            crash: self.crash_count,
            suspects,
        });
        count
    }

    /// Applies control's list of refused requests.
    pub(crate) fn apply(&mut self, list: &QuarantineList, now: Instant) {
        self.version = Some(list.version);
        let requests = list.requests.iter();
        self.quarantined = requests
            .map(|request| (request.fingerprint, now + request.time_left))
            .collect();
    }

    /// Removes the reports up to the crash `number`, which control has recorded.
    pub(crate) fn confirm(&mut self, number: u32) {
        self.reports.retain(|report| report.crash > number);
    }

    /// Returns the version of control's list, and the crashes that control has yet to record.
    pub(crate) fn report(&self) -> (Option<QuarantineVersion>, Vec<CrashReport>) {
        (self.version, self.reports.iter().cloned().collect())
    }
}
