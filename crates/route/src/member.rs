//! Load, health and slow start of one member of a service, as the calling node sees it.

use std::time::Duration;
use std::time::Instant;

use model::context::ServerLoad;
use model::exchange::MemberRecord;
use model::exchange::ServerState;

use crate::health::HealthRecord;

/// Time for which a load report is used, in milliseconds.
const LOAD_REPORT_LIFETIME_MS: u64 = 1000;
/// Duration of the slow start of a member that joined or became ready, in seconds.
const SLOW_START_S: u64 = 5;
/// Selection probability at the beginning of a slow start.
const SLOW_START_PROBABILITY_MIN: f64 = 0.1;
/// Selection probability of a member that is still starting.
const STARTING_PROBABILITY: f64 = 0.1;
/// Time for which a refusal adds to a member's load, in milliseconds.
const REFUSAL_PENALTY_MS: u64 = 200;
/// Time for which records of a member that said it is leaving are ignored, in milliseconds.
const LEAVING_OVERRIDE_MS: u64 = 2000;
/// Load added by a recent refusal, in multiples of the limit.
const REFUSAL_PENALTY: f64 = 1.0;
/// Concurrency limit assumed until a member reports one.
const LIMIT_DEFAULT: f64 = 32.0;

/// State of one member.
#[derive(Clone, Debug)]
pub(crate) struct MemberState {
    pub(crate) record: MemberRecord,
    pub(crate) health: HealthRecord,
    pub(crate) own_in_flight: u32,
    load: ServerLoad,
    load_at: Option<Instant>,
    in_flight_change: i64,
    slow_start: Option<Instant>,
    refused_until: Option<Instant>,
    leaving_until: Option<Instant>,
}

impl MemberState {
    /// Creates the state; a member that joins a running service gets a `slow_start`.
    pub(crate) fn new(record: MemberRecord, slow_start: Option<Instant>) -> Self {
        Self {
            load: record.load,
            record,
            health: HealthRecord::default(),
            own_in_flight: 0,
            load_at: None,
            in_flight_change: 0,
            slow_start,
            refused_until: None,
            leaving_until: None,
        }
    }

    /// Applies a newer record; a member that became ready begins a slow start.
    ///
    /// A recent answer from the member's own node that the member is leaving
    /// takes precedence, since records lag.
    pub(crate) fn update(&mut self, record: &MemberRecord, now: Instant) {
        let previous_state = self.record.state;
        if self.leaving_until.is_some_and(|until| now < until) {
            return;
        }
        if record.state == ServerState::Ready && previous_state != ServerState::Ready {
            self.slow_start = Some(now);
        }
        self.record = record.clone();
    }

    /// Returns whether the member's state allows calls; ejection is not considered.
    pub(crate) fn accepts_calls(&self) -> bool {
        matches!(
            self.record.state,
            ServerState::Ready | ServerState::Starting
        )
    }

    pub(crate) fn record_sent(&mut self) {
        self.own_in_flight += 1;
        self.in_flight_change += 1;
    }

    pub(crate) fn record_end(&mut self) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.in_flight_change -= 1;
    }

    pub(crate) fn record_load(&mut self, load: ServerLoad, now: Instant) {
        self.load = load;
        self.load_at = Some(now);
        self.in_flight_change = 0;
    }

    pub(crate) fn record_refusal(&mut self, now: Instant) {
        self.refused_until = Some(now + Duration::from_millis(REFUSAL_PENALTY_MS));
    }

    /// Marks the member as draining, as its own node answered.
    pub(crate) fn mark_leaving(&mut self, now: Instant) {
        self.record.state = ServerState::Draining;
        self.leaving_until = Some(now + Duration::from_millis(LEAVING_OVERRIDE_MS));
    }

    pub(crate) fn begin_slow_start(&mut self, at: Instant) {
        self.slow_start = Some(at);
    }

    /// Returns this node's calls in flight to the member as a multiple of its limit.
    ///
    /// A recent refusal adds one full limit.
    pub(crate) fn own_load(&self, now: Instant) -> f64 {
        let own = f64::from(self.own_in_flight) / self.limit();
        own + self.refusal_penalty(now)
    }

    /// Returns the expected load with one more call as a multiple of the limit.
    pub(crate) fn expected_load(&self, now: Instant) -> f64 {
        (self.expected_calls(now) + 1.0) / self.limit() + self.refusal_penalty(now)
    }

    fn limit(&self) -> f64 {
        match self.load.limit {
            0 => LIMIT_DEFAULT,
            limit => f64::from(limit),
        }
    }

    fn refusal_penalty(&self, now: Instant) -> f64 {
        let refused = self.refused_until.is_some_and(|until| now < until);
        if refused { REFUSAL_PENALTY } else { 0.0 }
    }

    /// Estimates the member's calls from its last report and this node's calls since.
    ///
    /// An old report is ignored, since it may lag by seconds.
    fn expected_calls(&self, now: Instant) -> f64 {
        let own = f64::from(self.own_in_flight);
        let lifetime = Duration::from_millis(LOAD_REPORT_LIFETIME_MS);
        let is_recent = self.load_at.is_some_and(|at| now < at + lifetime);
        if !is_recent {
            return own;
        }
        let reported = self.load.in_flight.saturating_add(self.load.queued);
        let current = f64::from(reported) + self.in_flight_change as f64;
        current.max(own)
    }

    /// Returns the probability that a drawn member is used; below 1 during a slow start.
    pub(crate) fn selection_probability(&self, now: Instant) -> f64 {
        if self.record.state == ServerState::Starting {
            return STARTING_PROBABILITY;
        }
        let Some(start) = self.slow_start else {
            return 1.0;
        };
        let age = now.saturating_duration_since(start).as_secs_f64();
        let length = Duration::from_secs(SLOW_START_S).as_secs_f64();
        (age / length).clamp(SLOW_START_PROBABILITY_MIN, 1.0)
    }
}
