//! Calls between nodes, and their execution at backend servers.

use model::verdict::FailureCause;
use rand::Rng;

use crate::experiment::backend::AttemptId;
use crate::experiment::backend::Placement;
use crate::experiment::graph::RouteIndex;
use crate::experiment::graph::ServerIndex;
use crate::experiment::harness::Harness;
use crate::experiment::harness::state::AttemptPhase;
use crate::experiment::harness::state::AttemptState;
use crate::experiment::harness::state::HarnessEvent;
use crate::experiment::harness::state::HopState;
use crate::experiment::policy::AttemptOutcome;
use crate::experiment::policy::CallDecision;
use crate::experiment::policy::ControlPolicy;
use crate::experiment::policy::EntryId;
use crate::experiment::policy::HopId;
use crate::experiment::policy::RunOutcome;

impl<P: ControlPolicy> Harness<P> {
    /// Starts a hop: the first call of an entry, or a sub-call of `parent`.
    pub(super) fn start_hop(
        &mut self,
        entry: EntryId,
        parent: Option<AttemptId>,
        route: RouteIndex,
        sender: ServerIndex,
    ) {
        let hop = self.hops.len();
        self.hops.push(HopState {
            entry,
            parent,
            route,
            sender,
            attempts: 0,
            current: None,
        });
        match parent {
            Some(parent) => self.calls[parent].child = Some(hop),
            None => self.entries[entry].root = Some(hop),
        }
        self.send_attempt(hop);
    }

    fn send_attempt(&mut self, hop: HopId) {
        let call = self.calls.len();
        let sender = self.hops[hop].sender;
        self.hops[hop].attempts += 1;
        self.hops[hop].current = Some(call);
        self.calls.push(AttemptState {
            hop,
            server: sender,
            phase: AttemptPhase::Sent,
            has_run: false,
            sub_calls_done: 0,
            child: None,
            sent_at: self.now(),
        });
        let server = match self.policy.choose(&self.info(call)) {
            Ok(server) => server,
            Err(cause) => {
                self.calls[call].phase = AttemptPhase::Ended;
                self.record_refusal(call, cause);
                self.hops[hop].current = None;
                self.hop_ended(hop, false);
                return;
            }
        };
        self.calls[call].server = server;
        self.counters.attempts += 1;
        if self.hops[hop].attempts == 1 {
            self.counters.first_attempts += 1;
        } else {
            self.entries[self.hops[hop].entry].extra_attempts += 1;
        }
        let delay = self.delay(sender, server);
        self.queue
            .schedule_after(delay, HarnessEvent::CallReached(call));
        if let Some(timeout) = self.rules.attempt_timeout {
            self.queue
                .schedule_after(timeout, HarnessEvent::AttemptTimeout(call));
        }
    }

    pub(super) fn call_reached(&mut self, call: AttemptId) {
        if self.calls[call].phase != AttemptPhase::Sent {
            return;
        }
        self.calls[call].phase = AttemptPhase::Waiting;
        let mut actions = Vec::new();
        match self.policy.admit_call(&self.info(call), &mut actions) {
            CallDecision::Run => self.run_call(call),
            CallDecision::Wait => {}
            CallDecision::Refuse(cause) => self.refuse_call(call, cause),
        }
        self.apply_actions(actions);
    }

    /// Gives an admitted call to the backend server.
    pub(super) fn run_call(&mut self, call: AttemptId) {
        if self.calls[call].phase != AttemptPhase::Waiting {
            return;
        }
        let now = self.now();
        let server = self.calls[call].server;
        let service = self.graph.service_of(server);
        self.counters
            .record_start(service, self.refusal_order_of(call), now);
        if self.drained == Some(server) {
            self.counters.last_call_to_draining = Some(now);
        }
        match self.backends[server].accept(call) {
            Placement::Slot => self.start_work(call),
            Placement::Backlog => self.calls[call].phase = AttemptPhase::Backlog,
            Placement::Refused => {
                let outcome = AttemptOutcome::Failure {
                    cause: FailureCause::Shed,
                    not_run: true,
                };
                self.record_refusal(call, FailureCause::Shed);
                self.end_call(call, RunOutcome::Shed, Some(outcome));
            }
        }
    }

    fn start_work(&mut self, call: AttemptId) {
        let server = self.calls[call].server;
        self.calls[call].phase = AttemptPhase::Running;
        self.calls[call].has_run = true;
        let hop = &self.hops[self.calls[call].hop];
        let (entry, route) = (hop.entry, hop.route);
        let shape = &self.graph.routes[route];
        let bottleneck = shape.service == self.graph.bottleneck;
        let mean = shape.work.mul_f64(self.slowdown(server));
        let work = mean.mul_f64(self.random.random_range(0.5..1.5));
        self.entries[entry].work_s += work.as_secs_f64();
        if bottleneck {
            self.counters.bottleneck_work_s += self.seconds_in_disturbance(work);
        }
        let request = self.entries[entry].request;
        if bottleneck && self.requests[request].record.poison {
            self.queue
                .schedule_after(work / 2, HarnessEvent::Crash(server));
        } else {
            self.queue
                .schedule_after(work, HarnessEvent::WorkDone(call));
        }
    }

    /// Makes the next sub-call, or responds when none is left.
    pub(super) fn work_done(&mut self, call: AttemptId) {
        if self.calls[call].phase != AttemptPhase::Running {
            return;
        }
        let hop = &self.hops[self.calls[call].hop];
        let (entry, route) = (hop.entry, hop.route);
        let sub_calls_done = self.calls[call].sub_calls_done;
        match self.graph.routes[route].calls.get(sub_calls_done) {
            Some(next) => self.start_hop(entry, Some(call), *next, self.calls[call].server),
            None => self.end_call(call, RunOutcome::Answered, Some(AttemptOutcome::Success)),
        }
    }

    /// Ends a call at its backend server and sends the response, if there is one.
    pub(super) fn end_call(
        &mut self,
        call: AttemptId,
        end: RunOutcome,
        outcome: Option<AttemptOutcome>,
    ) {
        let server = self.calls[call].server;
        self.calls[call].phase = AttemptPhase::Ended;
        let next = self.backends[server].release(call);
        let info = self.info(call);
        let mut actions = Vec::new();
        self.policy.call_ended(&info, end, &mut actions);
        if let Some(outcome) = outcome {
            self.reply(call, outcome);
        }
        if let Some(next) = next {
            self.start_work(next);
        }
        self.apply_actions(actions);
    }

    pub(super) fn refuse_call(&mut self, call: AttemptId, cause: FailureCause) {
        if self.calls[call].phase != AttemptPhase::Waiting {
            return;
        }
        self.calls[call].phase = AttemptPhase::Ended;
        self.record_refusal(call, cause);
        let outcome = AttemptOutcome::Failure {
            cause,
            not_run: true,
        };
        self.reply(call, outcome);
    }

    fn reply(&mut self, call: AttemptId, outcome: AttemptOutcome) {
        let said_not_run = matches!(outcome, AttemptOutcome::Failure { not_run: true, .. });
        if said_not_run && self.calls[call].has_run {
            self.counters.false_not_run += 1;
        }
        self.policy.reply_sent(&self.info(call));
        let sender = self.hops[self.calls[call].hop].sender;
        let delay = self.delay(self.calls[call].server, sender);
        let reached = HarnessEvent::ResponseReached { call, outcome };
        self.queue.schedule_after(delay, reached);
    }

    pub(super) fn response_reached(&mut self, call: AttemptId, outcome: AttemptOutcome) {
        let hop = self.calls[call].hop;
        if self.hops[hop].current != Some(call) {
            return;
        }
        self.hops[hop].current = None;
        let latency = self.now().saturating_sub(self.calls[call].sent_at);
        let again = self
            .policy
            .response_received(&self.info(call), outcome, latency);
        if again {
            self.send_attempt(hop);
        } else {
            self.hop_ended(hop, outcome == AttemptOutcome::Success);
        }
    }

    pub(super) fn attempt_timeout(&mut self, call: AttemptId) {
        self.response_reached(call, AttemptOutcome::TimedOut);
    }

    /// Continues the parent's work, or responds to the caller.
    fn hop_ended(&mut self, hop: HopId, success: bool) {
        let Some(parent) = self.hops[hop].parent else {
            self.close_entry(self.hops[hop].entry, success);
            return;
        };
        if self.calls[parent].phase != AttemptPhase::Running {
            return;
        }
        self.calls[parent].child = None;
        if success {
            self.calls[parent].sub_calls_done += 1;
            self.work_done(parent);
        } else {
            self.end_call(
                parent,
                RunOutcome::Answered,
                Some(AttemptOutcome::SubCallFailed),
            );
        }
    }

    /// Cancels a hop and all its sub-calls after its caller stopped waiting.
    pub(super) fn cancel_hop(&mut self, hop: HopId) {
        let Some(call) = self.hops[hop].current.take() else {
            return;
        };
        self.policy.call_abandoned(&self.info(call));
        match self.calls[call].phase {
            AttemptPhase::Sent => self.calls[call].phase = AttemptPhase::Ended,
            AttemptPhase::Ended => {}
            AttemptPhase::Waiting | AttemptPhase::Backlog | AttemptPhase::Running => {
                let child = self.calls[call].child.take();
                self.end_call(call, RunOutcome::Cancelled, None);
                if let Some(child) = child {
                    self.cancel_hop(child);
                }
            }
        }
    }

    /// Records the cause of a refusal, and counts it if it was caused by overload.
    fn record_refusal(&mut self, call: AttemptId, cause: FailureCause) {
        let now = self.now();
        let hop = &self.hops[self.calls[call].hop];
        let service = self.graph.routes[hop.route].service;
        if hop.parent.is_none() {
            let request = self.entries[hop.entry].request;
            self.requests[request].record.last_refusal = Some(cause);
        }
        if matches!(cause, FailureCause::Overloaded | FailureCause::Shed) {
            self.counters
                .record_refusal(service, self.refusal_order_of(call), now);
        }
    }
}
