//! Requests that must run at most once, as far as their verdict is concerned.

use std::time::Duration;

use clock::Clock;
use model::context::CallContext;
use model::idempotency::IdempotencyKey;
use model::verdict::CallFailure;
use model::verdict::FailureCause;
use model::verdict::RunVerdict;

use crate::call::CallRequest;
use crate::headers;
use crate::state::NodeState;

/// Time to ask control for a record, in milliseconds.
const ASK_TIMEOUT_MS: u64 = 300;

/// Returns the identity of a request on a route that runs at most once.
///
/// # Errors
///
/// Fails when the request has no team or no proper idempotency key.
pub(crate) fn once_key(
    context: &CallContext,
    request: &CallRequest,
) -> Result<IdempotencyKey, CallFailure> {
    let bad_key = CallFailure::not_run(FailureCause::BadIdempotencyKey);
    let key = headers::parse_idempotency_key(&request.headers);
    let Some(team) = context.team.clone() else {
        return Err(CallFailure::not_run(FailureCause::BadCredentials));
    };
    Ok(IdempotencyKey {
        team,
        route: context.route.clone(),
        key: key.ok_or(bad_key)?,
    })
}

/// Corrects the verdict of a refusal: an earlier sending of the request may have run.
///
/// Control is asked for the record; when it does not tell, or when many
/// refusals ask already, the answer is the cautious one.
pub(crate) async fn covering_earlier<C: Clock>(
    state: &NodeState<C>,
    key: &IdempotencyKey,
    mut failure: CallFailure,
) -> CallFailure {
    if failure.verdict != RunVerdict::NotRun || failure.cause == FailureCause::KeyReused {
        return failure;
    }
    let may_have_run = match state.questions.try_acquire() {
        Ok(_permit) => {
            let limit = Duration::from_millis(ASK_TIMEOUT_MS);
            let answer = state.control.may_have_run(key, limit).await;
            answer.unwrap_or(true)
        }
        Err(_) => true,
    };
    if may_have_run {
        failure.verdict = RunVerdict::MayHaveRun;
    }
    failure
}
