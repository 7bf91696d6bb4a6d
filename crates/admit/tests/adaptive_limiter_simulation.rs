//! Simulation of the adaptive concurrency limiter with a backend server that has slots, its own
//! queue and a changing speed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use admit::AdaptiveLimiter;
use admit::AdmitDecision;
use admit::CallOffer;
use admit::CallOutcome;
use admit::QueueAction;
use admit::QueueActions;
use admit::RankPolicy;
use admit::ThresholdTable;
use clock::Clock;
use clock::VirtualClock;
use model::context::CallRank;
use model::context::ThresholdNotice;
use model::declaration::RefusalOrder;
use model::ids::RouteName;

/// Time between two calls of `expire`.
const EXPIRE_EVERY: Duration = Duration::from_millis(10);
/// Network delay between an entry node and the limiter, one way.
const UPSTREAM_DELAY: Duration = Duration::from_millis(20);
/// Smallest goodput under overload, relative to the capacity.
const GOODPUT_MIN: f64 = 0.9;
/// Smallest goodput from two seconds after the disturbance ended, relative to before it.
const RECOVERED_MIN: f64 = 0.95;
/// Random seeds; each test runs with all of them.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// Event of the simulation.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum SimulationEvent {
    Arrive,
    Offer(u64),
    Response(usize, CallRank),
    Complete(u64),
    Expire,
}

/// Random number generator with a fixed seed (splitmix64).
struct RandomSource(u64);

impl RandomSource {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    fn exponential(&mut self, mean: Duration) -> Duration {
        let uniform = (self.next() >> 11) as f64 / (1_u64 << 53) as f64;
        mean.mul_f64(-(1.0 - uniform).ln())
    }
}

/// Parameters of one run.
#[derive(Clone, Copy)]
struct SimulationSetup {
    slots: usize,
    hint: u32,
    service: Duration,
    time_left: Duration,
    /// Offered calls relative to what the slots complete at full speed.
    overload: f64,
    /// Start and end second of the time in which service takes `slowdown` times as long.
    slow_s: (u64, u64),
    slowdown: f64,
    /// Start and end second of the overload.
    surge_s: (u64, u64),
    /// Offered load, relative to the capacity, outside the overload.
    normal_load: f64,
    /// Entry nodes that learn rank thresholds from responses; with 0, all calls reach the limiter.
    entry_nodes: usize,
    seed: u64,
}

impl SimulationSetup {
    fn new(slots: usize, hint: u32, seed: u64) -> Self {
        Self {
            slots,
            hint,
            service: Duration::from_millis(50),
            time_left: Duration::from_secs(1),
            overload: 3.0,
            slow_s: (0, 0),
            slowdown: 1.0,
            surge_s: (0, u64::MAX),
            normal_load: 0.0,
            entry_nodes: 0,
            seed,
        }
    }
}

/// The limiter, the backend server behind it and the calls in the network.
struct Simulation {
    setup: SimulationSetup,
    clock: VirtualClock,
    limiter: AdaptiveLimiter<VirtualClock>,
    random: RandomSource,
    events: BinaryHeap<Reverse<(Duration, SimulationEvent)>>,
    /// Queue inside the backend server.
    server_queue: VecDeque<u64>,
    busy_slots: usize,
    deadlines: HashMap<u64, Instant>,
    ranks: HashMap<u64, CallRank>,
    threshold_tables: Vec<ThresholdTable<VirtualClock>>,
    route: RouteName,
    /// Calls completed in time in each second.
    completed_in_time: Vec<f64>,
    /// Calls refused at an entry node in each second.
    refused_at_entry: Vec<f64>,
    /// Refused calls of the class that is refused last.
    last_class_refused: u64,
    next_id: u64,
}

impl Simulation {
    fn run(setup: SimulationSetup, length_s: usize) -> Self {
        let clock = VirtualClock::new();
        let mut limiter = AdaptiveLimiter::new(clock.clone());
        limiter.hint_slots(setup.hint);
        let mut simulation = Self {
            setup,
            limiter,
            random: RandomSource(setup.seed),
            events: BinaryHeap::new(),
            server_queue: VecDeque::new(),
            busy_slots: 0,
            deadlines: HashMap::new(),
            ranks: HashMap::new(),
            threshold_tables: vec![ThresholdTable::new(clock.clone()); setup.entry_nodes],
            route: "stock".into(),
            completed_in_time: vec![0.0; length_s + 1],
            refused_at_entry: vec![0.0; length_s + 1],
            last_class_refused: 0,
            next_id: 0,
            clock,
        };
        simulation.schedule(Duration::ZERO, SimulationEvent::Arrive);
        simulation.schedule(EXPIRE_EVERY, SimulationEvent::Expire);
        let length = Duration::from_secs(length_s as u64);
        while let Some(Reverse((at, event))) = simulation.events.pop() {
            if at >= length {
                break;
            }
            simulation.clock.set_elapsed(at);
            simulation.step(event);
        }
        simulation
    }

    fn schedule(&mut self, after: Duration, event: SimulationEvent) {
        let at = self.clock.elapsed() + after;
        self.events.push(Reverse((at, event)));
    }

    fn step(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::Arrive => self.arrive(),
            SimulationEvent::Offer(id) => self.offer_call(id),
            SimulationEvent::Response(entry, threshold) => {
                let service = self.route.clone();
                let notices = [ThresholdNotice { service, threshold }];
                let carried = if threshold > CallRank::MIN {
                    &notices[..]
                } else {
                    &[]
                };
                self.threshold_tables[entry].learn(&self.route, carried);
            }
            SimulationEvent::Complete(id) => self.complete(id),
            SimulationEvent::Expire => {
                let actions = self.limiter.expire();
                self.apply(&actions);
                self.schedule(EXPIRE_EVERY, SimulationEvent::Expire);
            }
        }
    }

    fn arrive(&mut self) {
        self.next_id += 1;
        let id = self.next_id;
        let order = match self.random.next() % 10 {
            0 => RefusalOrder::Last,
            1..=4 => RefusalOrder::Middle,
            _ => RefusalOrder::First,
        };
        let rank = RankPolicy::rank(order, 100.0, u128::from(id));
        let deadline = self.clock.now() + self.setup.time_left;
        self.deadlines.insert(id, deadline);
        self.ranks.insert(id, rank);
        self.enter(id, rank);
        let capacity = self.setup.slots as f64 / self.setup.service.as_secs_f64();
        let (from, to) = self.setup.surge_s;
        let in_surge = (from..to).contains(&self.clock.elapsed().as_secs());
        let load = if in_surge {
            self.setup.overload
        } else {
            self.setup.normal_load
        };
        let mean = Duration::from_secs_f64(1.0 / (capacity * load));
        let gap = self.random.exponential(mean);
        self.schedule(gap, SimulationEvent::Arrive);
    }

    /// Checks the call against the thresholds at its entry node, and sends it on.
    fn enter(&mut self, id: u64, rank: CallRank) {
        let Some(entry) = self.entry_of(id) else {
            self.offer_call(id);
            return;
        };
        if self.threshold_tables[entry]
            .check(&self.route, rank)
            .is_err()
        {
            let second = self.second();
            self.refused_at_entry[second] += 1.0;
            return;
        }
        self.schedule(UPSTREAM_DELAY, SimulationEvent::Offer(id));
    }

    fn offer_call(&mut self, id: u64) {
        let outcome = self.limiter.offer(CallOffer {
            id,
            rank: self.ranks[&id],
            deadline: self.deadlines[&id],
            fingerprint: id,
        });
        self.apply(&outcome.actions);
        match outcome.decision {
            AdmitDecision::Run => self.start(id),
            AdmitDecision::Queued => {}
            AdmitDecision::Refuse(_) => self.refused(id),
        }
    }

    fn entry_of(&self, id: u64) -> Option<usize> {
        id.checked_rem(self.threshold_tables.len() as u64)
            .and_then(|entry| usize::try_from(entry).ok())
    }

    /// Sends the threshold back to the call's entry node, as every response does.
    fn respond(&mut self, id: u64) {
        if let Some(entry) = self.entry_of(id) {
            let threshold = self.limiter.rank_threshold();
            self.schedule(UPSTREAM_DELAY, SimulationEvent::Response(entry, threshold));
        }
    }

    fn second(&self) -> usize {
        usize::try_from(self.clock.elapsed().as_secs()).unwrap_or(0)
    }

    fn apply(&mut self, actions: &QueueActions) {
        for action in actions {
            match action {
                QueueAction::Start(id) => self.start(*id),
                QueueAction::Refuse(id, _) => self.refused(*id),
            }
        }
    }

    fn refused(&mut self, id: u64) {
        self.respond(id);
        let importance = self.ranks[&id].importance();
        if importance == RankPolicy::importance(RefusalOrder::Last) {
            self.last_class_refused += 1;
        }
    }

    fn start(&mut self, id: u64) {
        if self.busy_slots < self.setup.slots {
            self.serve(id);
        } else {
            self.server_queue.push_back(id);
        }
    }

    fn serve(&mut self, id: u64) {
        self.busy_slots += 1;
        let second = self.clock.elapsed().as_secs();
        let (from, to) = self.setup.slow_s;
        let slow = (from..to).contains(&second);
        let factor = if slow { self.setup.slowdown } else { 1.0 };
        let time = self.random.exponential(self.setup.service.mul_f64(factor));
        self.schedule(time, SimulationEvent::Complete(id));
    }

    fn complete(&mut self, id: u64) {
        self.busy_slots -= 1;
        if self.clock.now() <= self.deadlines[&id] {
            let second = self.second();
            self.completed_in_time[second] += 1.0;
        }
        self.respond(id);
        if let Some(next) = self.server_queue.pop_front() {
            self.serve(next);
        }
        let actions = self.limiter.finish(id, CallOutcome::Completed);
        self.apply(&actions);
    }

    /// Returns the rate of calls completed in time between two seconds, relative to `capacity`.
    fn goodput(&self, from_s: usize, to_s: usize, capacity: f64) -> f64 {
        let completed: f64 = self.completed_in_time[from_s..to_s].iter().sum();
        completed / ((to_s - from_s) as f64 * capacity)
    }
}

fn capacity(setup: &SimulationSetup) -> f64 {
    setup.slots as f64 / setup.service.as_secs_f64()
}

#[test]
fn goodput_stays_near_the_capacity_under_overload() {
    for seed in SEEDS {
        let setup = SimulationSetup::new(150, 150, seed);
        let simulation = Simulation::run(setup, 20);
        let goodput = simulation.goodput(2, 20, capacity(&setup));
        assert!(goodput >= GOODPUT_MIN, "seed {seed}: {goodput}");
        assert_eq!(simulation.last_class_refused, 0, "seed {seed}");
    }
}

#[test]
fn goodput_follows_a_server_that_slows_down_five_times_and_recovers() {
    for seed in SEEDS {
        let setup = SimulationSetup {
            slow_s: (10, 40),
            slowdown: 5.0,
            overload: 1.2,
            time_left: Duration::from_secs(2),
            ..SimulationSetup::new(25, 25, seed)
        };
        let simulation = Simulation::run(setup, 60);
        let full = capacity(&setup);
        let before = simulation.goodput(2, 10, full);
        let slow = simulation.goodput(12, 40, full / 5.0);
        let after = simulation.goodput(42, 60, full);
        assert!(before >= GOODPUT_MIN, "seed {seed}: {before}");
        assert!(slow >= GOODPUT_MIN, "seed {seed}: {slow}");
        assert!(after >= RECOVERED_MIN * before, "seed {seed}: {after}");
    }
}

#[test]
fn a_wrong_hint_of_the_slots_is_corrected() {
    for hint in [5, 15, 600] {
        for seed in SEEDS {
            let setup = SimulationSetup {
                time_left: Duration::from_millis(400),
                ..SimulationSetup::new(100, hint, seed)
            };
            let simulation = Simulation::run(setup, 30);
            let goodput = simulation.goodput(10, 30, capacity(&setup));
            assert!(goodput >= GOODPUT_MIN, "hint {hint} seed {seed}: {goodput}");
        }
    }
}

/// Sums values per second between two seconds.
fn sum(values: &[f64], from_s: usize, to_s: usize) -> f64 {
    values[from_s..to_s].iter().sum()
}

#[test]
fn entry_nodes_refuse_calls_during_a_surge_and_stop_when_it_ends() {
    for seed in SEEDS {
        let setup = SimulationSetup {
            surge_s: (5, 25),
            normal_load: 0.6,
            entry_nodes: 8,
            ..SimulationSetup::new(100, 100, seed)
        };
        let simulation = Simulation::run(setup, 35);
        let goodput = simulation.goodput(7, 25, capacity(&setup));
        let after = simulation.goodput(27, 35, capacity(&setup)) / setup.normal_load;
        let refused_after = sum(&simulation.refused_at_entry, 27, 35);
        assert!(goodput >= GOODPUT_MIN, "seed {seed}: {goodput}");
        assert!(after >= RECOVERED_MIN, "seed {seed}: {after}");
        assert!(refused_after < 1.0, "seed {seed}: {refused_after}");
        assert_eq!(simulation.last_class_refused, 0, "seed {seed}");
    }
}

#[test]
fn the_limit_of_a_server_with_few_calls_a_second_does_not_stay_below_its_slots() {
    for seed in SEEDS {
        let setup = SimulationSetup {
            service: Duration::from_millis(2500),
            time_left: Duration::from_secs(30),
            ..SimulationSetup::new(10, 10, seed)
        };
        let simulation = Simulation::run(setup, 200);
        let goodput = simulation.goodput(50, 200, capacity(&setup));
        assert!(goodput >= GOODPUT_MIN, "seed {seed}: {goodput}");
    }
}
