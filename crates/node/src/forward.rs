//! Sends a call to a backend server of its service, and repeats it where that is safe.

use std::time::Instant;

use clock::Clock;
use limit::RetryAllowance;
use model::context::CallContext;
use model::ids::NodeId;
use model::verdict::CallFailure;
use model::verdict::FailureCause;
use model::verdict::RunVerdict;
use smallvec::SmallVec;
use timeline::EventRecord;

use crate::attempt;
use crate::call::CallAnswer;
use crate::call::CallRequest;
use crate::state::NodeState;

/// A call that is ready to be sent; `context.time_left` is set for each attempt.
pub(crate) struct OutgoingCall<'a> {
    /// Context to send along.
    pub context: CallContext,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Whether running it again does no harm.
    pub idempotent: bool,
    /// The request.
    pub request: &'a CallRequest,
}

/// Sends a call until it is answered or may not be repeated.
///
/// # Errors
///
/// Fails with the failure of the last attempt; its verdict covers all attempts.
pub(crate) async fn forward<C: Clock>(
    state: &NodeState<C>,
    call: OutgoingCall<'_>,
    allowance: &mut RetryAllowance,
) -> Result<CallAnswer, CallFailure> {
    let route = call.context.route.clone();
    state.cuts().check(&route, call.context.rank)?;
    let mut context = call.context;
    let mut tried: SmallVec<[NodeId; 4]> = SmallVec::new();
    let mut may_have_run = false;
    let mut last = CallFailure::not_run(FailureCause::NoBackend);
    loop {
        let Some(picked) = state.members.pick(&context.service, &tried).await else {
            return Err(covering(last, may_have_run));
        };
        let share = allowance.split();
        context.time_left = call.deadline.saturating_duration_since(state.clock.now());
        context.allowance = share.amount();
        context.stamp = state.events.clock().next_timestamp();
        state.metrics.attempts.inc();
        let begun = state.clock.now();
        let server = picked.server();
        let report = attempt::attempt(state, server.address, &context, call.request).await;
        let latency = state.clock.now().saturating_duration_since(begun);
        picked.finish(&report, latency);
        if let Some(feedback) = &report.feedback {
            allowance.restore(share, feedback.allowance_left);
            state.cuts().learn(&route, &feedback.cuts);
        }
        let failure = match report.result {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        may_have_run |= failure.verdict != RunVerdict::NotRun;
        let expired = state.clock.now() >= call.deadline;
        let is_cut = state.cuts().check(&route, context.rank).is_err();
        if expired || is_cut || !is_repeatable(&failure, call.idempotent) || !allowance.charge() {
            return Err(covering(failure, may_have_run));
        }
        state.metrics.retries.inc();
        state.events.push(
            EventRecord::new("call-retried")
                .request(context.request)
                .field("service", &context.service)
                .field("cause", &failure.cause),
        );
        tried.push(server.node);
        last = failure;
    }
}

/// Returns the failure with a verdict that covers earlier attempts too.
fn covering(mut failure: CallFailure, may_have_run: bool) -> CallFailure {
    if may_have_run && failure.verdict == RunVerdict::NotRun {
        failure.verdict = RunVerdict::MayHaveRun;
    }
    failure
}

/// Says whether another attempt is safe and can help.
///
/// A call whose backend server died is not repeated even if it is idempotent:
/// it may be what killed it.
fn is_repeatable(failure: &CallFailure, idempotent: bool) -> bool {
    match failure.cause {
        FailureCause::NoBackend
        | FailureCause::Draining
        | FailureCause::NoLease
        | FailureCause::Shed
        | FailureCause::Overloaded => failure.verdict == RunVerdict::NotRun || idempotent,
        _ => false,
    }
}
