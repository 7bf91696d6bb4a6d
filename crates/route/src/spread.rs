//! Choice of a backend server by how full each one is.

use std::time::Duration;
use std::time::Instant;

use model::context::ServerLoad;
use model::ids::NodeId;

/// Members that are compared for one call, at the most.
const COMPARED: usize = 4;
/// Load added to members in other data centres, as a part of their slots.
const REMOTE_LOAD: f64 = 0.45;
/// Load added to members on other instances, as a part of their slots.
const AWAY_LOAD: f64 = 0.2;
/// Part of the slots in use from which a call may have to wait, and how much faster than
/// the load the reluctance to choose such a member grows.
const CROWDED_FROM: f64 = 0.85;
const CROWDED_SLOPE: f64 = 4.0;
/// Time after which a load report has lost half of its weight, in milliseconds.
const REPORT_HALF_MS: f64 = 150.0;
/// Failures in a row after which a member is passed over.
const FAILURES_MAX: u32 = 3;
/// Time for which a failing member is passed over, in milliseconds.
const PASSED_OVER_MS: u64 = 1_500;
/// Time for which an unreachable or leaving member is passed over, in milliseconds.
const UNREACHABLE_MS: u64 = 600;
/// Time for which a member that owes a sign of life is passed over, in milliseconds.
const SILENT_MS: u64 = 200;
/// Time for which a full member is passed over if another is left, in milliseconds.
const FULL_MS: u64 = 25;
/// Load of a member that is still slow after its start, relative to its real one.
const COLD_FACTOR: f64 = 2.0;

/// How a call that was sent to a member ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// It was answered.
    Answered,
    /// It was refused for load.
    Full,
    /// The member cannot be reached, or leaves.
    Unreachable,
    /// It failed.
    Failed,
    /// The caller gave it up.
    GivenUp,
}

/// One member of a service.
#[derive(Clone, Debug)]
pub struct SpreadMember {
    /// The node.
    pub node: NodeId,
    /// Whether it stands in the own data centre.
    pub local: bool,
    /// Whether it stands on the own instance.
    pub own: bool,
    /// Calls that its backend server runs at once.
    pub slots: u32,
    /// Whether it takes new calls.
    pub takes_work: bool,
    /// Until when its backend server is slow after its start.
    pub cold_until: Instant,
    own_in_flight: u32,
    reported: f64,
    reported_at: Instant,
    failures: u32,
    passed_over_until: Instant,
    full_until: Instant,
}

impl SpreadMember {
    /// Creates a member of which nothing is known but its record.
    #[must_use]
    pub fn new(node: NodeId, now: Instant) -> Self {
        Self {
            node,
            local: false,
            own: false,
            slots: 1,
            takes_work: true,
            cold_until: now,
            own_in_flight: 0,
            reported: 0.0,
            reported_at: now,
            failures: 0,
            passed_over_until: now,
            full_until: now,
        }
    }

    /// Returns the load as a part of the slots; own calls count at once, reports fade.
    ///
    /// A near member is worth a longer way only while it has room: waiting there
    /// costs more than the way to one that has some.
    fn load(&self, now: Instant) -> f64 {
        let age_ms = now
            .saturating_duration_since(self.reported_at)
            .as_secs_f64()
            * 1000.0;
        let reported = self.reported * 0.5_f64.powf(age_ms / REPORT_HALF_MS);
        let calls = reported.max(f64::from(self.own_in_flight)) + 1.0;
        let cold = if now < self.cold_until {
            COLD_FACTOR
        } else {
            1.0
        };
        let remote = match (self.own, self.local) {
            (true, _) => 0.0,
            (false, true) => AWAY_LOAD,
            (false, false) => REMOTE_LOAD,
        };
        let load = calls * cold / f64::from(self.slots.max(1));
        let crowded = CROWDED_SLOPE * (load - CROWDED_FROM).max(0.0);
        load + crowded + remote
    }
}

/// Members of one service with what is known of each.
///
/// Load pattern: backend servers of unlike speed that are nearly full. The
/// member with the smallest part of its slots in use gets the call, so fast
/// ones get more; of many members a few random ones are compared, so that
/// nodes with the same reports do not all choose the same one.
#[derive(Clone, Debug, Default)]
pub struct SpreadPicker {
    members: Vec<SpreadMember>,
}

impl SpreadPicker {
    /// Returns the members, to be updated in place.
    pub fn members_mut(&mut self) -> &mut Vec<SpreadMember> {
        &mut self.members
    }

    /// Returns the members.
    #[must_use]
    pub fn members(&self) -> &[SpreadMember] {
        &self.members
    }

    /// Chooses a member that is not in `exclude`; `seed` is any random number.
    pub fn pick(&mut self, exclude: &[NodeId], seed: u64, now: Instant) -> Option<NodeId> {
        let healthy = |member: &SpreadMember| {
            member.takes_work && now >= member.passed_over_until && now >= member.full_until
        };
        let chosen = self
            .best(exclude, seed, now, healthy)
            .or_else(|| {
                self.best(exclude, seed, now, |member| {
                    member.takes_work && now >= member.passed_over_until
                })
            })
            .or_else(|| self.best(exclude, seed, now, |member| member.takes_work))?;
        let member = &mut self.members[chosen];
        member.own_in_flight += 1;
        Some(member.node)
    }

    /// Passes over a member that does not answer, though nothing is known to have failed.
    ///
    /// Load pattern: an instance loses power; until its links are given up, every
    /// call sent there is lost without a proof that it did not run.
    pub fn pass_over(&mut self, node: NodeId, now: Instant) {
        let found = self.members.iter_mut().find(|member| member.node == node);
        if let Some(member) = found {
            member.passed_over_until = now + Duration::from_millis(SILENT_MS);
        }
    }

    /// Learns how a picked call ended.
    pub fn learn(
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
            member.reported = f64::from(load.in_flight) + f64::from(load.queued);
            member.reported_at = now;
        }
        match result {
            SendResult::Answered => member.failures = 0,
            SendResult::Full => member.full_until = now + Duration::from_millis(FULL_MS),
            SendResult::Unreachable => {
                member.passed_over_until = now + Duration::from_millis(UNREACHABLE_MS);
            }
            SendResult::Failed => {
                member.failures += 1;
                if member.failures >= FAILURES_MAX {
                    member.failures = 0;
                    member.passed_over_until = now + Duration::from_millis(PASSED_OVER_MS);
                }
            }
            SendResult::GivenUp => {}
        }
    }

    fn best(
        &self,
        exclude: &[NodeId],
        seed: u64,
        now: Instant,
        fits: impl Fn(&SpreadMember) -> bool,
    ) -> Option<usize> {
        let count = self.members.len();
        let start = usize::try_from(seed % count.max(1) as u64).unwrap_or(0);
        let order = (0..count).map(|step| (start + step) % count);
        order
            .filter(|&position| {
                let member = &self.members[position];
                fits(member) && !exclude.contains(&member.node)
            })
            .take(COMPARED)
            .min_by(|&a, &b| {
                let (a, b) = (&self.members[a], &self.members[b]);
                a.load(now).total_cmp(&b.load(now))
            })
    }
}
