//! Calls between nodes, and what their backend servers do with them.

use model::verdict::FailureCause;
use rand::Rng;

use crate::experiment::backend::BackendPlace;
use crate::experiment::backend::CallNumber;
use crate::experiment::control::CallAnswer;
use crate::experiment::control::CallControl;
use crate::experiment::control::EntryNumber;
use crate::experiment::control::HopNumber;
use crate::experiment::control::OfferDecision;
use crate::experiment::control::RunEnd;
use crate::experiment::graph::RouteIndex;
use crate::experiment::graph::ServerIndex;
use crate::experiment::harness::Harness;
use crate::experiment::harness::state::CallPlace;
use crate::experiment::harness::state::CallState;
use crate::experiment::harness::state::HarnessEvent;
use crate::experiment::harness::state::HopState;

impl<P: CallControl> Harness<P> {
    /// Begins a call: of a caller's request, or of a backend server's work on `parent`.
    pub(super) fn launch(
        &mut self,
        entry: EntryNumber,
        parent: Option<CallNumber>,
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

    fn send_attempt(&mut self, hop: HopNumber) {
        let call = self.calls.len();
        let sender = self.hops[hop].sender;
        self.hops[hop].attempts += 1;
        self.hops[hop].current = Some(call);
        self.calls.push(CallState {
            hop,
            server: sender,
            place: CallPlace::Sent,
            worked: false,
            step: 0,
            child: None,
            sent_at: self.now(),
        });
        let server = match self.control.choose(&self.info(call)) {
            Ok(server) => server,
            Err(cause) => {
                self.calls[call].place = CallPlace::Ended;
                self.note_refusal(call, cause);
                self.hops[hop].current = None;
                self.hop_ended(hop, false);
                return;
            }
        };
        self.calls[call].server = server;
        self.tally.attempts += 1;
        if self.hops[hop].attempts == 1 {
            self.tally.first_attempts += 1;
        } else {
            self.entries[self.hops[hop].entry].extra_attempts += 1;
        }
        let delay = self.delay(sender, server);
        self.queue.after(delay, HarnessEvent::CallReached(call));
        if let Some(timeout) = self.rules.attempt_timeout {
            self.queue
                .after(timeout, HarnessEvent::AttemptTimeout(call));
        }
    }

    pub(super) fn call_reached(&mut self, call: CallNumber) {
        if self.calls[call].place != CallPlace::Sent {
            return;
        }
        self.calls[call].place = CallPlace::Waiting;
        let mut actions = Vec::new();
        match self.control.offer(&self.info(call), &mut actions) {
            OfferDecision::Run => self.run_call(call),
            OfferDecision::Wait => {}
            OfferDecision::Refuse(cause) => self.refuse_call(call, cause),
        }
        self.act(actions);
    }

    /// Gives an admitted call to the backend server.
    pub(super) fn run_call(&mut self, call: CallNumber) {
        if self.calls[call].place != CallPlace::Waiting {
            return;
        }
        let now = self.now();
        let server = self.calls[call].server;
        let service = self.graph.service_of(server);
        self.tally.started(service, self.order_of(call), now);
        if self.drained == Some(server) {
            self.tally.drained_last = Some(now);
        }
        match self.backends[server].place(call) {
            BackendPlace::Slot => self.start_work(call),
            BackendPlace::Backlog => self.calls[call].place = CallPlace::Backlog,
            BackendPlace::Refused => {
                let answer = CallAnswer::Failure {
                    cause: FailureCause::Shed,
                    not_run: true,
                };
                self.note_refusal(call, FailureCause::Shed);
                self.end_call(call, RunEnd::Shed, Some(answer));
            }
        }
    }

    fn start_work(&mut self, call: CallNumber) {
        let server = self.calls[call].server;
        self.calls[call].place = CallPlace::Running;
        self.calls[call].worked = true;
        let hop = &self.hops[self.calls[call].hop];
        let (entry, route) = (hop.entry, hop.route);
        let shape = &self.graph.routes[route];
        let deep = shape.service == self.graph.deep;
        let mean = shape.work.mul_f64(self.slowness(server));
        let work = mean.mul_f64(self.random.random_range(0.5..1.5));
        self.entries[entry].work_s += work.as_secs_f64();
        if deep {
            self.tally.deep_work_s += self.within_cause(work);
        }
        let request = self.entries[entry].request;
        if deep && self.requests[request].record.poison {
            self.queue.after(work / 2, HarnessEvent::Crash(server));
        } else {
            self.queue.after(work, HarnessEvent::WorkDone(call));
        }
    }

    /// Makes the next sub-call, or answers when there is none left.
    pub(super) fn work_done(&mut self, call: CallNumber) {
        if self.calls[call].place != CallPlace::Running {
            return;
        }
        let hop = &self.hops[self.calls[call].hop];
        let (entry, route) = (hop.entry, hop.route);
        let step = self.calls[call].step;
        match self.graph.routes[route].calls.get(step) {
            Some(next) => self.launch(entry, Some(call), *next, self.calls[call].server),
            None => self.end_call(call, RunEnd::Answered, Some(CallAnswer::Success)),
        }
    }

    /// Ends a call at its backend server, and sends the answer, if there is one.
    pub(super) fn end_call(&mut self, call: CallNumber, end: RunEnd, answer: Option<CallAnswer>) {
        let server = self.calls[call].server;
        self.calls[call].place = CallPlace::Ended;
        let next = self.backends[server].release(call);
        let info = self.info(call);
        let mut actions = Vec::new();
        self.control.ended(&info, end, &mut actions);
        if let Some(answer) = answer {
            self.reply(call, answer);
        }
        if let Some(next) = next {
            self.start_work(next);
        }
        self.act(actions);
    }

    pub(super) fn refuse_call(&mut self, call: CallNumber, cause: FailureCause) {
        if self.calls[call].place != CallPlace::Waiting {
            return;
        }
        self.calls[call].place = CallPlace::Ended;
        self.note_refusal(call, cause);
        let answer = CallAnswer::Failure {
            cause,
            not_run: true,
        };
        self.reply(call, answer);
    }

    fn reply(&mut self, call: CallNumber, answer: CallAnswer) {
        let said_not_run = matches!(answer, CallAnswer::Failure { not_run: true, .. });
        if said_not_run && self.calls[call].worked {
            self.tally.false_not_run += 1;
        }
        self.control.reply(&self.info(call));
        let sender = self.hops[self.calls[call].hop].sender;
        let delay = self.delay(self.calls[call].server, sender);
        let reached = HarnessEvent::AnswerReached { call, answer };
        self.queue.after(delay, reached);
    }

    pub(super) fn answer_reached(&mut self, call: CallNumber, answer: CallAnswer) {
        let hop = self.calls[call].hop;
        if self.hops[hop].current != Some(call) {
            return;
        }
        self.hops[hop].current = None;
        let latency = self.now().saturating_sub(self.calls[call].sent_at);
        let again = self.control.answered(&self.info(call), answer, latency);
        if again {
            self.send_attempt(hop);
        } else {
            self.hop_ended(hop, answer == CallAnswer::Success);
        }
    }

    pub(super) fn attempt_timeout(&mut self, call: CallNumber) {
        self.answer_reached(call, CallAnswer::TimedOut);
    }

    /// Goes on with the parent's work, or answers the caller.
    fn hop_ended(&mut self, hop: HopNumber, whole: bool) {
        let Some(parent) = self.hops[hop].parent else {
            self.close_entry(self.hops[hop].entry, whole);
            return;
        };
        if self.calls[parent].place != CallPlace::Running {
            return;
        }
        self.calls[parent].child = None;
        if whole {
            self.calls[parent].step += 1;
            self.work_done(parent);
        } else {
            self.end_call(parent, RunEnd::Answered, Some(CallAnswer::FailedBelow));
        }
    }

    /// Ends a call and everything below it, as its caller gave up.
    pub(super) fn cancel_hop(&mut self, hop: HopNumber) {
        let Some(call) = self.hops[hop].current.take() else {
            return;
        };
        self.control.abandoned(&self.info(call));
        match self.calls[call].place {
            CallPlace::Sent => self.calls[call].place = CallPlace::Ended,
            CallPlace::Ended => {}
            CallPlace::Waiting | CallPlace::Backlog | CallPlace::Running => {
                let child = self.calls[call].child.take();
                self.end_call(call, RunEnd::Cancelled, None);
                if let Some(child) = child {
                    self.cancel_hop(child);
                }
            }
        }
    }

    /// Counts a refusal for load.
    fn note_refusal(&mut self, call: CallNumber, cause: FailureCause) {
        let now = self.now();
        let hop = &self.hops[self.calls[call].hop];
        let service = self.graph.routes[hop.route].service;
        if hop.parent.is_none() {
            let request = self.entries[hop.entry].request;
            self.requests[request].record.refused = Some(cause);
        }
        if matches!(cause, FailureCause::Overloaded | FailureCause::Shed) {
            self.tally.refused(service, self.order_of(call), now);
        }
    }
}
