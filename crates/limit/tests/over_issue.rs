//! Checks in a simulation that no time window sees more calls than rate × time + burst,
//! whatever happens to messages, nodes and token allocators.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use clock::VirtualClock;
use limit::GrantOutcome;
use limit::TakeOutcome;
use limit::TeamLimit;
use limit::TokenAllocator;
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

/// Probabilities and rates of the faults in one run.
#[derive(Clone, Copy, Debug)]
struct FaultRates {
    loss: f64,
    duplication: f64,
    /// Fraction of messages that take up to twice the lease to arrive.
    late_delivery: f64,
    crashes_per_s: f64,
    takeovers_per_s: f64,
    limit_changes_per_s: f64,
    disconnects_per_s: f64,
}

const NO_FAULTS: FaultRates = FaultRates {
    loss: 0.0,
    duplication: 0.0,
    late_delivery: 0.0,
    crashes_per_s: 0.0,
    takeovers_per_s: 0.0,
    limit_changes_per_s: 0.0,
    disconnects_per_s: 0.0,
};

const ALL_FAULTS: FaultRates = FaultRates {
    loss: 0.1,
    duplication: 0.2,
    late_delivery: 0.1,
    crashes_per_s: 0.5,
    takeovers_per_s: 0.25,
    limit_changes_per_s: 0.1,
    disconnects_per_s: 0.2,
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
    disconnected_until: Duration,
}

struct Simulation {
    clock: VirtualClock,
    random: StdRng,
    faults: FaultRates,
    limit: TeamLimit,
    allocator: TokenAllocator<VirtualClock>,
    nodes: Vec<NodeState>,
    next_id: u64,
    queue: BinaryHeap<Reverse<(Duration, u64)>>,
    events: Vec<Option<Event>>,
    calls_per_s: f64,
    takes: Vec<Duration>,
}

impl Simulation {
    fn new(seed: u64, faults: FaultRates) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let clock = VirtualClock::new();
        let rate_calls = [1, 10, 100, 400][random.random_range(0..4)];
        let burst_calls = [1, 3, 20, 100, 500][random.random_range(0..5)];
        let limit = TeamLimit {
            rate_milli: rate_calls * 1000 + random.random_range(0..1000),
            burst_milli: burst_calls * 1000,
        };
        let mut simulation = Self {
            allocator: TokenAllocator::new(limit, 1, LEASE, clock.clone()),
            nodes: Vec::new(),
            next_id: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            calls_per_s: rate_calls as f64 * random.random_range(0.5..4.0),
            takes: Vec::new(),
            clock,
            random,
            faults,
            limit,
        };
        for index in 0..[1, 3, 12][simulation.random.random_range(0..3)] {
            let node = simulation.start_node();
            simulation.nodes.push(node);
            simulation.schedule_after_ms(index as u64 * 7, Event::Exchange(index));
        }
        simulation.schedule_after_ms(0, Event::Call);
        simulation.schedule_after_ms(100, Event::Fault);
        simulation
    }

    fn start_node(&mut self) -> NodeState {
        self.next_id += 1;
        let ahead = Duration::from_millis(2 * PERIOD_MS);
        NodeState {
            id: self.next_id,
            holder: TokenHolder::new(Arc::from("plumon"), ahead, self.clock.clone()),
            waiting: 0,
            disconnected_until: Duration::ZERO,
        }
    }

    fn schedule_after_ms(&mut self, delay_ms: u64, event: Event) {
        self.schedule_after(Duration::from_millis(delay_ms), event);
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
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
            let level_milli = self.allocator.free_milli() + self.allocator.outstanding_milli();
            let largest_milli = self.limit.burst_milli.max(self.largest_limit().burst_milli);
            assert!(level_milli <= largest_milli);
        }
    }

    /// Returns the largest limit that is ever in force during the run.
    fn largest_limit(&self) -> TeamLimit {
        if self.faults.limit_changes_per_s > 0.0 {
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
                self.schedule_after_ms(PERIOD_MS, Event::Exchange(index));
            }
            Event::Demand { node, demand, sent } => {
                let grant = self.allocator.grant(node, &demand);
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
        // Most calls go to one node for a while, so that demand moves between nodes.
        let second = usize::try_from(self.clock.elapsed().as_secs()).expect("short run");
        let busiest = second / 3 % self.nodes.len();
        let index = if self.random.random_bool(0.6) {
            busiest
        } else {
            self.random.random_range(0..self.nodes.len())
        };
        let outcome = self.nodes[index].holder.take();
        self.record_outcome(index, outcome);
        let mean_s = 1.0 / self.calls_per_s;
        let gap = Duration::from_secs_f64(mean_s * self.random.random_range(0.0..2.0));
        self.schedule_after(gap, Event::Call);
    }

    fn record_outcome(&mut self, index: usize, outcome: TakeOutcome) -> bool {
        match outcome {
            TakeOutcome::Taken => {
                self.takes.push(self.clock.elapsed());
                true
            }
            TakeOutcome::NoToken {
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
        let is_disconnected = self.nodes[index].disconnected_until > self.clock.elapsed();
        let Some(demand) = self.nodes[index].holder.demand() else {
            return;
        };
        if !is_disconnected {
            self.send(|| Event::Demand {
                node,
                demand: demand.clone(),
                sent,
            });
        }
    }

    /// Delivers a message zero, one or two times, each with its own delay.
    fn send(&mut self, message: impl Fn() -> Event) {
        let copies = 1 + u32::from(self.random.random_bool(self.faults.duplication));
        for _ in 0..copies {
            if self.random.random_bool(self.faults.loss) {
                continue;
            }
            let late = self.random.random_bool(self.faults.late_delivery);
            let longest_us = if late { 4_000_000 } else { 4_000 };
            let delay = Duration::from_micros(self.random.random_range(1000..longest_us));
            self.schedule_after(delay, message());
        }
    }

    fn receive(&mut self, node: u64, grant: &TokenGrant, sent: Instant) {
        let Some(index) = self.nodes.iter().position(|state| state.id == node) else {
            return;
        };
        let effect = self.nodes[index].holder.accept(grant, sent + LEASE);
        let GrantOutcome::Accepted { ask_now } = effect else {
            return;
        };
        for _ in 0..std::mem::take(&mut self.nodes[index].waiting) {
            let outcome = self.nodes[index].holder.retry_take();
            if !self.record_outcome(index, outcome) {
                break;
            }
        }
        if ask_now {
            self.send_demand(index);
        }
    }

    fn cause_faults(&mut self) {
        let step_s = 0.1;
        if self.random.random_bool(self.faults.crashes_per_s * step_s) {
            let index = self.random.random_range(0..self.nodes.len());
            self.nodes[index] = self.start_node();
        }
        if self
            .random
            .random_bool(self.faults.disconnects_per_s * step_s)
        {
            let index = self.random.random_range(0..self.nodes.len());
            self.nodes[index].disconnected_until = self.clock.elapsed() + LEASE * 2;
        }
        if self
            .random
            .random_bool(self.faults.disconnects_per_s * step_s)
        {
            let index = self.random.random_range(0..self.nodes.len());
            self.nodes[index].holder.lease_ended();
        }
        if self
            .random
            .random_bool(self.faults.takeovers_per_s * step_s)
        {
            let term = self.allocator.term() + 1;
            let wanted_milli = self.random.random_range(0..=self.limit.burst_milli);
            let reserved_milli = self.allocator.reserve(wanted_milli);
            let clock = self.clock.clone();
            let largest = self.largest_limit();
            self.allocator = TokenAllocator::take_over(largest, term, LEASE, reserved_milli, clock);
            self.allocator.set_limit(self.limit);
        }
        if self
            .random
            .random_bool(self.faults.limit_changes_per_s * step_s)
        {
            let factor = [1, 2][self.random.random_range(0..2)];
            self.allocator.set_limit(TeamLimit {
                rate_milli: self.limit.rate_milli * factor,
                burst_milli: self.limit.burst_milli * factor,
            });
        }
        let live: Vec<u64> = self.nodes.iter().map(|node| node.id).collect();
        if self.faults.crashes_per_s == 0.0 {
            self.allocator.finish_takeover(&live);
        }
        self.schedule_after_ms(100, Event::Fault);
    }
}

/// Returns the time of the first take that ends a window with too many takes.
///
/// A token bucket that starts full and loses a token with each take falls below
/// zero exactly when some window between two takes exceeds the limit.
fn first_take_over_limit(takes: &[Duration], limit: TeamLimit) -> Option<Duration> {
    let scale = 1_000_000_000_u128;
    let full = u128::from(limit.burst_milli) * scale;
    let mut level = full;
    let mut last = Duration::ZERO;
    for take in takes {
        let refill = u128::from(limit.rate_milli) * take.saturating_sub(last).as_nanos();
        level = (level + refill).min(full);
        last = *take;
        match level.checked_sub(1000 * scale) {
            Some(rest) => level = rest,
            None => return Some(*take),
        }
    }
    None
}

fn check(faults: FaultRates) -> usize {
    let mut total = 0;
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, faults);
        simulation.run();
        let excess = first_take_over_limit(&simulation.takes, simulation.largest_limit());
        assert!(
            excess.is_none(),
            "seed {seed}: over-issue at {excess:?} with {:?}",
            simulation.limit
        );
        total += simulation.takes.len();
    }
    total
}

#[test]
fn no_window_exceeds_the_limit_without_faults() {
    assert!(check(NO_FAULTS) > 40_000);
}

#[test]
fn no_window_exceeds_the_limit_under_all_faults() {
    assert!(check(ALL_FAULTS) > 40_000);
}

#[test]
fn no_window_exceeds_the_limit_under_loss_duplication_and_reordering() {
    let faults = FaultRates {
        loss: 0.2,
        duplication: 0.4,
        late_delivery: 0.3,
        ..NO_FAULTS
    };
    assert!(check(faults) > 40_000);
}

#[test]
fn no_window_exceeds_the_limit_when_allocators_change() {
    let faults = FaultRates {
        duplication: 0.3,
        late_delivery: 0.3,
        takeovers_per_s: 0.5,
        ..NO_FAULTS
    };
    assert!(check(faults) > 40_000);
}

#[test]
fn no_window_exceeds_the_limit_when_nodes_crash_or_lose_their_lease() {
    let faults = FaultRates {
        loss: 0.1,
        crashes_per_s: 1.0,
        disconnects_per_s: 1.0,
        ..NO_FAULTS
    };
    assert!(check(faults) > 40_000);
}

#[test]
fn a_window_with_one_call_too_many_is_detected() {
    let limit = TeamLimit {
        rate_milli: 10_000,
        burst_milli: 2000,
    };
    let at = |ms: &u64| Duration::from_millis(*ms);
    let allowed: Vec<Duration> = [0, 0, 100, 200].iter().map(at).collect();
    let excessive: Vec<Duration> = [0, 0, 100, 199].iter().map(at).collect();
    assert_eq!(first_take_over_limit(&allowed, limit), None);
    assert_eq!(first_take_over_limit(&excessive, limit), Some(at(&199)));
}
