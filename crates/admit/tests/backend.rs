//! The gate before a backend server with slots, an inner queue and changing speed.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use admit::AdmitDecision;
use admit::AdmitGate;
use admit::CallOffer;
use admit::CallOutcome;
use admit::GateAction;
use admit::GateActions;
use admit::RankPolicy;
use clock::Clock;
use clock::VirtualClock;
use model::context::CallRank;
use model::declaration::RefusalOrder;

/// Time between two calls of `expire`.
const EXPIRE_EVERY: Duration = Duration::from_millis(10);
/// Share of goodput that the target asks for under overload.
const GOODPUT_SHARE: f64 = 0.9;
/// Seeds of every measurement.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// What happens next.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum TrialEvent {
    Arrive,
    Done(u64),
    Expire,
}

/// A source of random numbers with a fixed seed.
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

/// Settings of one run.
#[derive(Clone, Copy)]
struct TrialSetup {
    slots: usize,
    hint: u32,
    service: Duration,
    time_left: Duration,
    /// Offered calls relative to what the slots complete at full speed.
    overload: f64,
    /// Seconds between which service takes `slowdown` times as long.
    slow_s: (u64, u64),
    slowdown: f64,
    seed: u64,
}

impl TrialSetup {
    fn new(slots: usize, hint: u32, seed: u64) -> Self {
        Self {
            slots,
            hint,
            service: Duration::from_millis(50),
            time_left: Duration::from_secs(1),
            overload: 3.0,
            slow_s: (0, 0),
            slowdown: 1.0,
            seed,
        }
    }
}

/// The gate, the backend server behind it and the calls on their way.
struct BackendTrial {
    setup: TrialSetup,
    clock: VirtualClock,
    start: Instant,
    gate: AdmitGate<VirtualClock>,
    random: RandomSource,
    events: BinaryHeap<Reverse<(Duration, TrialEvent)>>,
    inner: VecDeque<u64>,
    busy: usize,
    deadlines: HashMap<u64, Instant>,
    ranks: HashMap<u64, CallRank>,
    good: Vec<f64>,
    last_refused: u64,
    next_id: u64,
}

impl BackendTrial {
    fn run(setup: TrialSetup, length_s: usize) -> Self {
        let clock = VirtualClock::new();
        let mut gate = AdmitGate::new(clock.clone());
        gate.hint_slots(setup.hint);
        let mut trial = Self {
            setup,
            start: clock.now(),
            clock,
            gate,
            random: RandomSource(setup.seed),
            events: BinaryHeap::new(),
            inner: VecDeque::new(),
            busy: 0,
            deadlines: HashMap::new(),
            ranks: HashMap::new(),
            good: vec![0.0; length_s + 1],
            last_refused: 0,
            next_id: 0,
        };
        trial.schedule(Duration::ZERO, TrialEvent::Arrive);
        trial.schedule(EXPIRE_EVERY, TrialEvent::Expire);
        let length = Duration::from_secs(length_s as u64);
        while let Some(Reverse((at, event))) = trial.events.pop() {
            if at >= length {
                break;
            }
            trial.clock.set_elapsed(at);
            trial.step(event);
        }
        trial
    }

    fn schedule(&mut self, after: Duration, event: TrialEvent) {
        let at = self.clock.elapsed() + after;
        self.events.push(Reverse((at, event)));
    }

    fn step(&mut self, event: TrialEvent) {
        match event {
            TrialEvent::Arrive => self.arrive(),
            TrialEvent::Done(id) => self.done(id),
            TrialEvent::Expire => {
                let actions = self.gate.expire();
                self.apply(&actions);
                self.schedule(EXPIRE_EVERY, TrialEvent::Expire);
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
        let outcome = self.gate.offer(CallOffer {
            id,
            rank,
            deadline,
            fingerprint: id,
        });
        self.apply(&outcome.actions);
        match outcome.decision {
            AdmitDecision::Run => self.start(id),
            AdmitDecision::Queued => {}
            AdmitDecision::Refuse(_) => self.refused(id),
        }
        let capacity = self.setup.slots as f64 / self.setup.service.as_secs_f64();
        let mean = Duration::from_secs_f64(1.0 / (capacity * self.setup.overload));
        let gap = self.random.exponential(mean);
        self.schedule(gap, TrialEvent::Arrive);
    }

    fn apply(&mut self, actions: &GateActions) {
        for action in actions {
            match action {
                GateAction::Start(id) => self.start(*id),
                GateAction::Refuse(id, _) => self.refused(*id),
            }
        }
    }

    fn refused(&mut self, id: u64) {
        let importance = self.ranks[&id].importance();
        if importance == RankPolicy::importance(RefusalOrder::Last) {
            self.last_refused += 1;
        }
    }

    fn start(&mut self, id: u64) {
        if self.busy < self.setup.slots {
            self.serve(id);
        } else {
            self.inner.push_back(id);
        }
    }

    fn serve(&mut self, id: u64) {
        self.busy += 1;
        let second = self.clock.elapsed().as_secs();
        let (from, to) = self.setup.slow_s;
        let slow = (from..to).contains(&second);
        let factor = if slow { self.setup.slowdown } else { 1.0 };
        let time = self.random.exponential(self.setup.service.mul_f64(factor));
        self.schedule(time, TrialEvent::Done(id));
    }

    fn done(&mut self, id: u64) {
        self.busy -= 1;
        let second = (self.clock.now() - self.start).as_secs();
        if self.clock.now() <= self.deadlines[&id] {
            self.good[usize::try_from(second).unwrap_or(0)] += 1.0;
        }
        if let Some(next) = self.inner.pop_front() {
            self.serve(next);
        }
        let actions = self.gate.finish(id, CallOutcome::Completed);
        self.apply(&actions);
    }

    /// Returns the calls completed in time between two seconds, relative to `capacity` per second.
    fn goodput(&self, from_s: usize, to_s: usize, capacity: f64) -> f64 {
        let good: f64 = self.good[from_s..to_s].iter().sum();
        good / ((to_s - from_s) as f64 * capacity)
    }
}

fn capacity(setup: &TrialSetup) -> f64 {
    setup.slots as f64 / setup.service.as_secs_f64()
}

#[test]
fn goodput_stays_near_the_slots_under_a_surge() {
    for seed in SEEDS {
        let setup = TrialSetup::new(150, 150, seed);
        let trial = BackendTrial::run(setup, 20);
        let goodput = trial.goodput(2, 20, capacity(&setup));
        assert!(goodput >= GOODPUT_SHARE, "seed {seed}: {goodput}");
        assert_eq!(trial.last_refused, 0, "seed {seed}");
    }
}

#[test]
fn goodput_follows_a_server_that_slows_five_times_and_comes_back() {
    for seed in SEEDS {
        let setup = TrialSetup {
            slow_s: (10, 40),
            slowdown: 5.0,
            overload: 1.2,
            time_left: Duration::from_secs(2),
            ..TrialSetup::new(25, 25, seed)
        };
        let trial = BackendTrial::run(setup, 60);
        let full = capacity(&setup);
        let before = trial.goodput(2, 10, full);
        let slow = trial.goodput(12, 40, full / 5.0);
        let after = trial.goodput(42, 60, full);
        assert!(before >= GOODPUT_SHARE, "seed {seed}: {before}");
        assert!(slow >= GOODPUT_SHARE, "seed {seed}: {slow}");
        assert!(after >= 0.95 * before, "seed {seed}: {after}");
    }
}

#[test]
fn a_wrong_hint_of_the_slots_is_corrected() {
    for hint in [15, 600] {
        for seed in SEEDS {
            let setup = TrialSetup {
                time_left: Duration::from_millis(400),
                ..TrialSetup::new(100, hint, seed)
            };
            let trial = BackendTrial::run(setup, 30);
            let goodput = trial.goodput(10, 30, capacity(&setup));
            assert!(
                goodput >= GOODPUT_SHARE,
                "hint {hint} seed {seed}: {goodput}"
            );
        }
    }
}
