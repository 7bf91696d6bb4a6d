//! Tokens of the teams' limits, one for each request of a caller.

use std::time::Duration;

use clock::Clock;
use fleet::ProtocolAdapter;
use fleet::RouteEntry;
use fleet::TeamEntry;
use http::StatusCode;
use tokio::time::timeout;

use crate::entry::refusal::OwnRefusal;
use crate::state::ProxyState;

/// Delay named when no leader lends, in milliseconds: an election and the way to the new
/// leader take about a second, and who comes back before is refused again.
const NO_TOKEN_RETRY_MS: u64 = 700;
/// Delay named to callers of a team at its limit, in milliseconds.
const OVER_QUOTA_RETRY_MS: u64 = 300;
/// Longest time that a request waits for a token of its team, in milliseconds,
/// and as a part of the time within which an answer is worth most.
const TOKEN_WAIT_MS: u64 = 100;
const TOKEN_WAIT_PART: f64 = 0.12;

/// Takes a token of the team's limit, from the leader if there is none here.
pub(super) async fn take_token<C: Clock, D: ProtocolAdapter>(
    state: &ProxyState<C, D>,
    route: &RouteEntry,
    team: &TeamEntry,
) -> Result<(), OwnRefusal> {
    let now = state.now();
    let waiter = {
        let mut quota = state.quota();
        if quota.take(&team.name, now) {
            return Ok(());
        }
        if !quota.is_granted() {
            return Err(no_token("no-share", team));
        }
        state.desk().wait(&team.name, now)
    };
    let Some(waiter) = waiter else {
        return Err(over_quota(state, team));
    };
    state.ask_now.notify_one();
    let limit =
        Duration::from_millis(TOKEN_WAIT_MS).min(route.target_latency.mul_f64(TOKEN_WAIT_PART));
    match timeout(limit, waiter).await {
        Ok(Ok(true)) => Ok(()),
        Ok(Ok(false)) => Err(over_quota(state, team)),
        Ok(Err(_)) | Err(_) => Err(no_token("no-token", team)),
    }
}

fn over_quota<C: Clock, D: ProtocolAdapter>(
    state: &ProxyState<C, D>,
    team: &TeamEntry,
) -> OwnRefusal {
    let delay = Duration::from_millis(OVER_QUOTA_RETRY_MS);
    let mut refusal = OwnRefusal::later(StatusCode::TOO_MANY_REQUESTS, "over-quota", delay);
    refusal.team = Some(team.name.clone());
    refusal.share_milli = Some(state.quota().share_milli(&team.name));
    refusal
}

fn no_token(reason: &'static str, team: &TeamEntry) -> OwnRefusal {
    let delay = Duration::from_millis(NO_TOKEN_RETRY_MS);
    let mut refusal = OwnRefusal::later(StatusCode::SERVICE_UNAVAILABLE, reason, delay);
    refusal.team = Some(team.name.clone());
    refusal
}
