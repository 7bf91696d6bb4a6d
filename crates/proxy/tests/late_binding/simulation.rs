//! Sending nodes, backend servers of unequal speed and the delays between them, on virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use admit::CallTiming;
use admit::DequeuedCalls;
use admit::SlotDecision;
use admit::SlotLimiter;
use model::context::CallRank;
use model::ids::NodeId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::CallPlacement;
use route::LeastLoadedPicker;
use route::SendResult;
use route::WaitRule;

use crate::parts::Call;
use crate::parts::Event;
use crate::parts::Server;
use crate::parts::Strategy;
use crate::parts::delay;
use crate::parts::node;
use crate::parts::picker;

/// Time in which calls arrive; those of the first second are not counted.
const RUN: Duration = Duration::from_secs(3);
const WARM_UP: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(50);
const MEAN_SERVICE: Duration = Duration::from_millis(30);
const TIME_LEFT: Duration = Duration::from_millis(500);
const AIM: Duration = Duration::from_millis(200);
const REFUSALS_MAX: u32 = 3;
const HOPS_MAX: usize = 2;
/// Time for which the news of a free slot is used.
const TOKEN_VALID: Duration = Duration::from_millis(50);

/// Senders, servers, slots of each, lowest and highest speed, and whether servers are noisy.
pub(crate) type Scenario = (usize, usize, u32, (f64, f64), bool);

struct Simulation {
    strategy: Strategy,
    noisy: bool,
    slots: u32,
    gap: Duration,
    start: Instant,
    now: Duration,
    random: StdRng,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    calls: Vec<Call>,
    servers: Vec<Server>,
    senders: Vec<(LeastLoadedPicker, VecDeque<(Duration, usize)>)>,
    messages: u32,
    answered: u32,
    in_aim: u32,
    refused: u32,
}

/// Fractions of the calls that were answered within the aim and at all, and messages for each call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    pub(crate) in_aim: f64,
    pub(crate) answered: f64,
    pub(crate) messages: f64,
}

/// Runs a scenario; `load` is the demand as a fraction of the capacity.
pub(crate) fn run(strategy: Strategy, scenario: Scenario, load: f64) -> Outcome {
    let (sender_count, count, slots, (low, high), noisy) = scenario;
    let start = Instant::now();
    let new_server = |number: usize| {
        let mut limiter = SlotLimiter::default();
        limiter.set_slots(slots);
        Server {
            limiter,
            speed: low + (high - low) * number as f64 / (count - 1) as f64,
            picker: picker(number, count, slots, start),
            queued: VecDeque::new(),
        }
    };
    let servers: Vec<Server> = (0..count).map(new_server).collect();
    let speeds: f64 = servers.iter().map(|server| server.speed).sum();
    let mean_factor = if noisy { 1.225 } else { 1.0 };
    let new_sender = |number| (picker(number, count, slots, start), VecDeque::new());
    let mut simulation = Simulation {
        strategy,
        noisy,
        slots,
        gap: MEAN_SERVICE.mul_f64(mean_factor / (speeds * f64::from(slots) * load)),
        start,
        now: Duration::ZERO,
        random: StdRng::seed_from_u64(1),
        events: BinaryHeap::new(),
        sequence: 0,
        calls: Vec::new(),
        servers,
        senders: (0..sender_count).map(new_sender).collect(),
        messages: 0,
        answered: 0,
        in_aim: 0,
        refused: 0,
    };
    simulation.push(Duration::ZERO, Event::Arrive);
    simulation.push(TICK, Event::Tick);
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.now = at;
        simulation.handle(event);
    }
    let all = f64::from(simulation.answered + simulation.refused);
    Outcome {
        in_aim: f64::from(simulation.in_aim) / all,
        answered: f64::from(simulation.answered) / all,
        messages: f64::from(simulation.messages) / simulation.calls.len() as f64,
    }
}

impl Simulation {
    fn push(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        let entry = (self.now + delay, self.sequence, event);
        self.events.push(Reverse(entry));
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        self.messages += 1;
        self.push(delay(from, to), event);
    }

    fn at(&self) -> Instant {
        self.start + self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Deliver(call, server) => self.deliver(call, server),
            Event::Refuse(call, server) => self.refuse(call, server),
            Event::Take(from, by) => self.hand_over(from, by),
            Event::Start(call, server) => self.run_call(call, server),
            Event::Done(call, server, service) => {
                self.release(server, Some(service));
                self.answer(call, server);
            }
            Event::Answer(call, server) => {
                self.record(call, server, SendResult::Answered);
                let taken = self.now.saturating_sub(self.calls[call].arrived);
                let counts = u32::from(self.calls[call].arrived >= WARM_UP);
                self.answered += counts;
                self.in_aim += if taken <= AIM { counts } else { 0 };
            }
            Event::Announce(sender, server) => self.senders[sender].1.push_back((self.now, server)),
            Event::Tick => {
                for server in 0..self.servers.len() {
                    let now = self.at();
                    let changes = self.servers[server].limiter.process_queue(now);
                    self.apply(server, changes);
                }
                if self.now < RUN + TIME_LEFT {
                    self.push(TICK, Event::Tick);
                }
            }
        }
    }

    fn arrive(&mut self) {
        let sender = self.random.random_range(0..self.senders.len());
        self.calls.push(Call {
            sender,
            arrived: self.now,
            placement: CallPlacement::default(),
            rule: WaitRule::MayWait,
            refusals: 0,
            path: Vec::new(),
        });
        self.place(self.calls.len() - 1);
        let gap = self.gap.mul_f64(-(1.0 - self.random.random::<f64>()).ln());
        if self.now < RUN {
            self.push(gap, Event::Arrive);
        }
    }

    fn place(&mut self, call: usize) {
        let (now, seed) = (self.at(), self.random.random());
        let entry = &mut self.calls[call];
        let (picker, announced) = &mut self.senders[entry.sender];
        let mut exclude = entry.placement.excluded(picker, now).to_vec();
        while let Some((at, server)) = announced.pop_front() {
            if self.now.saturating_sub(at) < TOKEN_VALID && !exclude.contains(&node(server)) {
                let others = (0..self.servers.len()).filter(|&other| other != server);
                exclude = others.map(node).collect();
                break;
            }
        }
        let Some(chosen) = picker.pick(&exclude, seed, now) else {
            self.refused += u32::from(entry.arrived >= WARM_UP);
            return;
        };
        if self.strategy == Strategy::RefuseAtOnce {
            entry.rule = entry.placement.wait_rule(chosen, picker, now);
        }
        let server = usize::try_from(chosen).unwrap();
        self.send(
            self.calls[call].sender,
            server,
            Event::Deliver(call, server),
        );
    }

    fn deliver(&mut self, call: usize, server: usize) {
        let now = self.at();
        let load = self.servers[server].limiter.load();
        let is_free = load.in_flight < load.limit && load.queued == 0;
        if !is_free && self.strategy == Strategy::Forward && self.forward(call, server) {
            return;
        }
        let entry = &self.calls[call];
        let age = self.now.saturating_sub(entry.arrived);
        let timing = CallTiming {
            time_left: TIME_LEFT.saturating_sub(age),
            target_left: AIM.saturating_sub(age),
            has_alternative: entry.refusals + 1 < REFUSALS_MAX,
        };
        let limiter = &mut self.servers[server].limiter;
        let decision = match entry.rule {
            WaitRule::MayWait => limiter.offer(node(call), CallRank::MAX, timing, now),
            WaitRule::RefuseAtOnce => limiter.offer_at_once(now),
        };
        match decision {
            SlotDecision::Run => self.run_call(call, server),
            SlotDecision::Wait => self.servers[server].queued.push_back(call),
            SlotDecision::Refuse { .. } => {
                self.send(server, self.calls[call].sender, Event::Refuse(call, server));
            }
        }
    }

    /// Passes a call on to another server; returns whether one is left.
    fn forward(&mut self, call: usize, server: usize) -> bool {
        let (now, seed) = (self.at(), self.random.random());
        let path = &mut self.calls[call].path;
        path.push(server);
        let exclude: Vec<NodeId> = path.iter().copied().map(node).collect();
        let picker = &mut self.servers[server].picker;
        let next = picker.pick(&exclude, seed, now);
        let Some(next) = next.filter(|_| path.len() <= HOPS_MAX) else {
            path.pop();
            return false;
        };
        let next = usize::try_from(next).unwrap();
        self.send(server, next, Event::Deliver(call, next));
        true
    }

    fn refuse(&mut self, call: usize, server: usize) {
        self.record(call, server, SendResult::Refused);
        let is_full = self.calls[call].rule == WaitRule::RefuseAtOnce;
        let entry = &mut self.calls[call];
        entry.placement.record(node(server), is_full);
        entry.refusals += u32::from(!is_full);
        let limit = if self.strategy == Strategy::Forward {
            1
        } else {
            REFUSALS_MAX
        };
        if entry.refusals < limit {
            self.place(call);
        } else {
            self.refused += u32::from(entry.arrived >= WARM_UP);
        }
    }

    /// Reports the result to all that chose a server for the call.
    fn record(&mut self, call: usize, server: usize, result: SendResult) {
        let (now, load) = (self.at(), self.servers[server].limiter.load());
        let entry = &self.calls[call];
        // A call that was taken over counts at the server that the sender chose.
        let hops: Vec<usize> = entry.path.iter().copied().chain([server]).collect();
        let known = |chosen: usize| (chosen == server).then_some(load);
        let picker = &mut self.senders[entry.sender].0;
        picker.record_result(node(hops[0]), result, known(hops[0]), now);
        if self.strategy == Strategy::Forward {
            for pair in hops.windows(2) {
                let picker = &mut self.servers[pair[0]].picker;
                picker.record_result(node(pair[1]), result, known(pair[1]), now);
            }
        }
    }

    /// Runs a call: slower on a full server, and 2.5 times as long for 15% of a noisy one's time.
    fn run_call(&mut self, call: usize, server: usize) {
        let running = f64::from(self.servers[server].limiter.load().in_flight);
        let full = if running > 0.95 * f64::from(self.slots) {
            1.25
        } else {
            1.0
        };
        let period = u64::try_from(self.now.as_millis() / 600).unwrap() + 7_919 * node(server);
        let is_slow = StdRng::seed_from_u64(period).random_bool(0.15);
        let noise = if self.noisy && is_slow { 2.5 } else { 1.0 };
        let work = 0.5 - 0.5 * (1.0 - self.random.random::<f64>()).ln();
        let service = MEAN_SERVICE.mul_f64(full * noise * work / self.servers[server].speed);
        self.push(service, Event::Done(call, server, service));
    }

    fn answer(&mut self, call: usize, server: usize) {
        let entry = &self.calls[call];
        let hops = [entry.sender].into_iter().chain(entry.path.iter().copied());
        let hops: Vec<usize> = hops.chain([server]).collect();
        let taken = hops.windows(2).map(|pair| delay(pair[0], pair[1])).sum();
        self.messages += u32::try_from(hops.len()).unwrap() - 1;
        self.push(taken, Event::Answer(call, server));
    }

    fn release(&mut self, server: usize, service: Option<Duration>) {
        let now = self.at();
        let changes = self.servers[server].limiter.finish(service, now);
        self.apply(server, changes);
        let load = self.servers[server].limiter.load();
        let is_idle = load.queued == 0 && load.in_flight * 10 < load.limit * 9;
        if self.strategy == Strategy::IdleQueue && is_idle {
            let sender = self.random.random_range(0..self.senders.len());
            self.send(server, sender, Event::Announce(sender, server));
        }
        if self.strategy == Strategy::Pull && load.queued == 0 && service.is_some() {
            self.take_call(server);
        }
    }

    /// Reserves a free slot for the first call of the longest queue.
    fn take_call(&mut self, server: usize) {
        let now = self.at();
        let longest = (0..self.servers.len()).max_by_key(|&it| self.servers[it].queued.len());
        let from = longest.filter(|&it| !self.servers[it].queued.is_empty());
        let limiter = &mut self.servers[server].limiter;
        if let Some(from) = from
            && limiter.offer_at_once(now) == SlotDecision::Run
        {
            self.send(server, from, Event::Take(from, server));
        }
    }

    fn hand_over(&mut self, from: usize, by: usize) {
        let Some(call) = self.servers[from].queued.pop_front() else {
            self.release(by, None);
            return;
        };
        self.servers[from].limiter.cancel_queued(node(call));
        self.calls[call].path.push(from);
        self.send(from, by, Event::Start(call, by));
    }

    fn apply(&mut self, server: usize, changes: DequeuedCalls) {
        let refused = changes.refused.iter().map(|(id, _)| *id);
        for id in changes.started.iter().copied().chain(refused.clone()) {
            self.servers[server].queued.retain(|&call| node(call) != id);
        }
        for id in changes.started {
            self.run_call(usize::try_from(id).unwrap(), server);
        }
        for id in refused {
            let call = usize::try_from(id).unwrap();
            self.send(server, self.calls[call].sender, Event::Refuse(call, server));
        }
    }
}
