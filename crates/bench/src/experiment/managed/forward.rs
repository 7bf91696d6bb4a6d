//! The sending side of a call: rank threshold, load balancing, retry allowance, and what
//! responses report.

use std::time::Duration;

use admit::ThresholdList;
use limit::AllowanceShare;
use limit::RetryAllowance;
use model::context::CallRank;
use model::context::ServerLoad;
use model::context::ThresholdNotice;
use model::ids::NodeId;
use model::verdict::FailureCause;
use rand::Rng;
use route::CallResult;

use crate::experiment::graph::ServerIndex;
use crate::experiment::managed::ManagedPolicy;
use crate::experiment::policy::AttemptOutcome;
use crate::experiment::policy::CallInfo;

/// A request at its entry node.
pub(super) struct ManagedEntry {
    pub(super) rank: CallRank,
    /// The full retry allowance, until the first call takes it.
    pub(super) allowance: Option<RetryAllowance>,
}

/// A hop in progress, with all its attempts.
pub(super) struct ForwardState {
    allowance: RetryAllowance,
    /// Share of the parent's retry allowance that it started with.
    share: Option<AllowanceShare>,
    tried: Vec<NodeId>,
}

/// An attempt in flight.
pub(super) struct SentAttempt {
    node: NodeId,
    pub(super) share: AllowanceShare,
}

/// Metadata that a response carries besides its result.
pub(super) struct ReplyMetadata {
    allowance_left: u16,
    load: ServerLoad,
    thresholds: ThresholdList,
}

impl ManagedPolicy {
    pub(super) fn choose_server(&mut self, call: &CallInfo) -> Result<ServerIndex, FailureCause> {
        if call.earlier_attempts == 0 {
            self.begin_forward(call);
            let route = &self.routes[call.route];
            let rank = self.entries[&call.entry.entry].rank;
            if let Err(failure) = self.nodes[call.sender].thresholds.check(route, rank) {
                self.end_forward(call);
                return Err(failure.cause);
            }
        }
        let seed = self.random.random();
        let Some(forward) = self.forwards.get_mut(&call.hop) else {
            return Err(FailureCause::Internal);
        };
        let members = &mut self.nodes[call.sender].pickers[call.service];
        let Some(picked) = members.pick(&forward.tried, seed) else {
            self.end_forward(call);
            return Err(FailureCause::NoBackend);
        };
        let sent = SentAttempt {
            node: picked.node,
            share: forward.allowance.split(),
        };
        self.sent.insert(call.call, sent);
        Ok(usize::try_from(picked.node).unwrap_or(usize::MAX) - 1)
    }

    fn begin_forward(&mut self, call: &CallInfo) {
        let (allowance, share) = match call.parent {
            None => {
                let entry = self.entries.get_mut(&call.entry.entry);
                let full = entry.and_then(|entry| entry.allowance.take());
                (full.unwrap_or(RetryAllowance::new(0)), None)
            }
            Some(parent) => {
                let run = self.runs.get_mut(&parent);
                let share = run.map(|run| run.allowance.split());
                let amount = share.as_ref().map_or(0, AllowanceShare::amount);
                (RetryAllowance::new(amount), share)
            }
        };
        let forward = ForwardState {
            allowance,
            share,
            tried: Vec::new(),
        };
        self.forwards.insert(call.hop, forward);
    }

    /// Returns the unused retry allowance and the known rank thresholds to the parent.
    fn end_forward(&mut self, call: &CallInfo) {
        let Some(forward) = self.forwards.remove(&call.hop) else {
            return;
        };
        let left = forward.allowance.left();
        let Some(parent) = call.parent else {
            self.nodes[call.sender].retry_budget.release(left);
            return;
        };
        let notices = self.nodes[call.sender]
            .thresholds
            .notices(&self.routes[call.route]);
        let Some(run) = self.runs.get_mut(&parent) else {
            return;
        };
        if let Some(share) = forward.share {
            run.allowance.restore(share, left);
        }
        admit::merge_thresholds(&mut run.sub_call_thresholds, &notices);
    }

    /// Creates the metadata of the response to a call.
    pub(super) fn build_reply(&mut self, call: &CallInfo) {
        let state = &mut self.nodes[call.receiver];
        let threshold = state.limiter.rank_threshold();
        let load = state.reported_load(&self.clock, self.report_lag);
        let share = self.sent.get(&call.call).map(|sent| sent.share.amount());
        let run = self.runs.remove(&call.call);
        let (allowance_left, mut thresholds) = match run {
            Some(run) => (run.allowance.left(), run.sub_call_thresholds),
            None => (share.unwrap_or(0), ThresholdList::new()),
        };
        if threshold > CallRank::MIN {
            let service = self.services[call.service].clone();
            admit::merge_thresholds(&mut thresholds, &[ThresholdNotice { service, threshold }]);
        }
        let reply = ReplyMetadata {
            allowance_left,
            load,
            thresholds,
        };
        if share.is_some() {
            self.replies.insert(call.call, reply);
        }
    }

    pub(super) fn record_response(
        &mut self,
        call: &CallInfo,
        outcome: AttemptOutcome,
        latency: Duration,
    ) -> bool {
        let reply = self.replies.remove(&call.call);
        let Some(sent) = self.sent.remove(&call.call) else {
            return false;
        };
        let state = &mut self.nodes[call.sender];
        let load = reply.as_ref().map(|reply| reply.load);
        let picker = &mut state.pickers[call.service];
        picker.record_result(sent.node, result_of(outcome, latency), load);
        let Some(forward) = self.forwards.get_mut(&call.hop) else {
            return false;
        };
        if let Some(reply) = reply {
            forward.allowance.restore(sent.share, reply.allowance_left);
            state
                .thresholds
                .learn(&self.routes[call.route], &reply.thresholds);
        }
        if is_repeatable(outcome) && forward.allowance.charge() {
            forward.tried.push(sent.node);
            return true;
        }
        self.end_forward(call);
        false
    }

    pub(super) fn abandon(&mut self, call: &CallInfo) {
        self.replies.remove(&call.call);
        if let Some(sent) = self.sent.remove(&call.call) {
            let picker = &mut self.nodes[call.sender].pickers[call.service];
            picker.record_result(sent.node, CallResult::Cancelled, None);
        }
        let forward = self.forwards.remove(&call.hop);
        if let (None, Some(forward)) = (call.parent, forward) {
            self.nodes[call.sender]
                .retry_budget
                .release(forward.allowance.left());
        }
    }
}

fn result_of(outcome: AttemptOutcome, latency: Duration) -> CallResult {
    match outcome {
        AttemptOutcome::Success => CallResult::Answered { latency },
        AttemptOutcome::SubCallFailed => CallResult::Failed,
        AttemptOutcome::TimedOut => CallResult::Cancelled,
        AttemptOutcome::Failure { cause, .. } => match cause {
            FailureCause::NoBackend | FailureCause::Draining => CallResult::Leaving,
            FailureCause::ConnectionLost => CallResult::Failed,
            _ => CallResult::Refused,
        },
    }
}

/// Returns whether another attempt is safe and useful, by the same rule as in the node.
fn is_repeatable(outcome: AttemptOutcome) -> bool {
    let AttemptOutcome::Failure { cause, not_run } = outcome else {
        return false;
    };
    let helps = matches!(
        cause,
        FailureCause::NoBackend
            | FailureCause::Draining
            | FailureCause::Shed
            | FailureCause::Overloaded
    );
    helps && not_run
}
