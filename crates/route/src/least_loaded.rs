//! Picks the member of a service at which a call is expected to complete first.

use std::time::Duration;
use std::time::Instant;

use model::context::ServerLoad;
use model::context::ServerPace;
use model::ids::DataCentreName;
use model::ids::NodeId;
use model::ids::RouteName;
use smallvec::SmallVec;

use crate::failure_penalty::ReportedFailures;
use crate::failure_penalty::TypicalFailures;
use crate::server_speed::RouteTimes;
use crate::server_speed::ServerSpeed;

/// Most members that are compared for one call, and most of them in one data centre that is
/// preferred: this node's, or the one that the traffic plan chose.
const CANDIDATES_MAX: usize = 5;
const NEAR_CANDIDATES_MAX: usize = 3;
/// Load added to members in other data centres, as a fraction of their slots.
const DATA_CENTRE_PENALTY: f64 = 0.45;
/// Load added to members on other instances, as a fraction of their slots.
const INSTANCE_PENALTY: f64 = 0.2;
/// Fraction of slots in use above which a call may have to wait.
const CONGESTION_THRESHOLD: f64 = 0.85;
/// Penalty for load above [`CONGESTION_THRESHOLD`], as a multiple of the excess.
const CONGESTION_SLOPE: f64 = 4.0;
/// Time for which a reported limit below the slots of the record counts, in milliseconds. A cold
/// server reports one before the record that shows it arrives.
const REPORTED_LIMIT_VALID_MS: u64 = 1_000;
/// Time after which a load report has lost half of its weight, in milliseconds.
const REPORT_HALF_LIFE_MS: f64 = 150.0;
/// Consecutive failures after which a member is skipped.
const CONSECUTIVE_FAILURES_MAX: u32 = 3;
/// Time for which a failing member is skipped, in milliseconds.
const FAILING_SKIP_MS: u64 = 1_500;
/// Time for which an unreachable or leaving member is skipped, in milliseconds.
const UNREACHABLE_SKIP_MS: u64 = 600;
/// Time for which an unresponsive member is skipped, in milliseconds.
const UNRESPONSIVE_SKIP_MS: u64 = 200;
/// Time for which a member that refused a call is skipped if another is left, in milliseconds.
const BUSY_SKIP_MS: u64 = 25;
/// Factor on the load of a member that is still slow after its start.
const WARM_UP_LOAD_FACTOR: f64 = 2.0;

/// Outcome of a picked call, for [`LeastLoadedPicker::record_result`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// The call was answered.
    Answered,
    /// The member refused the call because of load.
    Refused,
    /// The member cannot be reached or is leaving.
    Unreachable,
    /// The call failed.
    Failed,
    /// The caller cancelled the call, or its time ran out; the member is not blamed.
    Cancelled,
}

/// One member of a service with what this node knows of its load and health.
#[derive(Clone, Debug)]
pub struct PickerMember {
    /// The node beside the backend server.
    pub node: NodeId,
    /// Data centre of the member; empty until it is known.
    pub data_centre: DataCentreName,
    /// Whether the member is in this node's data centre.
    pub same_data_centre: bool,
    /// Whether the member is on this node's instance.
    pub same_instance: bool,
    /// Calls that its backend server runs concurrently.
    pub slots: u32,
    /// Whether the member accepts new calls.
    pub accepts_calls: bool,
    /// Time until which its backend server is still slow after its start.
    pub warm_up_until: Instant,
    own_in_flight: u32,
    reported_calls: f64,
    /// Limit in the last load report; 0 if it had none.
    reported_limit: u32,
    reported_at: Instant,
    failures: ReportedFailures,
    consecutive_failures: u32,
    skipped_until: Instant,
    busy_until: Instant,
    speed: ServerSpeed,
}

impl PickerMember {
    /// Creates a member without any observed load or failures.
    #[must_use]
    pub fn new(node: NodeId, now: Instant) -> Self {
        Self {
            node,
            data_centre: DataCentreName::from(""),
            same_data_centre: false,
            same_instance: false,
            slots: 1,
            accepts_calls: true,
            warm_up_until: now,
            own_in_flight: 0,
            reported_calls: 0.0,
            reported_limit: 0,
            reported_at: now,
            failures: ReportedFailures::default(),
            consecutive_failures: 0,
            skipped_until: now,
            busy_until: now,
            speed: ServerSpeed::default(),
        }
    }

    /// Discards what is known of the speed, since another server took the place.
    pub fn reset_speed(&mut self) {
        self.speed = ServerSpeed::default();
    }

    /// Returns the slots, or the reported limit if it is lower.
    fn usable_slots(&self, now: Instant) -> u32 {
        let valid = Duration::from_millis(REPORTED_LIMIT_VALID_MS);
        let is_recent = now.saturating_duration_since(self.reported_at) < valid;
        if is_recent && self.reported_limit > 0 {
            self.slots.min(self.reported_limit)
        } else {
            self.slots
        }
    }

    /// Returns the expected time to completion of one more call, in usual service times beyond the
    /// first, with penalties for distance and failed calls.
    ///
    /// At usual speed this is the fraction of the slots in use, with a penalty for congestion. At
    /// another speed, the service time and the wait are both multiplied. The
    /// congestion penalty outweighs the distance penalty, since waiting at a near
    /// member that is full costs more than the longer network path to one with free
    /// slots.
    fn load(&self, typical: TypicalFailures, now: Instant) -> f64 {
        let distance_penalty = match (self.same_instance, self.same_data_centre) {
            (true, _) => 0.0,
            (false, true) => INSTANCE_PENALTY,
            (false, false) => DATA_CENTRE_PENALTY,
        };
        let load = self.slot_load(now);
        let congestion_penalty = CONGESTION_SLOPE * (load - CONGESTION_THRESHOLD).max(0.0);
        let wait = load + congestion_penalty;
        let delay = match self.speed.at(now) {
            Some(speed) => (1.0 + wait) / speed - 1.0,
            None => wait,
        };
        let failure_penalty = self.failures.penalty(typical, now);
        delay + distance_penalty + failure_penalty
    }

    /// Returns the load with one more call as a fraction of the slots.
    ///
    /// Calls of this node count in full; reported ones decay with the age of the report.
    fn slot_load(&self, now: Instant) -> f64 {
        let age_ms = now
            .saturating_duration_since(self.reported_at)
            .as_secs_f64()
            * 1000.0;
        let reported = self.reported_calls * 0.5_f64.powf(age_ms / REPORT_HALF_LIFE_MS);
        let calls = reported.max(f64::from(self.own_in_flight)) + 1.0;
        let warm_up_factor = if now < self.warm_up_until {
            WARM_UP_LOAD_FACTOR
        } else {
            1.0
        };
        calls * warm_up_factor / f64::from(self.usable_slots(now).max(1))
    }

    /// Returns whether one more call gets a slot without waiting.
    fn has_free_slot(&self, now: Instant) -> bool {
        self.slot_load(now) <= 1.0
    }

    fn is_healthy(&self, now: Instant) -> bool {
        self.accepts_calls && now >= self.skipped_until && now >= self.busy_until
    }
}

/// Picks one of a few members of a service for each call.
///
/// It is made for backend servers of unequal speed that are nearly full. The
/// member at which the call is expected to complete first gets it, by the fraction
/// of its slots in use and by its present [`ServerSpeed`]. Of many members only a
/// few random ones are compared, so that nodes with the same reports do not all pick
/// the same one. Among them are always some of this node's data centre, however many
/// there are elsewhere.
#[derive(Clone, Debug, Default)]
pub struct LeastLoadedPicker {
    members: Vec<PickerMember>,
    route_times: RouteTimes,
    typical_failures: TypicalFailures,
}

impl LeastLoadedPicker {
    /// Returns the members for updates in place.
    pub fn members_mut(&mut self) -> &mut Vec<PickerMember> {
        &mut self.members
    }

    /// Returns the members.
    #[must_use]
    pub fn members(&self) -> &[PickerMember] {
        &self.members
    }

    /// Picks a member that is not in `exclude`; `seed` is a random number.
    pub fn pick(&mut self, exclude: &[NodeId], seed: u64, now: Instant) -> Option<NodeId> {
        let chosen = self
            .pick_least_loaded(exclude, seed, now, |member| member.is_healthy(now))
            .or_else(|| {
                self.pick_least_loaded(exclude, seed, now, |member| {
                    member.accepts_calls && now >= member.skipped_until
                })
            })
            .or_else(|| {
                self.pick_least_loaded(exclude, seed, now, |member| member.accepts_calls)
            })?;
        let member = &mut self.members[chosen];
        member.own_in_flight += 1;
        Some(member.node)
    }

    /// Picks a member in the data centre that the traffic plan chose, the least loaded of a few.
    ///
    /// Returns `None` if no member there is healthy and has a free slot, or if they fail so many
    /// calls that another data centre is better; the caller then uses [`Self::pick`], since no
    /// call may fail or wait to save traffic.
    pub fn pick_within(
        &mut self,
        data_centre: &str,
        exclude: &[NodeId],
        seed: u64,
        now: Instant,
    ) -> Option<NodeId> {
        let candidates = self.random_order(seed).filter(|&position| {
            let member = &self.members[position];
            &*member.data_centre == data_centre
                && member.is_healthy(now)
                && member.has_free_slot(now)
                && member.failures.penalty(self.typical_failures, now) < DATA_CENTRE_PENALTY
                && !exclude.contains(&member.node)
        });
        let chosen = candidates.take(NEAR_CANDIDATES_MAX).min_by(|&a, &b| {
            let (a, b) = (&self.members[a], &self.members[b]);
            let typical = self.typical_failures;
            a.load(typical, now).total_cmp(&b.load(typical, now))
        })?;
        let member = &mut self.members[chosen];
        member.own_in_flight += 1;
        Some(member.node)
    }

    /// Skips a member for a short time because it does not answer, though no call is known to
    /// have failed.
    ///
    /// When an instance loses power, every call sent there until its links time
    /// out is lost, without any proof that the call did not run.
    pub fn mark_unresponsive(&mut self, node: NodeId, now: Instant) {
        let found = self.members.iter_mut().find(|member| member.node == node);
        if let Some(member) = found {
            member.skipped_until = now + Duration::from_millis(UNRESPONSIVE_SKIP_MS);
        }
    }

    /// Records the result of a picked call and the load that the answer carried.
    pub fn record_result(
        &mut self,
        node: NodeId,
        result: SendResult,
        load: Option<ServerLoad>,
        now: Instant,
    ) {
        let found = self.members.iter_mut().find(|member| member.node == node);
        let Some(member) = found else {
            return;
        };
        member.own_in_flight = member.own_in_flight.saturating_sub(1);
        if let Some(load) = load {
            member.reported_calls = f64::from(load.in_flight) + f64::from(load.queued);
            member.reported_limit = load.limit;
            member.reported_at = now;
            if let Some(pace) = load.pace {
                member.speed.note_pace(pace, now);
            }
            member.failures.note(load.failing, now);
            self.typical_failures.note(load.failing);
        }
        match result {
            SendResult::Answered => member.consecutive_failures = 0,
            SendResult::Refused => member.busy_until = now + Duration::from_millis(BUSY_SKIP_MS),
            SendResult::Unreachable => {
                member.skipped_until = now + Duration::from_millis(UNREACHABLE_SKIP_MS);
            }
            SendResult::Failed => {
                member.consecutive_failures += 1;
                if member.consecutive_failures >= CONSECUTIVE_FAILURES_MAX {
                    member.consecutive_failures = 0;
                    member.skipped_until = now + Duration::from_millis(FAILING_SKIP_MS);
                }
            }
            SendResult::Cancelled => {}
        }
    }

    /// Records the time from sending a call until its complete response, and the pace of the
    /// member at that time.
    ///
    /// Must not be called for errors, which often come at once and would make a failing member
    /// look fast.
    pub fn record_response(
        &mut self,
        node: NodeId,
        route: &RouteName,
        took: Duration,
        pace: Option<ServerPace>,
        now: Instant,
    ) {
        let found = self.members.iter_mut().find(|member| member.node == node);
        // The response times of a cold member say nothing of its usual speed.
        if let Some(member) = found.filter(|member| now >= member.warm_up_until) {
            let ratio = self.route_times.add(route, took, now);
            member.speed.note_response(ratio, pace, now);
        }
    }

    /// Records a pace that a member reported.
    pub fn record_pace(&mut self, node: NodeId, pace: ServerPace, now: Instant) {
        let found = self.members.iter_mut().find(|member| member.node == node);
        if let Some(member) = found {
            member.speed.note_pace(pace, now);
        }
    }

    fn pick_least_loaded(
        &self,
        exclude: &[NodeId],
        seed: u64,
        now: Instant,
        is_eligible: impl Fn(&PickerMember) -> bool,
    ) -> Option<usize> {
        let is_candidate = |&position: &usize| {
            let member = &self.members[position];
            is_eligible(member) && !exclude.contains(&member.node)
        };
        let near = self.random_order(seed).filter(is_candidate);
        let near = near.filter(|&position| self.members[position].same_data_centre);
        let near: SmallVec<[usize; NEAR_CANDIDATES_MAX]> = near.take(NEAR_CANDIDATES_MAX).collect();
        let far = self.random_order(seed).filter(is_candidate);
        let far = far.filter(|&position| !self.members[position].same_data_centre);
        let far = far.take(CANDIDATES_MAX - near.len());
        near.iter().copied().chain(far).min_by(|&a, &b| {
            let (a, b) = (&self.members[a], &self.members[b]);
            let typical = self.typical_failures;
            a.load(typical, now).total_cmp(&b.load(typical, now))
        })
    }

    /// Returns the positions of all members, from one that the random number `seed` chooses.
    fn random_order(&self, seed: u64) -> impl Iterator<Item = usize> + '_ {
        let count = self.members.len();
        let start = usize::try_from(seed % count.max(1) as u64).unwrap_or(0);
        (0..count).map(move |step| (start + step) % count)
    }
}
