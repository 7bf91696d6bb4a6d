//! Runs a call on the backend server beside this node.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use admit::CallOutcome;
use admit::CutList;
use admit::TrialDecision;
use clock::Clock;
use limit::RetryAllowance;
use model::context::CallContext;
use model::idempotency::ClaimOutcome;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencySettlement;
use model::idempotency::StoredResponse;
use model::verdict::CallFailure;
use model::verdict::FailureCause;
use model::verdict::RunVerdict;
use timeline::EventRecord;
use tokio_util::sync::CancellationToken;

use crate::backend::BackendOutcome;
use crate::call::CallAnswer;
use crate::call::CallRequest;
use crate::gate::GatePass;
use crate::lost;
use crate::once;
use crate::parent::ParentCall;
use crate::receive;
use crate::server::ServerTarget;
use crate::state::NodeState;

/// Largest answer that is kept for re-sends, in bytes.
const KEPT_ANSWER_BYTES: usize = 16 * 1024;
/// Time to settle a record of a request that ran, in milliseconds.
const SETTLE_TIMEOUT_MS: u64 = 10_000;

/// How a call ended here.
#[derive(Debug)]
pub(crate) struct ExecutedCall {
    /// The answer or the failure.
    pub result: Result<CallAnswer, CallFailure>,
    /// Extra attempts that came with the call and were not spent.
    pub allowance_left: u16,
    /// Cuts that its sub-calls met.
    pub below: CutList,
}

impl ExecutedCall {
    /// Creates the end of a call that was refused.
    pub(crate) fn refused(failure: CallFailure, allowance_left: u16) -> Self {
        Self {
            result: Err(failure),
            allowance_left,
            below: CutList::new(),
        }
    }
}

/// A call that may run now; dropping it ends it at the gate and among suspects.
struct AdmittedCall<'a, C: Clock> {
    state: &'a NodeState<C>,
    context: &'a CallContext,
    target: ServerTarget,
    pass: GatePass<C>,
    completed: bool,
}

impl<C: Clock> Drop for AdmittedCall<'_, C> {
    fn drop(&mut self) {
        let fingerprint = self.context.fingerprint;
        let crashes = &self.state.crashes;
        crashes.ended(&self.target.service, fingerprint, self.completed);
    }
}

/// Runs a call that may run more than once.
pub(crate) async fn execute<C: Clock>(
    state: &Arc<NodeState<C>>,
    context: &CallContext,
    deadline: Instant,
    request: &CallRequest,
) -> ExecutedCall {
    match admit(state, context, deadline).await {
        Ok(admitted) => run(state, admitted, deadline, request).await,
        Err(failure) => ExecutedCall::refused(failure, context.retry_allowance),
    }
}

/// Runs a call at most once.
///
/// It goes on when its caller hangs up, so that its outcome is recorded.
pub(crate) async fn execute_once<C: Clock>(
    state: &Arc<NodeState<C>>,
    context: &CallContext,
    deadline: Instant,
    request: CallRequest,
) -> ExecutedCall {
    let allowance = context.retry_allowance;
    let state = Arc::clone(state);
    let context = context.clone();
    let tracker = state.background.clone();
    let running =
        tracker.spawn(async move { claim_and_run(&state, &context, deadline, &request).await });
    running.await.unwrap_or_else(|_| {
        let failure = CallFailure::may_have_run(FailureCause::Internal);
        ExecutedCall::refused(failure, allowance)
    })
}

async fn claim_and_run<C: Clock>(
    state: &Arc<NodeState<C>>,
    context: &CallContext,
    deadline: Instant,
    request: &CallRequest,
) -> ExecutedCall {
    let refused = |failure| ExecutedCall::refused(failure, context.retry_allowance);
    let key = match once::once_key(context, request) {
        Ok(key) => key,
        Err(failure) => return refused(failure),
    };
    let admitted = match admit(state, context, deadline).await {
        Ok(admitted) => admitted,
        Err(failure) => return refused(failure),
    };
    let claim = IdempotencyClaim {
        key,
        request_digest: request.digest(),
        node: state.node,
        attempt: rand::random(),
    };
    match claimed(state, &claim, deadline).await {
        Ok(None) => {}
        Ok(Some(answer)) => {
            return ExecutedCall {
                result: Ok(answer),
                allowance_left: context.retry_allowance,
                below: CutList::new(),
            };
        }
        Err(failure) => return refused(failure),
    }
    let executed = run(state, admitted, deadline, request).await;
    settle(state, claim, &executed);
    executed
}

/// Claims the first run; returns the kept answer when it ran before.
async fn claimed<C: Clock>(
    state: &NodeState<C>,
    claim: &IdempotencyClaim,
    deadline: Instant,
) -> Result<Option<CallAnswer>, CallFailure> {
    let time_left = deadline.saturating_duration_since(state.clock.now());
    let outcome = state.control.claim(claim, time_left).await;
    match outcome {
        Ok(ClaimOutcome::Fresh) => Ok(None),
        Ok(ClaimOutcome::Answered(answer)) => Ok(Some(receive::stored(&answer))),
        Ok(ClaimOutcome::Pending | ClaimOutcome::MayHaveRun) => {
            Err(CallFailure::may_have_run(FailureCause::Duplicate))
        }
        Ok(ClaimOutcome::KeyReused) => Err(CallFailure::not_run(FailureCause::KeyReused)),
        Ok(ClaimOutcome::Expired) => {
            Err(CallFailure::may_have_run(FailureCause::BadIdempotencyKey))
        }
        Err(_) => Err(CallFailure::may_have_run(FailureCause::NoQuorum)),
    }
}

/// Records how the run ended, without delaying the answer.
fn settle<C: Clock>(state: &Arc<NodeState<C>>, claim: IdempotencyClaim, executed: &ExecutedCall) {
    let verdict = match &executed.result {
        Ok(_) => RunVerdict::Ran,
        Err(failure) => failure.verdict,
    };
    let settle = IdempotencySettlement {
        key: claim.key,
        node: claim.node,
        attempt: claim.attempt,
        verdict,
        response: executed.result.as_ref().ok().and_then(kept_answer),
    };
    let state = Arc::clone(state);
    let tracker = state.background.clone();
    tracker.spawn(async move {
        let limit = std::time::Duration::from_millis(SETTLE_TIMEOUT_MS);
        if let Err(error) = state.control.settle(&settle, limit).await {
            tracing::warn!(event = "settle-failed", error = %error);
        }
    });
}

fn kept_answer(answer: &CallAnswer) -> Option<StoredResponse> {
    if answer.body.len() > KEPT_ANSWER_BYTES {
        return None;
    }
    let content_type = answer.headers.get(http::header::CONTENT_TYPE);
    Some(StoredResponse {
        status: answer.status.as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        body: answer.body.clone(),
    })
}

/// Waits until the gate lets the call run and nothing is held against it.
async fn admit<'a, C: Clock>(
    state: &'a NodeState<C>,
    context: &'a CallContext,
    deadline: Instant,
) -> Result<AdmittedCall<'a, C>, CallFailure> {
    let no_backend = CallFailure::not_run(FailureCause::NoBackend);
    let target = state.server.target().ok_or(no_backend.clone())?;
    if target.service != context.service {
        return Err(no_backend);
    }
    let pass = state.gate.enter(context, deadline).await?;
    match state.crashes.check(&target.service, context.fingerprint) {
        TrialDecision::Run | TrialDecision::Trial => Ok(AdmittedCall {
            state,
            context,
            target,
            pass,
            completed: false,
        }),
        // What is held against a request was learned from running it.
        TrialDecision::Refuse(mut failure) => {
            failure.verdict = RunVerdict::MayHaveRun;
            Err(failure)
        }
    }
}

async fn run<C: Clock>(
    state: &Arc<NodeState<C>>,
    mut admitted: AdmittedCall<'_, C>,
    deadline: Instant,
    request: &CallRequest,
) -> ExecutedCall {
    let call = rand::random();
    let context = admitted.context;
    let parent = Arc::new(ParentCall {
        context: context.clone(),
        deadline,
        allowance: Mutex::new(RetryAllowance::new(context.retry_allowance)),
        below: Mutex::default(),
        ended: CancellationToken::new(),
    });
    let guard = state.parents.enter(call, Arc::clone(&parent));
    let time_left = deadline.saturating_duration_since(state.clock.now());
    let address = admitted.target.address;
    let running = state.backend.run(address, call, request, time_left);
    let outcome = tokio::time::timeout(time_left, running).await;
    let result = match outcome {
        Ok(outcome) => {
            judge(state, &mut admitted, &outcome);
            outcome.into_result()
        }
        Err(_) => Err(CallFailure::may_have_run(FailureCause::DeadlineExceeded)),
    };
    drop(guard);
    state.resends().parent_ended(call);
    let allowance = parent.allowance.lock();
    let allowance_left = allowance.unwrap_or_else(PoisonError::into_inner).left();
    let below = parent.below.lock().unwrap_or_else(PoisonError::into_inner);
    ExecutedCall {
        result,
        allowance_left,
        below: below.clone(),
    }
}

/// Tells the gate, the crash watch and the time line how a run ended.
fn judge<C: Clock>(
    state: &Arc<NodeState<C>>,
    admitted: &mut AdmittedCall<'_, C>,
    outcome: &BackendOutcome,
) {
    match outcome {
        BackendOutcome::Answered(_) | BackendOutcome::TooLarge => {
            admitted.completed = true;
            admitted.pass.ended(CallOutcome::Completed);
        }
        BackendOutcome::Shed => admitted.pass.ended(CallOutcome::Shed),
        BackendOutcome::Unreachable | BackendOutcome::Lost => {
            admitted.pass.ended(CallOutcome::Failed);
            let event = EventRecord::new("backend-connection-lost")
                .request(admitted.context.request)
                .field("service", &admitted.target.service);
            state.events.push(event);
            lost::connection_lost(state, &admitted.target);
        }
    }
}
