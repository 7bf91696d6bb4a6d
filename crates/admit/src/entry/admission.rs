//! Applies the leader's admission plan at a node and spreads the retries of refused requests.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use model::entry::EntryShare;
use model::entry::OfferedRequests;
use model::entry::RequestKind;

/// Time for which a plan applies unchanged unless a newer one arrives, in milliseconds.
const PLAN_VALID_MS: u64 = 2_500;
/// Time after that over which the fractions of an old plan rise to full admission, in
/// milliseconds.
///
/// Admitting everything at once failed requests for several seconds when the leader changed in a
/// burst. The lease of 5 s ends service earlier at a node without contact to control.
const PLAN_RELAX_MS: u64 = 5_000;
/// Time to the deadline, relative to the longest seen for the kind, below which a request
/// counts as a retry.
const RETRY_BELOW: f64 = 0.97;
/// Weight of the newest request in the moving average of the share of retries.
const RETRY_WEIGHT: f64 = 0.02;
/// Shortest and longest retry delay, relative to the target latency, or to the time to the
/// deadline if that is shorter.
const RETRY_DELAY_MIN: f64 = 0.15;
const RETRY_DELAY_MAX: f64 = 0.6;
/// Thousandths of a whole.
const MILLI: f64 = 1000.0;

/// Decision on a request at its entry node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryDecision {
    /// The request is admitted.
    Admit,
    /// The request is refused and may be retried later.
    Refuse {
        /// Delay after which the caller should retry.
        retry_after: Duration,
    },
}

/// A request at its entry node.
#[derive(Clone, Copy, Debug)]
pub struct EntryRequest<'a> {
    /// Kind of the request.
    pub kind: &'a RequestKind,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Target latency: the time within which a response is worth most.
    pub target_latency: Duration,
}

/// Admission state of one kind of request.
#[derive(Clone, Debug)]
struct KindState {
    /// Fraction of the requests to admit, between 0 and 1.
    admitted: f64,
    /// Requests since the last report.
    offered: u32,
    /// Longest time to the deadline seen; a retry has less.
    time_left_max: Duration,
    /// Moving average of the share of retries among the requests.
    retries: f64,
}

impl Default for KindState {
    fn default() -> Self {
        Self {
            admitted: 1.0,
            offered: 0,
            time_left_max: Duration::ZERO,
            retries: 0.0,
        }
    }
}

/// Admits requests at random, with the probabilities of the leader's plan.
///
/// Load pattern: refused callers retry within their deadline while new requests
/// arrive. Retries are admitted first, so that a caller who was told to wait is not
/// refused again in favour of a new one. Without a plan, everything is admitted; the last
/// plan stays in force when the leader changes in a burst, and is relaxed when none follows.
/// Retry delays are spread evenly, and short enough for a response in time.
#[derive(Clone, Debug, Default)]
pub struct EntryAdmission {
    kinds: HashMap<RequestKind, KindState>,
    /// When the last plan arrived.
    plan_received: Option<Instant>,
}

impl EntryAdmission {
    /// Applies a new plan.
    pub fn apply_plan(&mut self, shares: &[EntryShare], now: Instant) {
        self.plan_received = Some(now);
        for share in shares {
            let kind = self.kind(&share.kind);
            kind.admitted = f64::from(share.admitted_milli) / MILLI;
        }
    }

    /// Admits or refuses a request.
    ///
    /// `random` holds two random numbers in `0..1`: the first decides on admission, the second
    /// sets the retry delay.
    pub fn decide(
        &mut self,
        request: EntryRequest<'_>,
        random: (f64, f64),
        now: Instant,
    ) -> EntryDecision {
        let relaxation = self.relaxation(now);
        let kind = self.kind(request.kind);
        kind.offered += 1;
        kind.time_left_max = kind.time_left_max.max(request.time_left);
        let is_retry = request.time_left < kind.time_left_max.mul_f64(RETRY_BELOW);
        let sample = f64::from(u8::from(is_retry));
        kind.retries += RETRY_WEIGHT * (sample - kind.retries);
        if random.0 < kind.admission_probability(is_retry, relaxation) {
            return EntryDecision::Admit;
        }
        let delay = RETRY_DELAY_MIN + (RETRY_DELAY_MAX - RETRY_DELAY_MIN) * random.1;
        EntryDecision::Refuse {
            retry_after: request.target_latency.min(request.time_left).mul_f64(delay),
        }
    }

    /// Returns whether an old plan is in force because no newer one arrived in time.
    #[must_use]
    pub fn is_plan_old(&self, now: Instant) -> bool {
        let relaxation = self.relaxation(now);
        relaxation > 0.0 && relaxation < 1.0
    }

    /// Returns how far the plan is relaxed: 0 while it applies unchanged, 1 without a plan.
    fn relaxation(&self, now: Instant) -> f64 {
        let Some(received) = self.plan_received else {
            return 1.0;
        };
        let age = now.saturating_duration_since(received);
        let overdue = age.saturating_sub(Duration::from_millis(PLAN_VALID_MS));
        let relax_time = Duration::from_millis(PLAN_RELAX_MS);
        overdue.div_duration_f64(relax_time).min(1.0)
    }

    /// Returns the number of requests of each kind since the last call of this function.
    pub fn take_offered(&mut self) -> Vec<OfferedRequests> {
        let mut offered = Vec::new();
        for (kind, state) in &mut self.kinds {
            let count = std::mem::take(&mut state.offered);
            if count > 0 {
                let kind = kind.clone();
                offered.push(OfferedRequests { kind, count });
            }
        }
        offered
    }

    fn kind(&mut self, kind: &RequestKind) -> &mut KindState {
        self.kinds.entry(kind.clone()).or_default()
    }
}

impl KindState {
    /// Returns the probability of admission.
    ///
    /// Weighted by their shares, the probabilities of retries and of new requests add up to
    /// the admitted fraction of the plan, raised to full admission by `relaxation`.
    fn admission_probability(&self, is_retry: bool, relaxation: f64) -> f64 {
        if relaxation >= 1.0 {
            return 1.0;
        }
        let admitted = self.admitted + (1.0 - self.admitted) * relaxation;
        let retries = self.retries.clamp(0.0, 1.0);
        if is_retry {
            return if retries <= admitted {
                1.0
            } else {
                admitted / retries
            };
        }
        ((admitted - retries) / (1.0 - retries).max(0.01)).clamp(0.0, 1.0)
    }
}
