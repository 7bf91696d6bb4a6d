//! Power of two choices: draws two members at random and picks the less loaded one.

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
/// How much lower the load in another data centre must be to make up for the longer network
/// path, in multiples of the limit.
const REMOTE_LOAD_ADVANTAGE: f64 = 0.2;
/// Difference of own load, in multiples of the limit, below which two members count as equal.
const OWN_LOAD_TOLERANCE: f64 = 0.001;
/// Outlier ejection leaves at least one in this many members.
const EJECTION_FLOOR_DIVISOR: usize = 2;
/// Answers between two checks for slow members.
const LATENCY_CHECK_CALLS: u32 = 64;

/// Constant of splitmix64; also makes the second draw differ from the first.
const SPLITMIX_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// The member chosen for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PickedServer {
    /// The node beside the backend server, to be passed to [`TwoChoicePicker::record_result`].
    pub node: NodeId,
    /// Address of that node.
    pub address: SocketAddr,
}

/// Outcome of a picked call, for [`TwoChoicePicker::record_result`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallResult {
    /// The backend server answered, and the answer shows no fault of the server.
    Answered {
        /// Time from sending to the answer.
        latency: Duration,
    },
    /// The node refused the call because of load, and it did not run.
    Refused,
    /// The node answered that its backend server is draining or absent.
    Leaving,
    /// The connection was lost or the backend server failed.
    Failed,
    /// The caller gave up before anything came back.
    Cancelled,
}

/// Picks members of one service by the power of two choices.
///
/// Load is what answers reported plus what this node sent since. Members of
/// the node's own data centre are preferred until they are loaded. Draining
/// members get no calls, members in their slow start get fewer, and outliers
/// are ejected as long as at least half of the members remain.
#[derive(Clone, Debug)]
pub struct TwoChoicePicker<C> {
    clock: C,
    data_centre: DataCentreName,
    members: Vec<MemberState>,
    local: Vec<usize>,
    available: Vec<usize>,
    next_ejection_end: Option<Instant>,
    answers: u32,
}

impl<C: Clock> TwoChoicePicker<C> {
    /// Creates a picker without members for a node in `data_centre`.
    #[must_use]
    pub fn new(clock: C, data_centre: DataCentreName) -> Self {
        Self {
            clock,
            data_centre,
            members: Vec::new(),
            local: Vec::new(),
            available: Vec::new(),
            next_ejection_end: None,
            answers: 0,
        }
    }

    /// Replaces the members; the statistics of those that remain are kept.
    pub fn update(&mut self, records: &[MemberRecord]) {
        let now = self.clock.now();
        let slow_start = (!self.members.is_empty()).then_some(now);
        let mut members = Vec::with_capacity(records.len());
        for record in records {
            let known = self.position(record.node);
            let member = match known {
                Some(known) => {
                    let mut member = self.members[known].clone();
                    member.update(record, now);
                    member
                }
                None => MemberState::new(record.clone(), slow_start),
            };
            members.push(member);
        }
        self.members = members;
        self.refresh(now);
    }

    /// Picks a member that is not in `exclude`; `seed` is a random number.
    ///
    /// Returns `None` if no member accepts calls. Each picked call must be
    /// followed by exactly one [`Self::record_result`].
    pub fn pick(&mut self, exclude: &[NodeId], seed: u64) -> Option<PickedServer> {
        let now = self.clock.now();
        let seed = mix_bits(seed);
        if self.next_ejection_end.is_some_and(|at| now >= at) {
            self.refresh(now);
        }
        let local = self.draw_better_of_two(&self.local, exclude, seed, now);
        let chosen = match local {
            Some(local) if local.expected_load <= LOCAL_LOAD_MAX => local,
            Some(local) => {
                let other =
                    self.draw_better_of_two(&self.available, exclude, seed.rotate_left(17), now);
                other
                    .filter(|other| {
                        other.expected_load + REMOTE_LOAD_ADVANTAGE < local.expected_load
                    })
                    .unwrap_or(local)
            }
            None => self.draw_better_of_two(&self.available, exclude, seed, now)?,
        };
        let member = &mut self.members[chosen.position];
        member.record_sent();
        Some(PickedServer {
            node: member.record.node,
            address: member.record.address,
        })
    }

    /// Records the result of a picked call and the load that the answer carried.
    pub fn record_result(&mut self, node: NodeId, result: CallResult, load: Option<ServerLoad>) {
        let now = self.clock.now();
        let Some(position) = self.position(node) else {
            return;
        };
        let member = &mut self.members[position];
        member.record_end();
        if let Some(load) = load {
            member.record_load(load, now);
        }
        match result {
            CallResult::Answered { latency } => {
                member.health.record_answer(latency);
                member.health.reset_ejections();
                self.check_latency(now);
            }
            CallResult::Refused => member.record_refusal(now),
            CallResult::Leaving => {
                member.mark_leaving(now);
                self.refresh(now);
            }
            CallResult::Failed => {
                member.health.record_failure();
                if member.health.is_failing() {
                    self.eject(position, now);
                }
            }
            CallResult::Cancelled => {}
        }
    }

    /// Returns the number of members that may be picked now.
    #[must_use]
    pub fn available(&self) -> usize {
        self.available.len()
    }

    fn position(&self, node: NodeId) -> Option<usize> {
        self.members
            .iter()
            .position(|member| member.record.node == node)
    }

    fn draw_better_of_two(
        &self,
        from: &[usize],
        exclude: &[NodeId],
        seed: u64,
        now: Instant,
    ) -> Option<DrawnMember> {
        let first = self.draw(from, exclude, None, seed, now)?;
        let other_seed = seed.rotate_left(32) ^ SPLITMIX_INCREMENT;
        let second = self.draw(from, exclude, Some(first.position), other_seed, now);
        let better = second.filter(|second| second.is_better_than(first));
        Some(better.unwrap_or(first))
    }

    /// Draws a member, beginning at a random position, that is neither excluded nor `already_drawn`.
    ///
    /// A member in its slow start is used with its selection probability, or if
    /// no other member is left.
    fn draw(
        &self,
        from: &[usize],
        exclude: &[NodeId],
        already_drawn: Option<usize>,
        seed: u64,
        now: Instant,
    ) -> Option<DrawnMember> {
        let start = map_to_range(seed, from.len());
        let (before, after) = from.split_at(start);
        let threshold = mix_bits(seed) as f64 / u64::MAX as f64;
        let mut skipped = None;
        for position in after.iter().chain(before).copied() {
            let member = &self.members[position];
            if already_drawn == Some(position) || exclude.contains(&member.record.node) {
                continue;
            }
            if member.selection_probability(now) >= threshold {
                return Some(self.drawn_member(position, now));
            }
            skipped = skipped.or(Some(position));
        }
        skipped.map(|position| self.drawn_member(position, now))
    }

    fn drawn_member(&self, position: usize, now: Instant) -> DrawnMember {
        let member = &self.members[position];
        DrawnMember {
            position,
            own_load: member.own_load(now),
            expected_load: member.expected_load(now),
        }
    }

    /// Rebuilds the lists of members that may be picked.
    fn refresh(&mut self, now: Instant) {
        self.end_ejections(now);
        self.available.clear();
        self.local.clear();
        self.next_ejection_end = None;
        for (position, member) in self.members.iter().enumerate() {
            if !member.accepts_calls() {
                continue;
            }
            if let Some(until) = member.health.ejected_until(now) {
                self.next_ejection_end =
                    Some(self.next_ejection_end.map_or(until, |at| at.min(until)));
                continue;
            }
            self.available.push(position);
            if member.record.data_centre == self.data_centre {
                self.local.push(position);
            }
        }
    }

    /// Ends ejections early, soonest to expire first, when too few members are left because
    /// others have gone.
    fn end_ejections(&mut self, now: Instant) {
        let available_min = self.available_min();
        let accepting = self.members.iter().filter(|member| member.accepts_calls());
        let healthy = accepting.filter(|member| member.health.ejected_until(now).is_none());
        let missing = available_min.saturating_sub(healthy.count());
        for _ in 0..missing {
            let accepting = self
                .members
                .iter_mut()
                .filter(|member| member.accepts_calls());
            let ejected = accepting.filter(|member| member.health.ejected_until(now).is_some());
            let first = ejected.min_by_key(|member| member.health.ejected_until(now));
            let Some(first) = first else {
                return;
            };
            first.health.end_ejection();
            first.begin_slow_start(now);
        }
    }

    /// Returns how many members that accept calls must not be ejected.
    fn available_min(&self) -> usize {
        let accepting = self.members.iter().filter(|member| member.accepts_calls());
        accepting.count().div_ceil(EJECTION_FLOOR_DIVISOR)
    }

    /// Ejects a member unless that would leave too few.
    fn eject(&mut self, position: usize, now: Instant) {
        self.refresh(now);
        if self.available.len() <= self.available_min() || !self.available.contains(&position) {
            return;
        }
        let member = &mut self.members[position];
        let until = member.health.eject(now);
        member.begin_slow_start(until);
        self.refresh(now);
    }

    /// Ejects a member that is far slower than the median; checked every
    /// [`LATENCY_CHECK_CALLS`] answers.
    fn check_latency(&mut self, now: Instant) {
        self.answers += 1;
        if !self.answers.is_multiple_of(LATENCY_CHECK_CALLS) {
            return;
        }
        let members = self
            .available
            .iter()
            .map(|position| &self.members[*position]);
        let mut latencies: Vec<f64> = members
            .filter_map(|member| member.health.latency_s())
            .collect();
        if latencies.len() < 3 {
            return;
        }
        latencies.sort_unstable_by(f64::total_cmp);
        let median_s = latencies[latencies.len() / 2];
        let slow = self.available.iter().copied();
        let mut slow = slow.filter(|position| self.members[*position].health.is_slow(median_s));
        if let Some(position) = slow.next() {
            self.eject(position, now);
        }
    }
}

/// A drawn member with its load.
#[derive(Clone, Copy, Debug)]
struct DrawnMember {
    position: usize,
    own_load: f64,
    expected_load: f64,
}

impl DrawnMember {
    /// Compares by this node's own calls, and by reported load only if these are equal.
    ///
    /// Comparing by reports first would send all nodes to the same member when
    /// reports lag or are wrong.
    fn is_better_than(self, other: Self) -> bool {
        if (self.own_load - other.own_load).abs() < OWN_LOAD_TOLERANCE {
            return self.expected_load < other.expected_load;
        }
        self.own_load < other.own_load
    }
}

/// Mixes the bits of a number with the finalizer of splitmix64, so that any seed is usable.
fn mix_bits(seed: u64) -> u64 {
    let mut mixed = seed.wrapping_add(SPLITMIX_INCREMENT);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Maps a random number evenly to `0..length`; returns 0 for an empty range.
fn map_to_range(seed: u64, length: usize) -> usize {
    let scaled = (u128::from(seed) * length as u128) >> 64;
    usize::try_from(scaled).unwrap_or(0)
}
