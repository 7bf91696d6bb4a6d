//! The sending side of a call: cut, choice, allowance, learning from answers.

use std::time::Duration;

use admit::CutList;
use limit::AllowanceShare;
use limit::RetryAllowance;
use model::context::CallRank;
use model::context::CutNotice;
use model::context::ServerLoad;
use model::ids::NodeId;
use model::verdict::FailureCause;
use rand::Rng;
use route::CallResult;

use crate::experiment::graph::ServerIndex;
use crate::experiment::managed::ManagedPolicy;
use crate::experiment::policy::AttemptOutcome;
use crate::experiment::policy::CallInfo;

/// A request at its entry node.
pub(super) struct EntrySide {
    pub(super) rank: CallRank,
    /// The whole allowance, until the root call takes it.
    pub(super) allowance: Option<RetryAllowance>,
}

/// A call that is being sent, with all its attempts.
pub(super) struct ForwardSide {
    allowance: RetryAllowance,
    /// Share of the parent's allowance that it began with.
    share: Option<AllowanceShare>,
    tried: Vec<NodeId>,
}

/// An attempt under way.
pub(super) struct SentSide {
    node: NodeId,
    pub(super) share: AllowanceShare,
}

/// What an answer carries besides its result.
pub(super) struct ReplySide {
    allowance_left: u16,
    load: ServerLoad,
    cuts: CutList,
}

impl ManagedPolicy {
    pub(super) fn choose_server(&mut self, call: &CallInfo) -> Result<ServerIndex, FailureCause> {
        if call.earlier_attempts == 0 {
            self.begin_forward(call);
            let route = &self.routes[call.route];
            let rank = self.entries[&call.entry.entry].rank;
            if let Err(failure) = self.nodes[call.sender].cuts.check(route, rank) {
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
        let sent = SentSide {
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
                let whole = entry.and_then(|entry| entry.allowance.take());
                (whole.unwrap_or(RetryAllowance::new(0)), None)
            }
            Some(parent) => {
                let run = self.runs.get_mut(&parent);
                let share = run.map(|run| run.allowance.split());
                let amount = share.as_ref().map_or(0, AllowanceShare::amount);
                (RetryAllowance::new(amount), share)
            }
        };
        let forward = ForwardSide {
            allowance,
            share,
            tried: Vec::new(),
        };
        self.forwards.insert(call.hop, forward);
    }

    /// Gives back what is left of the allowance, and the cuts met.
    fn end_forward(&mut self, call: &CallInfo) {
        let Some(forward) = self.forwards.remove(&call.hop) else {
            return;
        };
        let left = forward.allowance.left();
        let Some(parent) = call.parent else {
            self.nodes[call.sender].budget.release(left);
            return;
        };
        let notices = self.nodes[call.sender]
            .cuts
            .notices(&self.routes[call.route]);
        let Some(run) = self.runs.get_mut(&parent) else {
            return;
        };
        if let Some(share) = forward.share {
            run.allowance.restore(share, left);
        }
        admit::merge_cuts(&mut run.below, &notices);
    }

    /// Fills in what the answer of a call carries.
    pub(super) fn build_reply(&mut self, call: &CallInfo) {
        let side = &mut self.nodes[call.receiver];
        let cut = side.gate.cut();
        let load = side.reported_load(&self.clock, self.report_lag);
        let share = self.sent.get(&call.call).map(|sent| sent.share.amount());
        let run = self.runs.remove(&call.call);
        let (allowance_left, mut cuts) = match run {
            Some(run) => (run.allowance.left(), run.below),
            None => (share.unwrap_or(0), CutList::new()),
        };
        if cut > CallRank::MIN {
            let service = self.services[call.service].clone();
            admit::merge_cuts(&mut cuts, &[CutNotice { service, cut }]);
        }
        let reply = ReplySide {
            allowance_left,
            load,
            cuts,
        };
        if share.is_some() {
            self.replies.insert(call.call, reply);
        }
    }

    pub(super) fn learn_answer(
        &mut self,
        call: &CallInfo,
        answer: AttemptOutcome,
        latency: Duration,
    ) -> bool {
        let reply = self.replies.remove(&call.call);
        let Some(sent) = self.sent.remove(&call.call) else {
            return false;
        };
        let side = &mut self.nodes[call.sender];
        let load = reply.as_ref().map(|reply| reply.load);
        let picker = &mut side.pickers[call.service];
        picker.record_result(sent.node, result_of(answer, latency), load);
        let Some(forward) = self.forwards.get_mut(&call.hop) else {
            return false;
        };
        if let Some(reply) = reply {
            forward.allowance.restore(sent.share, reply.allowance_left);
            side.cuts.learn(&self.routes[call.route], &reply.cuts);
        }
        if is_repeatable(answer) && forward.allowance.charge() {
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
                .budget
                .release(forward.allowance.left());
        }
    }
}

fn result_of(answer: AttemptOutcome, latency: Duration) -> CallResult {
    match answer {
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

/// Says whether another attempt is safe and can help, as the node does.
fn is_repeatable(answer: AttemptOutcome) -> bool {
    let AttemptOutcome::Failure { cause, not_run } = answer else {
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
