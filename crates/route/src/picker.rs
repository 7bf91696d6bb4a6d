//! Two members at random, of which the less loaded one gets the call.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::context::ServerLoad;
use model::exchange::MemberRecord;
use model::ids::DataCentreName;
use model::ids::NodeId;

use crate::member::MemberState;

/// Load, in multiples of the limit, above which calls leave their own data centre.
const LOCAL_LOAD_MAX: f64 = 0.9;
/// Load that another data centre must undercut, in multiples of the limit, to be worth the way.
const REMOTE_ADVANTAGE: f64 = 0.2;
/// Difference of own calls, in multiples of the limit, that counts as none.
const OWN_EQUAL: f64 = 0.001;
/// Members that outlier ejection leaves, one in this many.
const FLOOR_DIVISOR: usize = 2;
/// Answers between two looks for slow members.
const LATENCY_CHECK_CALLS: u32 = 64;

/// Makes the second draw differ from the first.
const SECOND_DRAW: u64 = 0x9e37_79b9_7f4a_7c15;

/// The member chosen for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PickedServer {
    /// The node beside the backend server; name it in [`ServerPicker::learn`].
    pub node: NodeId,
    /// Where that node is reached.
    pub address: SocketAddr,
}

/// What became of a call that was sent to a picked member.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The backend server answered without a fault of its own.
    Answered {
        /// Time from sending to the answer.
        latency: Duration,
    },
    /// The node refused it for load, and it did not run.
    Refused,
    /// The node said that its backend server is draining or absent.
    Leaving,
    /// The connection was lost or the backend server failed.
    Failed,
    /// The caller gave up before anything came back.
    Cancelled,
}

/// Chooses among the members of one service.
///
/// Load is what answers reported plus what this node sent since. Members of
/// the own data centre come first until they are loaded. Draining members get
/// nothing, members that warmed up lately less, and outliers are ejected as
/// long as at least half of the members stay.
#[derive(Clone, Debug)]
pub struct ServerPicker<C> {
    clock: C,
    data_centre: DataCentreName,
    members: Vec<MemberState>,
    local: Vec<usize>,
    all: Vec<usize>,
    changes_at: Option<Instant>,
    answers: u32,
}

impl<C: Clock> ServerPicker<C> {
    /// Creates a picker without members for a node in `data_centre`.
    #[must_use]
    pub fn new(clock: C, data_centre: DataCentreName) -> Self {
        Self {
            clock,
            data_centre,
            members: Vec::new(),
            local: Vec::new(),
            all: Vec::new(),
            changes_at: None,
            answers: 0,
        }
    }

    /// Replaces the members; what was observed of those that stay is kept.
    pub fn update(&mut self, records: &[MemberRecord]) {
        let now = self.clock.now();
        let ramp_start = (!self.members.is_empty()).then_some(now);
        let mut members = Vec::with_capacity(records.len());
        for record in records {
            let known = self.position(record.node);
            let member = match known {
                Some(known) => {
                    let mut member = self.members[known].clone();
                    member.update(record, now);
                    member
                }
                None => MemberState::new(record.clone(), ramp_start),
            };
            members.push(member);
        }
        self.members = members;
        self.refresh(now);
    }

    /// Chooses a member that is not in `exclude`; `seed` is any random number.
    ///
    /// Returns none when no member takes work. Each picked call must be ended
    /// by one [`Self::learn`].
    pub fn pick(&mut self, exclude: &[NodeId], seed: u64) -> Option<PickedServer> {
        let now = self.clock.now();
        let seed = mix(seed);
        if self.changes_at.is_some_and(|at| now >= at) {
            self.refresh(now);
        }
        let local = self.better_of_two(&self.local, exclude, seed, now);
        let chosen = match local {
            Some(local) if local.score <= LOCAL_LOAD_MAX => local,
            Some(local) => {
                let other = self.better_of_two(&self.all, exclude, seed.rotate_left(17), now);
                other
                    .filter(|other| other.score + REMOTE_ADVANTAGE < local.score)
                    .unwrap_or(local)
            }
            None => self.better_of_two(&self.all, exclude, seed, now)?,
        };
        let member = &mut self.members[chosen.position];
        member.sent();
        Some(PickedServer {
            node: member.record.node,
            address: member.record.address,
        })
    }

    /// Learns how a picked call ended, with the load that the answer carried.
    pub fn learn(&mut self, node: NodeId, result: CallResult, load: Option<ServerLoad>) {
        let now = self.clock.now();
        let Some(position) = self.position(node) else {
            return;
        };
        let member = &mut self.members[position];
        member.ended();
        if let Some(load) = load {
            member.reported(load, now);
        }
        match result {
            CallResult::Answered { latency } => {
                member.health.answered(latency);
                member.health.forgive();
                self.check_latency(now);
            }
            CallResult::Refused => member.refused(now),
            CallResult::Leaving => {
                member.leaving(now);
                self.refresh(now);
            }
            CallResult::Failed => {
                member.health.failed();
                if member.health.is_failing() {
                    self.eject(position, now);
                }
            }
            CallResult::Cancelled => {}
        }
    }

    /// Returns the members that may be picked now.
    #[must_use]
    pub fn available(&self) -> usize {
        self.all.len()
    }

    fn position(&self, node: NodeId) -> Option<usize> {
        self.members
            .iter()
            .position(|member| member.record.node == node)
    }

    fn better_of_two(
        &self,
        from: &[usize],
        exclude: &[NodeId],
        seed: u64,
        now: Instant,
    ) -> Option<ScoredMember> {
        let first = self.draw(from, exclude, None, seed, now)?;
        let other_seed = seed.rotate_left(32) ^ SECOND_DRAW;
        let second = self.draw(from, exclude, Some(first.position), other_seed, now);
        let better = second.filter(|second| second.is_better_than(first));
        Some(better.unwrap_or(first))
    }

    /// Takes the first member from a random place on that is neither excluded nor `taken`.
    ///
    /// A member in its slow start is passed over unless its share says
    /// otherwise or no other is left.
    fn draw(
        &self,
        from: &[usize],
        exclude: &[NodeId],
        taken: Option<usize>,
        seed: u64,
        now: Instant,
    ) -> Option<ScoredMember> {
        let start = scaled(seed, from.len());
        let (before, after) = from.split_at(start);
        let threshold = mix(seed) as f64 / u64::MAX as f64;
        let mut passed_over = None;
        for position in after.iter().chain(before).copied() {
            let member = &self.members[position];
            if taken == Some(position) || exclude.contains(&member.record.node) {
                continue;
            }
            if member.share(now) >= threshold {
                return Some(self.scored(position, now));
            }
            passed_over = passed_over.or(Some(position));
        }
        passed_over.map(|position| self.scored(position, now))
    }

    fn scored(&self, position: usize, now: Instant) -> ScoredMember {
        let member = &self.members[position];
        ScoredMember {
            position,
            own: member.own_score(now),
            score: member.score(now),
        }
    }

    /// Rebuilds the lists of members that may be picked.
    fn refresh(&mut self, now: Instant) {
        self.end_ejections(now);
        self.all.clear();
        self.local.clear();
        self.changes_at = None;
        for (position, member) in self.members.iter().enumerate() {
            if !member.takes_work() {
                continue;
            }
            if let Some(until) = member.health.ejected_until(now) {
                self.changes_at = Some(self.changes_at.map_or(until, |at| at.min(until)));
                continue;
            }
            self.all.push(position);
            if member.record.data_centre == self.data_centre {
                self.local.push(position);
            }
        }
    }

    /// Ends ejections early, the oldest first, when others left and the floor is not met.
    fn end_ejections(&mut self, now: Instant) {
        let floor = self.floor();
        let working = self.members.iter().filter(|member| member.takes_work());
        let healthy = working.filter(|member| member.health.ejected_until(now).is_none());
        let missing = floor.saturating_sub(healthy.count());
        for _ in 0..missing {
            let working = self.members.iter_mut().filter(|member| member.takes_work());
            let ejected = working.filter(|member| member.health.ejected_until(now).is_some());
            let first = ejected.min_by_key(|member| member.health.ejected_until(now));
            let Some(first) = first else {
                return;
            };
            first.health.end_ejection();
            first.begin_ramp(now);
        }
    }

    /// Returns how many working members must not be ejected.
    fn floor(&self) -> usize {
        let working = self.members.iter().filter(|member| member.takes_work());
        working.count().div_ceil(FLOOR_DIVISOR)
    }

    /// Ejects a member unless that would leave less than the floor.
    fn eject(&mut self, position: usize, now: Instant) {
        self.refresh(now);
        if self.all.len() <= self.floor() || !self.all.contains(&position) {
            return;
        }
        let member = &mut self.members[position];
        let until = member.health.eject(now);
        member.begin_ramp(until);
        self.refresh(now);
    }

    /// Looks for a member that is far slower than the median, every now and then.
    fn check_latency(&mut self, now: Instant) {
        self.answers += 1;
        if !self.answers.is_multiple_of(LATENCY_CHECK_CALLS) {
            return;
        }
        let members = self.all.iter().map(|position| &self.members[*position]);
        let mut latencies: Vec<f64> = members
            .filter_map(|member| member.health.latency_s())
            .collect();
        if latencies.len() < 3 {
            return;
        }
        latencies.sort_unstable_by(f64::total_cmp);
        let median_s = latencies[latencies.len() / 2];
        let slow = self.all.iter().copied();
        let mut slow = slow.filter(|position| self.members[*position].health.is_slow(median_s));
        if let Some(position) = slow.next() {
            self.eject(position, now);
        }
    }
}

/// A candidate with its load.
#[derive(Clone, Copy, Debug)]
struct ScoredMember {
    position: usize,
    own: f64,
    score: f64,
}

impl ScoredMember {
    /// Compares by this node's own calls, and by reports only where these are equal.
    ///
    /// Reports that lag or mislead would send all nodes to the same member.
    fn is_better_than(self, other: Self) -> bool {
        if (self.own - other.own).abs() < OWN_EQUAL {
            return self.score < other.score;
        }
        self.own < other.own
    }
}

/// Spreads the bits of a number (the finaliser of splitmix64), so that any seed serves.
fn mix(seed: u64) -> u64 {
    let mut mixed = seed.wrapping_add(SECOND_DRAW);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Maps a random number evenly to `0..length`; 0 for an empty range.
fn scaled(seed: u64, length: usize) -> usize {
    let scaled = (u128::from(seed) * length as u128) >> 64;
    usize::try_from(scaled).unwrap_or(0)
}
