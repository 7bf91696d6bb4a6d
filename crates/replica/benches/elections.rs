//! Time without a leader after the leader fails, in simulated time, over many seeds.
//!
//! Run with `cargo bench -p replica --bench elections`.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use quorum::BatchNumber;
use quorum::DurableState;
use quorum::INITIAL_FOLDER;
use quorum::InstanceId;
use quorum::MemberRole;
use quorum::Membership;
use quorum::OutgoingMessage;
use quorum::RaftConfig;
use quorum::RaftCore;
use quorum::SplitMix64;

/// Failures measured for each size of group.
const SEEDS: u64 = 1_000;

/// Delay of a message between data centres, one way, in microseconds.
const LINK_US: u64 = 1_500;

/// Duration of a sync, in microseconds.
const SYNC_US: u64 = 2_000;

/// Time that a leader leads before it fails, in milliseconds.
const LEADER_UPTIME_MS: u64 = 1_000;

/// Longest random addition to that time, in milliseconds.
const MAX_EXTRA_UPTIME_MS: u64 = 50;

/// Event of the simulation.
#[derive(Debug)]
enum SimEvent {
    Deliver {
        from: InstanceId,
        outgoing: OutgoingMessage,
    },
    Synced {
        member: InstanceId,
        batch: BatchNumber,
        messages: Vec<OutgoingMessage>,
    },
}

/// Group with a simulated network and simulated disks of fixed delays.
struct SimGroup {
    now: Instant,
    cores: BTreeMap<InstanceId, RaftCore>,
    /// Times and numbers of the events to come.
    schedule: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    last_event: u64,
}

impl SimGroup {
    fn new(members: u64, seed: u64) -> Self {
        let now = Instant::now();
        let ids: Vec<InstanceId> = (1..=members).collect();
        let state = DurableState {
            initial_membership: Membership::initial(&ids),
            ..DurableState::default()
        };
        let cores = ids
            .into_iter()
            .map(|id| {
                let config = RaftConfig::default();
                let member_seed = seed * 100 + id;
                let core =
                    RaftCore::new(id, INITIAL_FOLDER, config, state.clone(), member_seed, now);
                (id, core)
            })
            .collect();
        Self {
            now,
            cores,
            schedule: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_event: 0,
        }
    }

    fn schedule(&mut self, delay_us: u64, event: SimEvent) {
        self.last_event += 1;
        let at = self.now + Duration::from_micros(delay_us);
        self.schedule.push(Reverse((at, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    fn send(&mut self, from: InstanceId, messages: Vec<OutgoingMessage>) {
        for outgoing in messages {
            self.schedule(LINK_US, SimEvent::Deliver { from, outgoing });
        }
    }

    fn handle_output(&mut self, id: InstanceId) {
        let Some(core) = self.cores.get_mut(&id) else {
            return;
        };
        let output = core.take_output();
        self.send(id, output.messages);
        if let Some(batch) = output.batch {
            let synced = SimEvent::Synced {
                member: id,
                batch,
                messages: output.messages_after_sync,
            };
            self.schedule(SYNC_US, synced);
        }
    }

    /// Advances the time to the next event or tick.
    fn step(&mut self) {
        let tick = self
            .cores
            .iter()
            .map(|(&id, core)| (core.next_tick_due(), id))
            .min()
            .expect("a member runs");
        match self.schedule.peek() {
            Some(&Reverse((at, number))) if at <= tick.0 => {
                self.schedule.pop();
                self.now = self.now.max(at);
                if let Some(event) = self.events.remove(&number) {
                    self.perform(event);
                }
            }
            _ => {
                self.now = self.now.max(tick.0);
                let now = self.now;
                if let Some(core) = self.cores.get_mut(&tick.1) {
                    core.tick(now);
                }
                self.handle_output(tick.1);
            }
        }
    }

    fn perform(&mut self, event: SimEvent) {
        let now = self.now;
        match event {
            SimEvent::Deliver { from, outgoing } => {
                if let Some(core) = self.cores.get_mut(&outgoing.to) {
                    core.receive(from, outgoing.message, now);
                }
                self.handle_output(outgoing.to);
            }
            SimEvent::Synced {
                member,
                batch,
                messages,
            } => {
                if let Some(core) = self.cores.get_mut(&member) {
                    core.mark_synced(batch, now);
                    self.send(member, messages);
                }
                self.handle_output(member);
            }
        }
    }

    /// Returns the leader once it has committed an entry of its term.
    fn leader(&self) -> Option<InstanceId> {
        self.cores
            .iter()
            .find(|(_, core)| {
                core.role() == MemberRole::Leader
                    && core.term_at(core.commit_index()) == Some(core.term())
            })
            .map(|(&id, _)| id)
    }

    fn run_until_leader(&mut self) -> InstanceId {
        loop {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.step();
        }
    }

    fn run_for(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }
}

/// Returns how long the group has no leader that commits entries after its leader failed.
fn measure_leaderless_time(members: u64, seed: u64) -> Duration {
    let mut group = SimGroup::new(members, seed);
    group.run_until_leader();
    let mut generator = SplitMix64::new(seed);
    let low = Duration::from_millis(LEADER_UPTIME_MS);
    let high = low + Duration::from_millis(MAX_EXTRA_UPTIME_MS);
    group.run_for(generator.duration_between(low, high));
    let leader = group.run_until_leader();
    group.cores.remove(&leader);
    let failed_at = group.now;
    group.run_until_leader();
    group.now - failed_at
}

fn main() {
    println!("members  p50_ms  p99_ms  p999_ms  max_ms");
    for members in [3, 5, 7] {
        let mut histogram = Histogram::<u64>::new(3).expect("valid digits");
        for seed in 0..SEEDS {
            let took_us = measure_leaderless_time(members, seed).as_micros();
            let took_us = u64::try_from(took_us).unwrap_or(u64::MAX);
            histogram.record(took_us).expect("it resizes");
        }
        println!(
            "{members:>7} {:>7} {:>7} {:>8} {:>7}",
            histogram.value_at_quantile(0.5) / 1_000,
            histogram.value_at_quantile(0.99) / 1_000,
            histogram.value_at_quantile(0.999) / 1_000,
            histogram.max() / 1_000,
        );
    }
}
