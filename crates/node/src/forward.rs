//! Forwards a call to a node of its service, and retries it where that is safe.

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
use crate::call::CallRequest;
use crate::call::CallResponse;
use crate::state::NodeState;

/// A call to forward.
///
/// `time_left`, `allowance` and `stamp` of its context are set for each attempt.
pub(crate) struct OutgoingCall<'a> {
    /// Context sent with the call.
    pub context: CallContext,
    /// Time at which the caller gives up.
    pub deadline: Instant,
    /// Whether running it more than once is harmless.
    pub idempotent: bool,
    /// The request.
    pub request: &'a CallRequest,
}

/// Sends a call, and retries it on other nodes until it succeeds or must not be retried.
///
/// # Errors
///
/// Returns the failure of the last attempt; its verdict covers all attempts.
pub(crate) async fn forward<C: Clock>(
    state: &NodeState<C>,
    call: OutgoingCall<'_>,
    allowance: &mut RetryAllowance,
) -> Result<CallResponse, CallFailure> {
    let route = call.context.route.clone();
    state.thresholds().check(&route, call.context.rank)?;
    let mut context = call.context;
    let mut tried: SmallVec<[NodeId; 4]> = SmallVec::new();
    let mut may_have_run = false;
    let mut last_failure = CallFailure::not_run(FailureCause::NoBackend);
    loop {
        let Some(picked) = state.members.pick(&context.service, &tried).await else {
            return Err(include_earlier_attempts(last_failure, may_have_run));
        };
        let share = allowance.split();
        context.time_left = call.deadline.saturating_duration_since(state.clock.now());
        context.retry_allowance = share.amount();
        context.stamp = state.events.clock().next_timestamp();
        state.metrics.attempts.inc();
        let started = state.clock.now();
        let server = picked.server();
        let report = attempt::attempt(state, server.address, &context, call.request).await;
        let latency = state.clock.now().saturating_duration_since(started);
        picked.finish(&report, latency);
        if let Some(feedback) = &report.feedback {
            allowance.restore(share, feedback.retry_allowance_left);
            state.thresholds().learn(&route, &feedback.thresholds);
        }
        let failure = match report.result {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        may_have_run |= failure.verdict != RunVerdict::NotRun;
        let deadline_passed = state.clock.now() >= call.deadline;
        let is_below_threshold = state.thresholds().check(&route, context.rank).is_err();
        if deadline_passed
            || is_below_threshold
            || !is_retryable(&failure, call.idempotent)
            || !allowance.charge()
        {
            return Err(include_earlier_attempts(failure, may_have_run));
        }
        state.metrics.retries.inc();
        state.events.push(
            EventRecord::new("call-retried")
                .request(context.request)
                .field("service", &context.service)
                .field("cause", &failure.cause),
        );
        tried.push(server.node);
        last_failure = failure;
    }
}

/// Makes the verdict of a failure cover earlier attempts: if one of them may have run, so
/// may the call.
fn include_earlier_attempts(mut failure: CallFailure, may_have_run: bool) -> CallFailure {
    if may_have_run && failure.verdict == RunVerdict::NotRun {
        failure.verdict = RunVerdict::MayHaveRun;
    }
    failure
}

/// Returns whether another attempt is safe and may succeed.
///
/// A call whose backend server crashed is not retried even if it is idempotent, because
/// the call itself may have caused the crash.
fn is_retryable(failure: &CallFailure, idempotent: bool) -> bool {
    match failure.cause {
        FailureCause::NoBackend
        | FailureCause::Draining
        | FailureCause::NoLease
        | FailureCause::Shed
        | FailureCause::Overloaded => failure.verdict == RunVerdict::NotRun || idempotent,
        _ => false,
    }
}
