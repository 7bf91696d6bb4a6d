//! Discrete-event simulation of callers, nodes under one policy, and backend servers.

mod callers;
mod disturbance;
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
use crate::experiment::harness::state::AttemptState;
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

/// Fingerprint of the request that crashes backend servers.
const POISON_FINGERPRINT: u64 = 0xdead;

/// One run of one scenario under one policy.
pub struct Harness<P: ControlPolicy> {
    graph: CallGraph,
    scenario: Scenario,
    clock: VirtualClock,
    queue: EventQueue<HarnessEvent<P::Timer>>,
    policy: P,
    rules: HopRules,
    /// Random generator of demand, which must be the same under every policy.
    arrivals: StdRng,
    /// Random generator of everything else.
    random: StdRng,
    backends: Vec<SimulatedServer>,
    cold_since: Vec<Option<Duration>>,
    drained: Option<ServerIndex>,
    /// Reference buckets that all requests pass, whether the policy admits them or not.
    reference_buckets: Vec<ReferenceBucket>,
    /// Reference buckets that only the requests admitted by the policy pass.
    admitted_buckets: Vec<ReferenceBucket>,
    requests: Vec<RequestState>,
    entries: Vec<EntryState>,
    hops: Vec<HopState>,
    calls: Vec<AttemptState>,
    counters: RunCounters,
}

impl<P: ControlPolicy> Harness<P> {
    /// Runs a scenario to its end and returns the counters.
    #[must_use]
    pub fn run(graph: &CallGraph, scenario: &Scenario, seed: u64) -> RunCounters {
        let mut harness = Self::new(graph.clone(), scenario.clone(), seed);
        harness.start_callers();
        harness.schedule_disturbance();
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
        harness.apply_actions(actions);
        harness
    }

    fn handle(&mut self, event: HarnessEvent<P::Timer>) {
        match event {
            HarnessEvent::Arrive { class, team } => self.arrive(class, team),
            HarnessEvent::CallerSends(request) => self.caller_sends(request),
            HarnessEvent::EntryReached(entry) => self.entry_reached(entry),
            HarnessEvent::EntryDeadline(entry) => self.entry_deadline(entry),
            HarnessEvent::CallerAnswered { entry, success } => self.caller_answered(entry, success),
            HarnessEvent::CallReached(call) => self.call_reached(call),
            HarnessEvent::WorkDone(call) => self.work_done(call),
            HarnessEvent::ResponseReached { call, outcome } => self.response_reached(call, outcome),
            HarnessEvent::AttemptTimeout(call) => self.attempt_timeout(call),
            HarnessEvent::DisturbanceStarts => self.start_disturbance(),
            HarnessEvent::DisturbanceEnds => self.end_disturbance(),
            HarnessEvent::Crash(server) => self.crash(server),
            HarnessEvent::Restart(server) => self.restart(server),
            HarnessEvent::Timer(timer) => {
                let mut actions = Vec::new();
                self.policy.handle_timer(timer, &mut actions);
                self.apply_actions(actions);
            }
        }
    }

    /// Carries out the actions that a policy decided on.
    fn apply_actions(&mut self, actions: PolicyActions<P::Timer>) {
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

    fn refusal_order_of(&self, call: AttemptId) -> RefusalOrder {
        let hop = &self.hops[self.calls[call].hop];
        let class = self.entries[hop.entry].info.class;
        self.graph.classes[class].refusal_order
    }

    /// Describes an attempt to the policy.
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

    /// Draws the delay of a message between two nodes.
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
            if !entry.success {
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
