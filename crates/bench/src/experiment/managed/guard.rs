//! The receiving side of a call: gate, suspects, backend server.

use admit::AdmitDecision;
use admit::CallOffer;
use admit::CallOutcome;
use admit::QuarantineDecision;
use admit::QueueAction;
use admit::QueueActions;
use admit::ThresholdList;
use limit::RetryAllowance;
use model::exchange::CrashReport;
use model::exchange::ServerState;
use model::ids::Fingerprint;
use model::verdict::FailureCause;

use crate::experiment::backend::CallNumber;
use crate::experiment::control::CallInfo;
use crate::experiment::control::ControlAction;
use crate::experiment::control::OfferDecision;
use crate::experiment::control::RunEnd;
use crate::experiment::graph::ServerIndex;
use crate::experiment::managed::Actions;
use crate::experiment::managed::Managed;

/// A call at its receiving node.
pub(super) struct RunSide {
    pub(super) allowance: RetryAllowance,
    pub(super) below: ThresholdList,
    fingerprint: Fingerprint,
}

impl Managed {
    pub(super) fn offer_call(&mut self, call: &CallInfo, actions: &mut Actions) -> OfferDecision {
        let share = self.sent.get(&call.call).map(|sent| sent.share.amount());
        let Some(share) = share else {
            return OfferDecision::Refuse(FailureCause::Cancelled);
        };
        let fingerprint = call.entry.fingerprint;
        let run = RunSide {
            allowance: RetryAllowance::new(share),
            below: ThresholdList::new(),
            fingerprint,
        };
        self.runs.insert(call.call, run);
        let offer = CallOffer {
            id: call.call as u64,
            rank: self.entries[&call.entry.entry].rank,
            deadline: call.deadline,
            fingerprint,
        };
        let node = call.receiver;
        let outcome = self.nodes[node].gate.offer(offer);
        let decision = match outcome.decision {
            AdmitDecision::Run => self.try_suspect(node, call.call, actions),
            AdmitDecision::Refuse(failure) => OfferDecision::Refuse(failure.cause),
            AdmitDecision::Queued => {
                self.nodes[node].waiting.insert(call.call);
                OfferDecision::Wait
            }
        };
        self.carry_out(node, outcome.actions, actions);
        decision
    }

    /// Checks an admitted call against the suspects of crashes.
    fn try_suspect(
        &mut self,
        node: ServerIndex,
        call: CallNumber,
        actions: &mut Actions,
    ) -> OfferDecision {
        let fingerprint = self.runs.get(&call).map_or(0, |run| run.fingerprint);
        match self.nodes[node].trials.check(fingerprint) {
            QuarantineDecision::Run | QuarantineDecision::Probe => OfferDecision::Run,
            QuarantineDecision::Refuse(failure) => {
                let due = self.nodes[node].gate.cancel(call as u64);
                self.carry_out(node, due, actions);
                OfferDecision::Refuse(failure.cause)
            }
        }
    }

    /// Tells the harness what the gate decided on calls that waited.
    pub(super) fn carry_out(
        &mut self,
        node: ServerIndex,
        due: QueueActions,
        actions: &mut Actions,
    ) {
        for action in due {
            match action {
                QueueAction::Start(id) => {
                    let call = usize::try_from(id).unwrap_or(usize::MAX);
                    self.nodes[node].waiting.remove(&call);
                    match self.try_suspect(node, call, actions) {
                        OfferDecision::Refuse(cause) => {
                            actions.push(ControlAction::RefuseCall(call, cause));
                        }
                        _ => actions.push(ControlAction::Run(call)),
                    }
                }
                QueueAction::Refuse(id, failure) => {
                    let call = usize::try_from(id).unwrap_or(usize::MAX);
                    self.nodes[node].waiting.remove(&call);
                    actions.push(ControlAction::RefuseCall(call, failure.cause));
                }
            }
        }
    }

    pub(super) fn end_run(&mut self, call: &CallInfo, end: RunEnd, actions: &mut Actions) {
        let node = call.receiver;
        let side = &mut self.nodes[node];
        let id = call.call as u64;
        let due = if side.waiting.remove(&call.call) {
            side.gate.cancel(id)
        } else {
            side.trials
                .record_end(call.entry.fingerprint, end == RunEnd::Answered);
            side.gate.finish(id, outcome_of(end))
        };
        if end == RunEnd::Cancelled {
            self.runs.remove(&call.call);
        }
        self.carry_out(node, due, actions);
    }

    pub(super) fn server_crashed(&mut self, node: ServerIndex, actions: &mut Actions) {
        let side = &mut self.nodes[node];
        let crashed = side.gate.record_crash();
        side.state = ServerState::Absent;
        side.crash_count += 1;
        let report = CrashReport {
            service: self.services[self.graph.service_of(node)].clone(),
            node: node as u64 + 1,
            crash: side.crash_count,
            suspects: side.trials.record_crash(&crashed.fingerprints),
        };
        side.reports.push(report);
        self.carry_out(node, crashed.actions, actions);
        self.exchange_soon(node, actions);
    }
}

fn outcome_of(end: RunEnd) -> CallOutcome {
    match end {
        RunEnd::Answered => CallOutcome::Completed,
        RunEnd::Shed => CallOutcome::Shed,
        RunEnd::Lost => CallOutcome::Failed,
        RunEnd::Cancelled => CallOutcome::Cancelled,
    }
}
