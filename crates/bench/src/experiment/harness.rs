//! Runs callers, nodes under one way of control, and backend servers on virtual time.

mod callers;
mod causes;
mod flow;
mod state;

use std::time::Duration;

use clock::Clock;
use clock::VirtualClock;
use model::declaration::RefusalOrder;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::experiment::backend::AttemptId;
use crate::experiment::backend::SimulatedServer;
use crate::experiment::counters::RunCounters;
use crate::experiment::graph::CallGraph;
use crate::experiment::graph::ServerIndex;
use crate::experiment::harness::state::CallState;
use crate::experiment::harness::state::EntryState;
use crate::experiment::harness::state::HarnessEvent;
use crate::experiment::harness::state::HopState;
use crate::experiment::harness::state::RequestState;
use crate::experiment::policy::CallInfo;
use crate::experiment::policy::ControlPolicy;
use crate::experiment::policy::HopRules;
use crate::experiment::policy::PolicyAction;
use crate::experiment::policy::PolicyActions;
use crate::experiment::policy::PolicySetup;
use crate::experiment::queue::EventQueue;
use crate::experiment::reference_bucket::ReferenceBucket;
use crate::experiment::scenario::Scenario;

/// Fingerprint of the request that kills backend servers.
const POISON_FINGERPRINT: u64 = 0xdead;

/// One run of one scenario under one way of control.
pub struct Harness<P: ControlPolicy> {
    graph: CallGraph,
    scenario: Scenario,
    clock: VirtualClock,
    queue: EventQueue<HarnessEvent<P::Timer>>,
    policy: P,
    rules: HopRules,
    /// Draws that must be the same under every way of control.
    arrivals: StdRng,
    /// All other draws.
    random: StdRng,
    backends: Vec<SimulatedServer>,
    cold_since: Vec<Option<Duration>>,
    drained: Option<ServerIndex>,
    /// Buckets that let in what they can of all that is sent.
    reference_buckets: Vec<ReferenceBucket>,
    /// Buckets that are charged with what was let in.
    admitted_buckets: Vec<ReferenceBucket>,
    requests: Vec<RequestState>,
    entries: Vec<EntryState>,
    hops: Vec<HopState>,
    calls: Vec<CallState>,
    counters: RunCounters,
}

impl<P: ControlPolicy> Harness<P> {
    /// Runs a scenario to its end and returns the counts.
    #[must_use]
    pub fn run(graph: &CallGraph, scenario: &Scenario, seed: u64) -> RunCounters {
        let mut harness = Self::new(graph.clone(), scenario.clone(), seed);
        harness.start_callers();
        harness.schedule_cause();
        while let Some(event) = harness.queue.pop_until(scenario.total) {
            harness.handle(event);
        }
        harness.finish()
    }

    fn new(graph: CallGraph, scenario: Scenario, seed: u64) -> Self {
        let clock = VirtualClock::new();
        let rates = scenario.rates(&graph);
        let mut actions = Vec::new();
        let setup = PolicySetup {
            graph: graph.clone(),
            rates: rates.clone(),
            report_lag: scenario.report_lag,
            false_slot_hints: scenario.false_slot_hints,
            seed,
            clock: clock.clone(),
        };
        let policy = P::new(setup, &mut actions);
        let servers = 0..graph.server_count();
        let backend = |server| {
            let shape = &graph.services[graph.service_of(server)];
            SimulatedServer::new(shape.slots, shape.connections)
        };
        let mut harness = Self {
            rules: policy.rules(),
            policy,
            queue: EventQueue::new(clock.clone()),
            clock,
            arrivals: StdRng::seed_from_u64(seed),
            random: StdRng::seed_from_u64(seed ^ 0x5eed),
            backends: servers.map(backend).collect(),
            cold_since: vec![None; graph.server_count()],
            drained: None,
            reference_buckets: rates.iter().map(ReferenceBucket::new).collect(),
            admitted_buckets: rates.iter().map(ReferenceBucket::new).collect(),
            requests: Vec::new(),
            entries: Vec::new(),
            hops: Vec::new(),
            calls: Vec::new(),
            counters: RunCounters::new(&graph, scenario.total),
            graph,
            scenario,
        };
        harness.act(actions);
        harness
    }

    fn handle(&mut self, event: HarnessEvent<P::Timer>) {
        match event {
            HarnessEvent::Arrive { class, team } => self.arrive(class, team),
            HarnessEvent::CallerSends(request) => self.caller_sends(request),
            HarnessEvent::EntryReached(entry) => self.entry_reached(entry),
            HarnessEvent::EntryDeadline(entry) => self.entry_deadline(entry),
            HarnessEvent::CallerAnswered { entry, whole } => self.caller_answered(entry, whole),
            HarnessEvent::CallReached(call) => self.call_reached(call),
            HarnessEvent::WorkDone(call) => self.work_done(call),
            HarnessEvent::AnswerReached { call, answer } => self.answer_reached(call, answer),
            HarnessEvent::AttemptTimeout(call) => self.attempt_timeout(call),
            HarnessEvent::CauseBegins => self.cause_begins(),
            HarnessEvent::CauseEnds => self.cause_ends(),
            HarnessEvent::Crash(server) => self.crash(server),
            HarnessEvent::Restart(server) => self.restart(server),
            HarnessEvent::Timer(timer) => {
                let mut actions = Vec::new();
                self.policy.handle_timer(timer, &mut actions);
                self.act(actions);
            }
        }
    }

    /// Carries out what a decision led to.
    fn act(&mut self, actions: PolicyActions<P::Timer>) {
        for action in actions {
            match action {
                PolicyAction::AdmitEntry(entry) => self.forward_entry(entry),
                PolicyAction::RefuseEntry(entry, cause) => self.refuse_entry(entry, cause),
                PolicyAction::Run(call) => self.run_call(call),
                PolicyAction::RefuseCall(call, cause) => self.refuse_call(call, cause),
                PolicyAction::Timer(delay, timer) => {
                    self.queue.schedule_after(delay, HarnessEvent::Timer(timer));
                }
            }
        }
    }

    fn now(&self) -> Duration {
        self.queue.now()
    }

    fn order_of(&self, call: AttemptId) -> RefusalOrder {
        let hop = &self.hops[self.calls[call].hop];
        let class = self.entries[hop.entry].info.class;
        self.graph.classes[class].refusal_order
    }

    /// Describes an attempt to the way of control.
    fn info(&self, call: AttemptId) -> CallInfo {
        let state = &self.calls[call];
        let hop = &self.hops[state.hop];
        let entry = &self.entries[hop.entry];
        CallInfo {
            call,
            hop: state.hop,
            earlier_attempts: hop.attempts.saturating_sub(1),
            parent: hop.parent,
            entry: entry.info,
            sender: hop.sender,
            receiver: state.server,
            route: hop.route,
            service: self.graph.routes[hop.route].service,
            deadline: self.clock.now() + entry.deadline.saturating_sub(self.now()),
        }
    }

    /// Delay of a message between two nodes.
    fn delay(&mut self, from: ServerIndex, to: ServerIndex) -> Duration {
        let same = self.graph.data_centre_of(from) == self.graph.data_centre_of(to);
        let base = if from == to {
            Duration::ZERO
        } else if same {
            self.graph.intra_centre_delay
        } else {
            self.graph.inter_centre_delay
        };
        base.mul_f64(self.random.random_range(0.9..1.3))
    }

    fn finish(mut self) -> RunCounters {
        for entry in &self.entries {
            self.counters.extra_attempts_max =
                self.counters.extra_attempts_max.max(entry.extra_attempts);
            if !entry.whole {
                self.counters.wasted_work_s += entry.work_s;
            }
            self.counters.work_s += entry.work_s;
        }
        let poison = |fingerprint: &u64| *fingerprint == POISON_FINGERPRINT;
        let quarantined = self.policy.quarantined();
        let innocent = quarantined
            .iter()
            .filter(|fingerprint| !poison(fingerprint));
        self.counters.innocent_quarantined = innocent.count() as u64;
        self.counters.requests = self.requests.iter().map(|state| state.record).collect();
        self.counters
    }
}
