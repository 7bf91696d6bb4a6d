//! The receiving side of a call: concurrency limit, quarantine, backend server.

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

use crate::experiment::backend::AttemptId;
use crate::experiment::graph::ServerIndex;
use crate::experiment::managed::ManagedActions;
use crate::experiment::managed::ManagedPolicy;
use crate::experiment::policy::CallDecision;
use crate::experiment::policy::CallInfo;
use crate::experiment::policy::PolicyAction;
use crate::experiment::policy::RunOutcome;

/// A call at its receiving node.
pub(super) struct ReceivedCall {
    pub(super) allowance: RetryAllowance,
    pub(super) sub_call_thresholds: ThresholdList,
    fingerprint: Fingerprint,
}

impl ManagedPolicy {
    pub(super) fn offer_call(
        &mut self,
        call: &CallInfo,
        actions: &mut ManagedActions,
    ) -> CallDecision {
        let share = self.sent.get(&call.call).map(|sent| sent.share.amount());
        let Some(share) = share else {
            return CallDecision::Refuse(FailureCause::Cancelled);
        };
        let fingerprint = call.entry.fingerprint;
        let run = ReceivedCall {
            allowance: RetryAllowance::new(share),
            sub_call_thresholds: ThresholdList::new(),
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
        let outcome = self.nodes[node].limiter.offer(offer);
        let decision = match outcome.decision {
            AdmitDecision::Run => self.check_quarantine(node, call.call, actions),
            AdmitDecision::Refuse(failure) => CallDecision::Refuse(failure.cause),
            AdmitDecision::Queued => {
                self.nodes[node].waiting.insert(call.call);
                CallDecision::Wait
            }
        };
        self.apply_queue_actions(node, outcome.actions, actions);
        decision
    }

    /// Checks whether an admitted call is in quarantine because of crashes.
    fn check_quarantine(
        &mut self,
        node: ServerIndex,
        call: AttemptId,
        actions: &mut ManagedActions,
    ) -> CallDecision {
        let fingerprint = self.runs.get(&call).map_or(0, |run| run.fingerprint);
        match self.nodes[node].quarantine.check(fingerprint) {
            QuarantineDecision::Run | QuarantineDecision::Probe => CallDecision::Run,
            QuarantineDecision::Refuse(failure) => {
                let due = self.nodes[node].limiter.cancel(call as u64);
                self.apply_queue_actions(node, due, actions);
                CallDecision::Refuse(failure.cause)
            }
        }
    }

    /// Passes the decisions of the limiter on queued calls to the harness.
    pub(super) fn apply_queue_actions(
        &mut self,
        node: ServerIndex,
        due: QueueActions,
        actions: &mut ManagedActions,
    ) {
        for action in due {
            match action {
                QueueAction::Start(id) => {
                    let call = usize::try_from(id).unwrap_or(usize::MAX);
                    self.nodes[node].waiting.remove(&call);
                    match self.check_quarantine(node, call, actions) {
                        CallDecision::Refuse(cause) => {
                            actions.push(PolicyAction::RefuseCall(call, cause));
                        }
                        _ => actions.push(PolicyAction::Run(call)),
                    }
                }
                QueueAction::Refuse(id, failure) => {
                    let call = usize::try_from(id).unwrap_or(usize::MAX);
                    self.nodes[node].waiting.remove(&call);
                    actions.push(PolicyAction::RefuseCall(call, failure.cause));
                }
            }
        }
    }

    pub(super) fn end_run(
        &mut self,
        call: &CallInfo,
        end: RunOutcome,
        actions: &mut ManagedActions,
    ) {
        let node = call.receiver;
        let state = &mut self.nodes[node];
        let id = call.call as u64;
        let due = if state.waiting.remove(&call.call) {
            state.limiter.cancel(id)
        } else {
            state
                .quarantine
                .record_end(call.entry.fingerprint, end == RunOutcome::Answered);
            state.limiter.finish(id, outcome_of(end))
        };
        if end == RunOutcome::Cancelled {
            self.runs.remove(&call.call);
        }
        self.apply_queue_actions(node, due, actions);
    }

    pub(super) fn server_crashed(&mut self, node: ServerIndex, actions: &mut ManagedActions) {
        let state = &mut self.nodes[node];
        let crashed = state.limiter.record_crash();
        state.state = ServerState::Absent;
        state.crash_count += 1;
        let report = CrashReport {
            service: self.services[self.graph.service_of(node)].clone(),
            node: node as u64 + 1,
            crash: state.crash_count,
            suspects: state.quarantine.record_crash(&crashed.fingerprints),
        };
        state.reports.push(report);
        self.apply_queue_actions(node, crashed.actions, actions);
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
