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
use admit::CutBook;
use admit::GateAction;
use admit::GateActions;
use admit::RankPolicy;
use clock::Clock;
use clock::VirtualClock;
use model::context::CallRank;
use model::context::ThresholdNotice;
use model::declaration::RefusalOrder;
use model::ids::RouteName;

/// Time between two calls of `expire`.
const EXPIRE_EVERY: Duration = Duration::from_millis(10);
/// Time between an entry node and the gate, each way.
const UPSTREAM: Duration = Duration::from_millis(20);
/// Share of goodput that the target asks for under overload.
const GOODPUT_SHARE: f64 = 0.9;
/// Share of the goodput before that must be back two seconds after the cause ended.
const RECOVERED_SHARE: f64 = 0.95;
/// Seeds of every measurement.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

/// What happens next.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum TrialEvent {
    Arrive,
    Reach(u64),
    Learn(usize, CallRank),
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
    /// Seconds between which the overload lasts; before and after it is `calm`.
    surge_s: (u64, u64),
    calm: f64,
    /// Entry nodes that learn cuts from answers; none sends everything to the gate.
    entries: usize,
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
            surge_s: (0, u64::MAX),
            calm: 0.0,
            entries: 0,
            seed,
        }
    }
}

/// The gate, the backend server behind it and the calls on their way.
struct BackendTrial {
    setup: TrialSetup,
    clock: VirtualClock,
    gate: AdmitGate<VirtualClock>,
    random: RandomSource,
    events: BinaryHeap<Reverse<(Duration, TrialEvent)>>,
    inner: VecDeque<u64>,
    busy: usize,
    deadlines: HashMap<u64, Instant>,
    ranks: HashMap<u64, CallRank>,
    books: Vec<CutBook<VirtualClock>>,
    route: RouteName,
    good: Vec<f64>,
    /// Calls refused at an entry node in each second.
    refused_early: Vec<f64>,
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
            gate,
            random: RandomSource(setup.seed),
            events: BinaryHeap::new(),
            inner: VecDeque::new(),
            busy: 0,
            deadlines: HashMap::new(),
            ranks: HashMap::new(),
            books: vec![CutBook::new(clock.clone()); setup.entries],
            route: "stock".into(),
            good: vec![0.0; length_s + 1],
            refused_early: vec![0.0; length_s + 1],
            last_refused: 0,
            next_id: 0,
            clock,
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
            TrialEvent::Reach(id) => self.reach(id),
            TrialEvent::Learn(entry, cut) => {
                let service = self.route.clone();
                let notices = [ThresholdNotice {
                    service,
                    threshold: cut,
                }];
                let cuts = if cut > CallRank::MIN {
                    &notices[..]
                } else {
                    &[]
                };
                self.books[entry].learn(&self.route, cuts);
            }
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
        self.enter(id, rank);
        let capacity = self.setup.slots as f64 / self.setup.service.as_secs_f64();
        let (from, to) = self.setup.surge_s;
        let in_surge = (from..to).contains(&self.clock.elapsed().as_secs());
        let load = if in_surge {
            self.setup.overload
        } else {
            self.setup.calm
        };
        let mean = Duration::from_secs_f64(1.0 / (capacity * load));
        let gap = self.random.exponential(mean);
        self.schedule(gap, TrialEvent::Arrive);
    }

    /// Checks the cut at the call's entry node and sends the call on.
    fn enter(&mut self, id: u64, rank: CallRank) {
        let Some(entry) = self.entry_of(id) else {
            self.reach(id);
            return;
        };
        if self.books[entry].check(&self.route, rank).is_err() {
            let second = self.second();
            self.refused_early[second] += 1.0;
            return;
        }
        self.schedule(UPSTREAM, TrialEvent::Reach(id));
    }

    fn reach(&mut self, id: u64) {
        let outcome = self.gate.offer(CallOffer {
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
        id.checked_rem(self.books.len() as u64)
            .and_then(|entry| usize::try_from(entry).ok())
    }

    /// Sends the cut back to the call's entry node, as every answer does.
    fn answer(&mut self, id: u64) {
        if let Some(entry) = self.entry_of(id) {
            let cut = self.gate.cut();
            self.schedule(UPSTREAM, TrialEvent::Learn(entry, cut));
        }
    }

    fn second(&self) -> usize {
        usize::try_from(self.clock.elapsed().as_secs()).unwrap_or(0)
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
        self.answer(id);
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
        if self.clock.now() <= self.deadlines[&id] {
            let second = self.second();
            self.good[second] += 1.0;
        }
        self.answer(id);
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
        assert!(after >= RECOVERED_SHARE * before, "seed {seed}: {after}");
    }
}

#[test]
fn a_wrong_hint_of_the_slots_is_corrected() {
    for hint in [5, 15, 600] {
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

/// Sums a figure per second between two seconds.
fn sum(figure: &[f64], from_s: usize, to_s: usize) -> f64 {
    figure[from_s..to_s].iter().sum()
}

#[test]
fn entry_nodes_refuse_what_the_gate_would_and_stop_when_the_surge_ends() {
    for seed in SEEDS {
        let setup = TrialSetup {
            surge_s: (5, 25),
            calm: 0.6,
            entries: 8,
            ..TrialSetup::new(100, 100, seed)
        };
        let trial = BackendTrial::run(setup, 35);
        let goodput = trial.goodput(7, 25, capacity(&setup));
        let after = trial.goodput(27, 35, capacity(&setup)) / setup.calm;
        let refused_after = sum(&trial.refused_early, 27, 35);
        assert!(goodput >= GOODPUT_SHARE, "seed {seed}: {goodput}");
        assert!(after >= RECOVERED_SHARE, "seed {seed}: {after}");
        assert!(refused_after < 1.0, "seed {seed}: {refused_after}");
        assert_eq!(trial.last_refused, 0, "seed {seed}");
    }
}

#[test]
fn a_server_with_few_calls_a_second_does_not_stay_below_its_slots() {
    for seed in SEEDS {
        let setup = TrialSetup {
            service: Duration::from_millis(2500),
            time_left: Duration::from_secs(30),
            ..TrialSetup::new(10, 10, seed)
        };
        let trial = BackendTrial::run(setup, 200);
        let goodput = trial.goodput(50, 200, capacity(&setup));
        assert!(goodput >= GOODPUT_SHARE, "seed {seed}: {goodput}");
    }
}
