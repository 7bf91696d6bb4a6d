//! The receiving side of a call: gate, suspects, backend server.

use admit::AdmitDecision;
use admit::CallOffer;
use admit::CallOutcome;
use admit::CutList;
use admit::GateAction;
use admit::GateActions;
use admit::TrialDecision;
use limit::RetryAllowance;
use model::exchange::CrashReport;
use model::exchange::ServerState;
use model::ids::Fingerprint;
use model::verdict::FailureCause;

use crate::experiment::backend::AttemptId;
use crate::experiment::graph::ServerIndex;
use crate::experiment::managed::Actions;
use crate::experiment::managed::ManagedPolicy;
use crate::experiment::policy::CallDecision;
use crate::experiment::policy::CallInfo;
use crate::experiment::policy::PolicyAction;
use crate::experiment::policy::RunOutcome;

/// A call at its receiving node.
pub(super) struct RunSide {
    pub(super) allowance: RetryAllowance,
    pub(super) below: CutList,
    fingerprint: Fingerprint,
}

impl ManagedPolicy {
    pub(super) fn offer_call(&mut self, call: &CallInfo, actions: &mut Actions) -> CallDecision {
        let share = self.sent.get(&call.call).map(|sent| sent.share.amount());
        let Some(share) = share else {
            return CallDecision::Refuse(FailureCause::Cancelled);
        };
        let fingerprint = call.entry.fingerprint;
        let run = RunSide {
            allowance: RetryAllowance::new(share),
            below: CutList::new(),
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
            AdmitDecision::Refuse(failure) => CallDecision::Refuse(failure.cause),
            AdmitDecision::Queued => {
                self.nodes[node].waiting.insert(call.call);
                CallDecision::Wait
            }
        };
        self.carry_out(node, outcome.actions, actions);
        decision
    }

    /// Checks an admitted call against the suspects of crashes.
    fn try_suspect(
        &mut self,
        node: ServerIndex,
        call: AttemptId,
        actions: &mut Actions,
    ) -> CallDecision {
        let fingerprint = self.runs.get(&call).map_or(0, |run| run.fingerprint);
        match self.nodes[node].trials.check(fingerprint) {
            TrialDecision::Run | TrialDecision::Trial => CallDecision::Run,
            TrialDecision::Refuse(failure) => {
                let due = self.nodes[node].gate.cancel(call as u64);
                self.carry_out(node, due, actions);
                CallDecision::Refuse(failure.cause)
            }
        }
    }

    /// Tells the harness what the gate decided on calls that waited.
    pub(super) fn carry_out(&mut self, node: ServerIndex, due: GateActions, actions: &mut Actions) {
        for action in due {
            match action {
                GateAction::Start(id) => {
                    let call = usize::try_from(id).unwrap_or(usize::MAX);
                    self.nodes[node].waiting.remove(&call);
                    match self.try_suspect(node, call, actions) {
                        CallDecision::Refuse(cause) => {
                            actions.push(PolicyAction::RefuseCall(call, cause));
                        }
                        _ => actions.push(PolicyAction::Run(call)),
                    }
                }
                GateAction::Refuse(id, failure) => {
                    let call = usize::try_from(id).unwrap_or(usize::MAX);
                    self.nodes[node].waiting.remove(&call);
                    actions.push(PolicyAction::RefuseCall(call, failure.cause));
                }
            }
        }
    }

    pub(super) fn end_run(&mut self, call: &CallInfo, end: RunOutcome, actions: &mut Actions) {
        let node = call.receiver;
        let side = &mut self.nodes[node];
        let id = call.call as u64;
        let due = if side.waiting.remove(&call.call) {
            side.gate.cancel(id)
        } else {
            side.trials
                .ended(call.entry.fingerprint, end == RunOutcome::Answered);
            side.gate.finish(id, outcome_of(end))
        };
        if end == RunOutcome::Cancelled {
            self.runs.remove(&call.call);
        }
        self.carry_out(node, due, actions);
    }

    pub(super) fn server_crashed(&mut self, node: ServerIndex, actions: &mut Actions) {
        let side = &mut self.nodes[node];
        let crashed = side.gate.crashed();
        side.state = ServerState::Absent;
        side.crash_count += 1;
        let report = CrashReport {
            service: self.services[self.graph.service_of(node)].clone(),
            node: node as u64 + 1,
            crash: side.crash_count,
            suspects: side.trials.crashed(&crashed.fingerprints),
        };
        side.reports.push(report);
        self.carry_out(node, crashed.actions, actions);
        self.exchange_soon(node, actions);
    }
}

fn outcome_of(end: RunOutcome) -> CallOutcome {
    match end {
        RunOutcome::Answered => CallOutcome::Completed,
        RunOutcome::Shed => CallOutcome::Shed,
        RunOutcome::ServerCrashed => CallOutcome::Failed,
        RunOutcome::Cancelled => CallOutcome::Cancelled,
    }
}
