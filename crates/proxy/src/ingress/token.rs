//! Rate limits of the teams: each request of a caller takes one token of its team.

use std::time::Duration;

use clock::Clock;
use fleet::ProtocolAdapter;
use fleet::RouteEntry;
use fleet::TeamEntry;
use http::StatusCode;
use limit::TakenToken;
use tokio::time::timeout;

use crate::ingress::refusal::Refusal;
use crate::quota::TokenOutcome;
use crate::state::ProxyState;

/// Retry-after delay when no leader lends tokens, in milliseconds. An election and finding the
/// new leader take about a second, and callers that retry earlier are refused again.
const NO_TOKEN_RETRY_AFTER_MS: u64 = 700;
/// Retry-after delay for a team that has used up its rate, in milliseconds.
const OVER_QUOTA_RETRY_AFTER_MS: u64 = 300;
/// Longest wait for a token, in milliseconds and as a fraction of the route's target response
/// time; the shorter of the two applies.
const MAX_TOKEN_WAIT_MS: u64 = 100;
const MAX_TOKEN_WAIT_FRACTION: f64 = 0.12;

/// Takes a token of the team's bucket here, or waits for one from the leader if it is empty.
///
/// Returns the token, or `None` for a team without a limit.
pub(super) async fn take_token<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    route: &RouteEntry,
    team: &TeamEntry,
) -> Result<Option<TakenToken>, Refusal> {
    let now = state.now();
    let waiter = {
        let mut quota = state.quota();
        match quota.take_token(&team.name, now) {
            TokenOutcome::Unlimited => return Ok(None),
            TokenOutcome::Taken(token) => return Ok(Some(token)),
            TokenOutcome::Missing => {}
        }
        if !quota.has_shares() {
            return Err(no_token("no-share", team));
        }
        state.token_queue().enqueue(&team.name, now)
    };
    let Some(waiter) = waiter else {
        return Err(over_quota(state, team));
    };
    state.request_tokens_now.notify_one();
    let limit = Duration::from_millis(MAX_TOKEN_WAIT_MS)
        .min(route.target_latency.mul_f64(MAX_TOKEN_WAIT_FRACTION));
    match timeout(limit, waiter).await {
        Ok(Ok(Some(token))) => Ok(Some(token)),
        Ok(Ok(None)) => Err(over_quota(state, team)),
        Ok(Err(_)) | Err(_) => Err(no_token("no-token", team)),
    }
}

fn over_quota<C: Clock, A: ProtocolAdapter>(state: &ProxyState<C, A>, team: &TeamEntry) -> Refusal {
    let delay = Duration::from_millis(OVER_QUOTA_RETRY_AFTER_MS);
    let mut refusal = Refusal::with_retry_after(StatusCode::TOO_MANY_REQUESTS, "over-quota", delay);
    refusal.team = Some(team.name.clone());
    refusal.share_milli = Some(state.quota().share_milli(&team.name));
    refusal
}

fn no_token(reason: &'static str, team: &TeamEntry) -> Refusal {
    let delay = Duration::from_millis(NO_TOKEN_RETRY_AFTER_MS);
    let mut refusal = Refusal::with_retry_after(StatusCode::SERVICE_UNAVAILABLE, reason, delay);
    refusal.team = Some(team.name.clone());
    refusal
}
