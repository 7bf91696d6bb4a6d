//! Penalty on members whose backend servers fail more of their calls than their peers.

use std::time::Duration;
use std::time::Instant;

use model::context::FailureShare;

/// Load added to a member that fails every call, as a fraction of its slots.
///
/// A member that fails 0.4 of its calls is then used once its peers have about 0.9 of their slots
/// in use: most of its calls succeed, and calls that find no slot elsewhere fail.
const PENALTY: f64 = 4.0;
/// Share above that of the peers that chance alone may cause at a member with few calls.
const TOLERANCE: f64 = 0.1;
/// Weight of the newest report in the moving average over all members.
const TYPICAL_WEIGHT: f64 = 0.05;
/// Time after which a report has lost half of its weight, in milliseconds. The member is then
/// tried again, and its next report shows whether it has recovered.
const REPORT_HALF_LIFE_MS: f64 = 600.0;

/// Share of failed calls that a member reported last.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportedFailures {
    last: Option<(FailureShare, Instant)>,
}

impl ReportedFailures {
    /// Notes a report.
    pub(crate) const fn note(&mut self, share: FailureShare, now: Instant) {
        self.last = Some((share, now));
    }

    /// Returns the load to add to the member's, as a fraction of its slots.
    ///
    /// Only what lies above the typical share counts: calls that fail because of a service further
    /// down fail at every member alike, and then no member is better than another.
    pub(crate) fn penalty(&self, typical: TypicalFailures, now: Instant) -> f64 {
        let Some((share, reported_at)) = self.last else {
            return 0.0;
        };
        let age = now.saturating_duration_since(reported_at);
        let half_life = Duration::from_secs_f64(REPORT_HALF_LIFE_MS / 1000.0);
        let fade = 0.5_f64.powf(age.div_duration_f64(half_life));
        PENALTY * fade * (share.fraction() - typical.share - TOLERANCE).max(0.0)
    }
}

/// Moving average of the share of failed calls over the reports of all members of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TypicalFailures {
    share: f64,
}

impl TypicalFailures {
    /// Adds a report of any member.
    pub(crate) fn note(&mut self, share: FailureShare) {
        self.share += TYPICAL_WEIGHT * (share.fraction() - self.share);
    }
}
