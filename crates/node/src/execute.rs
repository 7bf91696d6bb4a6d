//! Runs a call on the local backend server.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use admit::CallOutcome;
use admit::QuarantineDecision;
use admit::ThresholdList;
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

use crate::admission::AdmissionPermit;
use crate::backend::BackendOutcome;
use crate::call::CallRequest;
use crate::call::CallResponse;
use crate::crash_probe;
use crate::idempotency;
use crate::parent::ParentCall;
use crate::peer_calls;
use crate::server::ServerTarget;
use crate::state::NodeState;

/// Largest response body that is stored to answer resends, in bytes.
const STORED_BODY_MAX_BYTES: usize = 16 * 1024;
/// Timeout of recording the outcome of a claimed request at control, in milliseconds.
const RECORD_OUTCOME_TIMEOUT_MS: u64 = 10_000;

/// How a call ended at this node.
#[derive(Debug)]
pub(crate) struct ExecutedCall {
    /// The response or the failure.
    pub result: Result<CallResponse, CallFailure>,
    /// Retry allowance that came with the call and was not spent.
    pub allowance_left: u16,
    /// Admission thresholds that its sub-calls met downstream.
    pub downstream_thresholds: ThresholdList,
}

impl ExecutedCall {
    /// Creates the outcome of a call that was refused.
    pub(crate) fn refused(failure: CallFailure, allowance_left: u16) -> Self {
        Self {
            result: Err(failure),
            allowance_left,
            downstream_thresholds: ThresholdList::new(),
        }
    }
}

/// A call that may run now; dropping it ends the call at the limiter and the crash tracker.
struct AdmittedCall<'a, C: Clock> {
    state: &'a NodeState<C>,
    context: &'a CallContext,
    target: ServerTarget,
    permit: AdmissionPermit<C>,
    completed: bool,
}

impl<C: Clock> Drop for AdmittedCall<'_, C> {
    fn drop(&mut self) {
        let fingerprint = self.context.fingerprint;
        let crashes = &self.state.crashes;
        crashes.record_end(&self.target.service, fingerprint, self.completed);
    }
}

/// Runs a call without claiming it, since it may run more than once.
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

/// Runs a call at most once, by claiming its idempotency record first.
///
/// The call continues when its caller disconnects, so that its outcome is recorded.
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
    let key = match idempotency::record_key(context, request) {
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
    match claim_run(state, &claim, deadline).await {
        Ok(None) => {}
        Ok(Some(response)) => {
            return ExecutedCall {
                result: Ok(response),
                allowance_left: context.retry_allowance,
                downstream_thresholds: ThresholdList::new(),
            };
        }
        Err(failure) => return refused(failure),
    }
    let executed = run(state, admitted, deadline, request).await;
    record_outcome(state, claim, &executed);
    executed
}

/// Claims the right to run a request; returns the stored response when it ran before.
async fn claim_run<C: Clock>(
    state: &NodeState<C>,
    claim: &IdempotencyClaim,
    deadline: Instant,
) -> Result<Option<CallResponse>, CallFailure> {
    let time_left = deadline.saturating_duration_since(state.clock.now());
    let outcome = state.control.claim(claim, time_left).await;
    match outcome {
        Ok(ClaimOutcome::Fresh) => Ok(None),
        Ok(ClaimOutcome::Answered(stored)) => Ok(Some(peer_calls::response_from_stored(&stored))),
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

/// Records the outcome at control in the background, without delaying the response.
fn record_outcome<C: Clock>(
    state: &Arc<NodeState<C>>,
    claim: IdempotencyClaim,
    executed: &ExecutedCall,
) {
    let verdict = match &executed.result {
        Ok(_) => RunVerdict::Ran,
        Err(failure) => failure.verdict,
    };
    let outcome = IdempotencySettlement {
        key: claim.key,
        node: claim.node,
        attempt: claim.attempt,
        verdict,
        response: executed.result.as_ref().ok().and_then(response_to_store),
    };
    let state = Arc::clone(state);
    let tracker = state.background.clone();
    tracker.spawn(async move {
        let timeout = std::time::Duration::from_millis(RECORD_OUTCOME_TIMEOUT_MS);
        if let Err(error) = state.control.settle(&outcome, timeout).await {
            tracing::warn!(event = "settle-failed", error = %error);
        }
    });
}

fn response_to_store(response: &CallResponse) -> Option<StoredResponse> {
    if response.body.len() > STORED_BODY_MAX_BYTES {
        return None;
    }
    let content_type = response.headers.get(http::header::CONTENT_TYPE);
    Some(StoredResponse {
        status: response.status.as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned),
        body: response.body.clone(),
    })
}

/// Waits until the limiter admits the call, then checks that it is not quarantined.
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
    let permit = state.admission.acquire(context, deadline).await?;
    match state.crashes.check(&target.service, context.fingerprint) {
        QuarantineDecision::Run | QuarantineDecision::Probe => Ok(AdmittedCall {
            state,
            context,
            target,
            permit,
            completed: false,
        }),
        // A request is refused here only after it ran on a backend server that crashed.
        QuarantineDecision::Refuse(mut failure) => {
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
        downstream_thresholds: Mutex::default(),
        ended: CancellationToken::new(),
    });
    let guard = state.parents.insert(call, Arc::clone(&parent));
    let time_left = deadline.saturating_duration_since(state.clock.now());
    let address = admitted.target.address;
    let running = state.backend.run(address, call, request, time_left);
    let outcome = tokio::time::timeout(time_left, running).await;
    let result = match outcome {
        Ok(outcome) => {
            report_outcome(state, &mut admitted, &outcome);
            outcome.into_result()
        }
        Err(_) => Err(CallFailure::may_have_run(FailureCause::DeadlineExceeded)),
    };
    drop(guard);
    state.resend_tracker().forget_parent(call);
    let allowance = parent.allowance.lock();
    let allowance_left = allowance.unwrap_or_else(PoisonError::into_inner).left();
    let downstream_thresholds = parent
        .downstream_thresholds
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    ExecutedCall {
        result,
        allowance_left,
        downstream_thresholds: downstream_thresholds.clone(),
    }
}

/// Reports how a run ended to the limiter and the timeline, and starts a probe when the
/// connection was lost.
fn report_outcome<C: Clock>(
    state: &Arc<NodeState<C>>,
    admitted: &mut AdmittedCall<'_, C>,
    outcome: &BackendOutcome,
) {
    match outcome {
        BackendOutcome::Completed(_) | BackendOutcome::TooLarge => {
            admitted.completed = true;
            admitted.permit.set_outcome(CallOutcome::Completed);
        }
        BackendOutcome::Shed => admitted.permit.set_outcome(CallOutcome::Shed),
        BackendOutcome::Unreachable | BackendOutcome::Lost => {
            admitted.permit.set_outcome(CallOutcome::Failed);
            let event = EventRecord::new("backend-connection-lost")
                .request(admitted.context.request)
                .field("service", &admitted.target.service);
            state.events.push(event);
            crash_probe::probe_after_lost_connection(state, &admitted.target);
        }
    }
}
