//! Idempotency keys of requests that must run at most once, and the verdicts of their
//! refusals.

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

/// Timeout of looking up a record at control, in milliseconds.
const LOOKUP_TIMEOUT_MS: u64 = 300;

/// Returns the idempotency record key of a request on a run-at-most-once route.
///
/// # Errors
///
/// Fails when the request has no team or no valid idempotency key.
pub(crate) fn record_key(
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

/// Corrects the verdict of a refusal when an earlier attempt of the request may have run.
///
/// Looks up the request's record at control. When control does not answer, or too many
/// lookups are under way, the verdict is the safe one: the request may have run.
pub(crate) async fn correct_verdict<C: Clock>(
    state: &NodeState<C>,
    key: &IdempotencyKey,
    mut failure: CallFailure,
) -> CallFailure {
    if failure.verdict != RunVerdict::NotRun || failure.cause == FailureCause::KeyReused {
        return failure;
    }
    let may_have_run = match state.record_lookups.try_acquire() {
        Ok(_permit) => {
            let timeout = Duration::from_millis(LOOKUP_TIMEOUT_MS);
            let reply = state.control.may_have_run(key, timeout).await;
            reply.unwrap_or(true)
        }
        Err(_) => true,
    };
    if may_have_run {
        failure.verdict = RunVerdict::MayHaveRun;
    }
    failure
}
