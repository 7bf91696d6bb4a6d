//! Applies the leader's admission plan at a node and spreads the retries of refused requests.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use model::entry::EntryShare;
use model::entry::OfferedRequests;
use model::entry::RequestKind;
use model::ids::TeamName;

use crate::entry::return_schedule::ReturnSchedule;

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
/// Requests of a kind that may be admitted ahead of its fraction because they are retries,
/// relative to that fraction; new requests make up for them.
const RETRY_CREDIT: f64 = 4.0;
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
    /// Team of the caller.
    pub team: &'a TeamName,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Target latency: the time within which a response is worth most.
    pub target_latency: Duration,
}

/// Fraction of the requests to admit, and how much of it has been used.
#[derive(Clone, Copy, Debug)]
struct AdmissionCredit {
    /// Fraction of the requests to admit, between 0 and 1.
    admitted: f64,
    /// Requests that the plan has admitted so far, less those that were admitted.
    credit: f64,
}

/// Admission state of one kind of request.
#[derive(Clone, Debug, Default)]
struct KindState {
    /// Teams for which the plan names a fraction.
    teams: HashMap<TeamName, AdmissionCredit>,
    /// All other teams.
    others: AdmissionCredit,
    /// Requests of each team since the last report.
    offered: HashMap<TeamName, u32>,
    /// Longest time to the deadline seen; a retry has less.
    time_left_max: Duration,
    returns: ReturnSchedule,
}

impl Default for AdmissionCredit {
    fn default() -> Self {
        Self {
            admitted: 1.0,
            credit: 0.0,
        }
    }
}

/// Admits the fractions of the leader's plan.
///
/// Load pattern: refused callers retry within their deadline while new requests
/// arrive. Retries are admitted first, so that a caller who was told to wait is not
/// refused again in favour of a new one. Without a plan, everything is admitted; the last
/// plan stays in force when the leader changes in a burst, and is relaxed when none follows.
/// Retry delays are spread evenly over the time in which there is capacity for the retries, and
/// are short enough for a response in time while there are few of them.
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
        let mut teams: HashMap<RequestKind, HashMap<TeamName, AdmissionCredit>> = HashMap::new();
        for share in shares {
            let admitted = f64::from(share.admitted_milli) / MILLI;
            let kind = self.kind(&share.kind);
            let Some(team) = &share.team else {
                kind.others.admitted = admitted;
                continue;
            };
            let known = kind.teams.get(team).copied().unwrap_or_default();
            let credit = AdmissionCredit { admitted, ..known };
            let teams = teams.entry(share.kind.clone()).or_default();
            teams.insert(team.clone(), credit);
        }
        for (kind, state) in &mut self.kinds {
            state.teams = teams.remove(kind).unwrap_or_default();
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
        kind.count_offered(request.team);
        kind.time_left_max = kind.time_left_max.max(request.time_left);
        let is_retry = kind.is_retry(request.time_left);
        if kind
            .credit(request.team)
            .admits(is_retry, relaxation, random.0)
        {
            kind.returns.record_admitted(now);
            return EntryDecision::Admit;
        }
        let EntryRequest {
            time_left,
            target_latency,
            ..
        } = request;
        let returns = &mut kind.returns;
        EntryDecision::Refuse {
            retry_after: returns.schedule(target_latency, time_left, random.1, now),
        }
    }

    /// Returns whether a request is a retry of one that was refused, by the time to its deadline.
    #[must_use]
    pub fn is_retry(&self, request: EntryRequest<'_>) -> bool {
        let kind = self.kinds.get(request.kind);
        kind.is_some_and(|kind| kind.is_retry(request.time_left))
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
            for (team, count) in state.offered.drain() {
                let kind = kind.clone();
                offered.push(OfferedRequests { kind, team, count });
            }
        }
        offered
    }

    fn kind(&mut self, kind: &RequestKind) -> &mut KindState {
        self.kinds.entry(kind.clone()).or_default()
    }
}

impl KindState {
    fn is_retry(&self, time_left: Duration) -> bool {
        time_left < self.time_left_max.mul_f64(RETRY_BELOW)
    }

    fn count_offered(&mut self, team: &TeamName) {
        if let Some(count) = self.offered.get_mut(team) {
            *count += 1;
        } else {
            self.offered.insert(team.clone(), 1);
        }
    }

    fn credit(&mut self, team: &TeamName) -> &mut AdmissionCredit {
        self.teams.get_mut(team).unwrap_or(&mut self.others)
    }
}

impl AdmissionCredit {
    /// Decides whether to admit a request, with a random number in `0..1`.
    ///
    /// Each request adds the fraction of the plan, raised to full admission by `relaxation`, to
    /// the credit, and each admitted one uses 1 of it. Retries may overdraw it, so that they come
    /// first as soon as there are any, and the sum stays that of the plan.
    fn admits(&mut self, is_retry: bool, relaxation: f64, random: f64) -> bool {
        if relaxation >= 1.0 {
            self.credit = 0.0;
            return true;
        }
        let admitted = self.admitted + (1.0 - self.admitted) * relaxation;
        self.credit += admitted;
        let overdraft = f64::from(u8::from(is_retry)) * RETRY_CREDIT * admitted;
        let is_admitted = random < self.credit + overdraft;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }
}
