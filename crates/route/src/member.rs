//! One member of a service as its caller sees it.

use std::time::Duration;
use std::time::Instant;

use model::context::ServerLoad;
use model::exchange::MemberRecord;
use model::exchange::ServerState;

use crate::health::HealthRecord;

/// Time for which a load report counts, in milliseconds.
const LOAD_FRESH_MS: u64 = 1000;
/// Time over which a member that joined or warmed up reaches its full share, in seconds.
const SLOW_START_S: u64 = 5;
/// Share with which a slow start begins.
const SLOW_START_SHARE: f64 = 0.1;
/// Share of a member that still starts, relative to a ready one.
const STARTING_SHARE: f64 = 0.1;
/// Time for which a refusal steers calls away, in milliseconds.
const REFUSED_MS: u64 = 200;
/// Time for which a record that calls a leaving member ready is not believed, in milliseconds.
const LEAVING_MS: u64 = 2000;
/// Load added by a recent refusal, in multiples of the limit.
const REFUSED_LOAD: f64 = 1.0;
/// Limit assumed before a member reported one.
const LIMIT_ASSUMED: f64 = 32.0;

/// State kept for one member.
#[derive(Clone, Debug)]
pub(crate) struct MemberState {
    pub(crate) record: MemberRecord,
    pub(crate) health: HealthRecord,
    pub(crate) own_in_flight: u32,
    load: ServerLoad,
    load_at: Option<Instant>,
    drift: i64,
    ramp_start: Option<Instant>,
    refused_until: Option<Instant>,
    leaving_until: Option<Instant>,
}

impl MemberState {
    /// Creates the state; `ramp_start` is set for members that join a running service.
    pub(crate) fn new(record: MemberRecord, ramp_start: Option<Instant>) -> Self {
        Self {
            load: record.load,
            record,
            health: HealthRecord::default(),
            own_in_flight: 0,
            load_at: None,
            drift: 0,
            ramp_start,
            refused_until: None,
            leaving_until: None,
        }
    }

    /// Takes over a newer record; a member that became ready starts slowly.
    ///
    /// What the member's own node said of leaving counts more for a while,
    /// since records lag.
    pub(crate) fn update(&mut self, record: &MemberRecord, now: Instant) {
        let was = self.record.state;
        if self.leaving_until.is_some_and(|until| now < until) {
            return;
        }
        if record.state == ServerState::Ready && was != ServerState::Ready {
            self.ramp_start = Some(now);
        }
        self.record = record.clone();
    }

    /// Returns whether the member may get calls, apart from ejection.
    pub(crate) fn takes_work(&self) -> bool {
        matches!(
            self.record.state,
            ServerState::Ready | ServerState::Starting
        )
    }

    pub(crate) fn sent(&mut self) {
        self.own_in_flight += 1;
        self.drift += 1;
    }

    pub(crate) fn ended(&mut self) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.drift -= 1;
    }

    pub(crate) fn reported(&mut self, load: ServerLoad, now: Instant) {
        self.load = load;
        self.load_at = Some(now);
        self.drift = 0;
    }

    pub(crate) fn refused(&mut self, now: Instant) {
        self.refused_until = Some(now + Duration::from_millis(REFUSED_MS));
    }

    /// Notes that the member's own node said that it takes no more work.
    pub(crate) fn leaving(&mut self, now: Instant) {
        self.record.state = ServerState::Draining;
        self.leaving_until = Some(now + Duration::from_millis(LEAVING_MS));
    }

    pub(crate) fn begin_ramp(&mut self, at: Instant) {
        self.ramp_start = Some(at);
    }

    /// Returns the calls of this node that the member has, over its limit.
    ///
    /// A recent refusal counts as a full limit.
    pub(crate) fn own_score(&self, now: Instant) -> f64 {
        let own = f64::from(self.own_in_flight) / self.limit();
        own + self.refusal_load(now)
    }

    /// Returns the expected load as a multiple of the limit.
    pub(crate) fn score(&self, now: Instant) -> f64 {
        (self.expected_calls(now) + 1.0) / self.limit() + self.refusal_load(now)
    }

    fn limit(&self) -> f64 {
        match self.load.limit {
            0 => LIMIT_ASSUMED,
            limit => f64::from(limit),
        }
    }

    fn refusal_load(&self, now: Instant) -> f64 {
        let refused = self.refused_until.is_some_and(|until| now < until);
        if refused { REFUSED_LOAD } else { 0.0 }
    }

    /// Counts the calls that the member has, from its last report and what this node did since.
    ///
    /// A report that is not fresh is ignored, since it may lag by seconds.
    fn expected_calls(&self, now: Instant) -> f64 {
        let own = f64::from(self.own_in_flight);
        let fresh = Duration::from_millis(LOAD_FRESH_MS);
        let is_fresh = self.load_at.is_some_and(|at| now < at + fresh);
        if !is_fresh {
            return own;
        }
        let reported = self.load.in_flight.saturating_add(self.load.queued);
        let current = f64::from(reported) + self.drift as f64;
        current.max(own)
    }

    /// Returns the share of its draws that the member takes, below 1 during a slow start.
    pub(crate) fn share(&self, now: Instant) -> f64 {
        if self.record.state == ServerState::Starting {
            return STARTING_SHARE;
        }
        let Some(start) = self.ramp_start else {
            return 1.0;
        };
        let age = now.saturating_duration_since(start).as_secs_f64();
        let length = Duration::from_secs(SLOW_START_S).as_secs_f64();
        (age / length).clamp(SLOW_START_SHARE, 1.0)
    }
}
