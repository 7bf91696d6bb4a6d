//! Checks that no window of time sees more calls than rate × time + burst,
//! whatever happens to messages, nodes and owners.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use clock::VirtualClock;
use limit::EscrowOwner;
use limit::GrantEffect;
use limit::TakeOutcome;
use limit::TeamLimit;
use limit::TokenHolder;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const LEASE: Duration = Duration::from_secs(2);
const PERIOD_MS: u64 = 250;
const RUN: Duration = Duration::from_secs(30);
const SEEDS: u64 = 120;

/// What the network and the processes do to the messages of one run.
#[derive(Clone, Copy, Debug)]
struct FaultPlan {
    loss: f64,
    duplication: f64,
    /// Share of messages that take up to twice the lease.
    lateness: f64,
    crashes_per_s: f64,
    takeovers_per_s: f64,
    changes_per_s: f64,
    cuts_per_s: f64,
}

const CALM: FaultPlan = FaultPlan {
    loss: 0.0,
    duplication: 0.0,
    lateness: 0.0,
    crashes_per_s: 0.0,
    takeovers_per_s: 0.0,
    changes_per_s: 0.0,
    cuts_per_s: 0.0,
};

const ROUGH: FaultPlan = FaultPlan {
    loss: 0.1,
    duplication: 0.2,
    lateness: 0.1,
    crashes_per_s: 0.5,
    takeovers_per_s: 0.25,
    changes_per_s: 0.1,
    cuts_per_s: 0.2,
};

enum Event {
    Call,
    Exchange(usize),
    Demand {
        node: u64,
        demand: TokenDemand,
        sent: Instant,
    },
    Grant {
        node: u64,
        grant: TokenGrant,
        sent: Instant,
    },
    Fault,
}

struct NodeState {
    id: u64,
    holder: TokenHolder<VirtualClock>,
    waiting: u32,
    cut_until: Duration,
}

struct World {
    clock: VirtualClock,
    random: StdRng,
    plan: FaultPlan,
    limit: TeamLimit,
    owner: EscrowOwner<VirtualClock>,
    nodes: Vec<NodeState>,
    next_id: u64,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: Vec<Option<Event>>,
    calls_per_s: f64,
    takes: Vec<Duration>,
}

impl World {
    fn new(seed: u64, plan: FaultPlan) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let clock = VirtualClock::new();
        let rate_calls = [1, 10, 100, 400][random.random_range(0..4)];
        let burst_calls = [1, 3, 20, 100, 500][random.random_range(0..5)];
        let limit = TeamLimit {
            rate_milli: rate_calls * 1000 + random.random_range(0..1000),
            burst_milli: burst_calls * 1000,
        };
        let mut world = Self {
            owner: EscrowOwner::new(limit, 1, LEASE, clock.clone()),
            nodes: Vec::new(),
            next_id: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            calls_per_s: rate_calls as f64 * random.random_range(0.5..4.0),
            takes: Vec::new(),
            clock,
            random,
            plan,
            limit,
        };
        for index in 0..[1, 3, 12][world.random.random_range(0..3)] {
            let node = world.start_node();
            world.nodes.push(node);
            world.at(index as u64 * 7, Event::Exchange(index));
        }
        world.at(0, Event::Call);
        world.at(100, Event::Fault);
        world
    }

    fn start_node(&mut self) -> NodeState {
        self.next_id += 1;
        let ahead = Duration::from_millis(2 * PERIOD_MS);
        NodeState {
            id: self.next_id,
            holder: TokenHolder::new(Arc::from("plumon"), ahead, self.clock.clone()),
            waiting: 0,
            cut_until: Duration::ZERO,
        }
    }

    fn at(&mut self, delay_ms: u64, event: Event) {
        self.after(Duration::from_millis(delay_ms), event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        let due = self.clock.elapsed() + delay;
        self.queue.push(Reverse((due, self.events.len() as u64)));
        self.events.push(Some(event));
    }

    fn run(&mut self) {
        while let Some(Reverse((due, number))) = self.queue.pop() {
            if due > RUN {
                break;
            }
            self.clock.set_elapsed(due);
            let index = usize::try_from(number).expect("few events");
            let event = self.events[index].take().expect("each event runs once");
            self.handle(event);
            let level_milli = self.owner.free_milli() + self.owner.out_milli();
            let largest_milli = self.limit.burst_milli.max(self.bound().burst_milli);
            assert!(level_milli <= largest_milli);
        }
    }

    /// The largest rate and burst that the run ever declares.
    fn bound(&self) -> TeamLimit {
        if self.plan.changes_per_s > 0.0 {
            TeamLimit {
                rate_milli: self.limit.rate_milli * 2,
                burst_milli: self.limit.burst_milli * 2,
            }
        } else {
            self.limit
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call => self.call(),
            Event::Exchange(index) => {
                self.send_demand(index);
                self.at(PERIOD_MS, Event::Exchange(index));
            }
            Event::Demand { node, demand, sent } => {
                let grant = self.owner.grant(node, &demand);
                self.send(|| Event::Grant {
                    node,
                    grant: grant.clone(),
                    sent,
                });
            }
            Event::Grant { node, grant, sent } => self.receive(node, &grant, sent),
            Event::Fault => self.cause_faults(),
        }
    }

    fn call(&mut self) {
        // Calls favour one node for a while, so that demand moves between nodes.
        let second = usize::try_from(self.clock.elapsed().as_secs()).expect("short run");
        let favoured = second / 3 % self.nodes.len();
        let index = if self.random.random_bool(0.6) {
            favoured
        } else {
            self.random.random_range(0..self.nodes.len())
        };
        let outcome = self.nodes[index].holder.take();
        self.note(index, outcome);
        let mean_s = 1.0 / self.calls_per_s;
        let gap = Duration::from_secs_f64(mean_s * self.random.random_range(0.0..2.0));
        self.after(gap, Event::Call);
    }

    fn note(&mut self, index: usize, outcome: TakeOutcome) -> bool {
        match outcome {
            TakeOutcome::Taken => {
                self.takes.push(self.clock.elapsed());
                true
            }
            TakeOutcome::Dry {
                ask_now,
                retry_after,
            } => {
                if retry_after.is_zero() {
                    self.nodes[index].waiting += 1;
                }
                if ask_now {
                    self.send_demand(index);
                }
                false
            }
        }
    }

    fn send_demand(&mut self, index: usize) {
        let sent = self.clock.now();
        let node = self.nodes[index].id;
        let cut = self.nodes[index].cut_until > self.clock.elapsed();
        let Some(demand) = self.nodes[index].holder.demand() else {
            return;
        };
        if !cut {
            self.send(|| Event::Demand {
                node,
                demand: demand.clone(),
                sent,
            });
        }
    }

    /// Sends a message none, one or two times, each with its own delay.
    fn send(&mut self, message: impl Fn() -> Event) {
        let copies = 1 + u32::from(self.random.random_bool(self.plan.duplication));
        for _ in 0..copies {
            if self.random.random_bool(self.plan.loss) {
                continue;
            }
            let late = self.random.random_bool(self.plan.lateness);
            let longest_us = if late { 4_000_000 } else { 4_000 };
            let delay = Duration::from_micros(self.random.random_range(1000..longest_us));
            self.after(delay, message());
        }
    }

    fn receive(&mut self, node: u64, grant: &TokenGrant, sent: Instant) {
        let Some(index) = self.nodes.iter().position(|state| state.id == node) else {
            return;
        };
        let effect = self.nodes[index].holder.accept(grant, sent + LEASE);
        let GrantEffect::Held { ask_now } = effect else {
            return;
        };
        for _ in 0..std::mem::take(&mut self.nodes[index].waiting) {
            let outcome = self.nodes[index].holder.retake();
            if !self.note(index, outcome) {
                break;
            }
        }
        if ask_now {
            self.send_demand(index);
        }
    }

    fn cause_faults(&mut self) {
        let step_s = 0.1;
        if self.random.random_bool(self.plan.crashes_per_s * step_s) {
            let index = self.random.random_range(0..self.nodes.len());
            self.nodes[index] = self.start_node();
        }
        if self.random.random_bool(self.plan.cuts_per_s * step_s) {
            let index = self.random.random_range(0..self.nodes.len());
            self.nodes[index].cut_until = self.clock.elapsed() + LEASE * 2;
        }
        if self.random.random_bool(self.plan.cuts_per_s * step_s) {
            let index = self.random.random_range(0..self.nodes.len());
            self.nodes[index].holder.lease_ended();
        }
        if self.random.random_bool(self.plan.takeovers_per_s * step_s) {
            let term = self.owner.term() + 1;
            let wanted_milli = self.random.random_range(0..=self.limit.burst_milli);
            let reserved_milli = self.owner.reserve(wanted_milli);
            let clock = self.clock.clone();
            let largest = self.bound();
            self.owner = EscrowOwner::take_over(largest, term, LEASE, reserved_milli, clock);
            self.owner.declare(self.limit);
        }
        if self.random.random_bool(self.plan.changes_per_s * step_s) {
            let factor = [1, 2][self.random.random_range(0..2)];
            self.owner.declare(TeamLimit {
                rate_milli: self.limit.rate_milli * factor,
                burst_milli: self.limit.burst_milli * factor,
            });
        }
        let live: Vec<u64> = self.nodes.iter().map(|node| node.id).collect();
        if self.plan.crashes_per_s == 0.0 {
            self.owner.all_reported(&live);
        }
        self.at(100, Event::Fault);
    }
}

/// Returns the first take at the end of a window that saw too many.
///
/// A bucket that starts full and is charged for each take runs below empty
/// exactly when some window, between any two takes, exceeds the bound.
fn first_excess(takes: &[Duration], bound: TeamLimit) -> Option<Duration> {
    let scale = 1_000_000_000_u128;
    let full = u128::from(bound.burst_milli) * scale;
    let mut level = full;
    let mut last = Duration::ZERO;
    for take in takes {
        let refill = u128::from(bound.rate_milli) * take.saturating_sub(last).as_nanos();
        level = (level + refill).min(full);
        last = *take;
        match level.checked_sub(1000 * scale) {
            Some(rest) => level = rest,
            None => return Some(*take),
        }
    }
    None
}

fn check(plan: FaultPlan) -> usize {
    let mut total = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed, plan);
        world.run();
        let excess = first_excess(&world.takes, world.bound());
        assert!(
            excess.is_none(),
            "seed {seed}: over-issue at {excess:?} with {:?}",
            world.limit
        );
        total += world.takes.len();
    }
    total
}

#[test]
fn no_window_is_exceeded_in_calm() {
    assert!(check(CALM) > 40_000);
}

#[test]
fn no_window_is_exceeded_under_all_faults() {
    assert!(check(ROUGH) > 40_000);
}

#[test]
fn no_window_is_exceeded_under_loss_duplication_and_reorder() {
    let plan = FaultPlan {
        loss: 0.2,
        duplication: 0.4,
        lateness: 0.3,
        ..CALM
    };
    assert!(check(plan) > 40_000);
}

#[test]
fn no_window_is_exceeded_when_owners_change() {
    let plan = FaultPlan {
        duplication: 0.3,
        lateness: 0.3,
        takeovers_per_s: 0.5,
        ..CALM
    };
    assert!(check(plan) > 40_000);
}

#[test]
fn no_window_is_exceeded_when_nodes_crash_or_lose_their_lease() {
    let plan = FaultPlan {
        loss: 0.1,
        crashes_per_s: 1.0,
        cuts_per_s: 1.0,
        ..CALM
    };
    assert!(check(plan) > 40_000);
}

#[test]
fn a_window_that_sees_one_call_too_many_is_found() {
    let bound = TeamLimit {
        rate_milli: 10_000,
        burst_milli: 2000,
    };
    let at = |ms: &u64| Duration::from_millis(*ms);
    let fair: Vec<Duration> = [0, 0, 100, 200].iter().map(at).collect();
    let greedy: Vec<Duration> = [0, 0, 100, 199].iter().map(at).collect();
    assert_eq!(first_excess(&fair, bound), None);
    assert_eq!(first_excess(&greedy, bound), Some(at(&199)));
}
