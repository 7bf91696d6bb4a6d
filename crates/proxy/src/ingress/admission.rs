//! Admission of a caller's request: a token of its team, then the leader's admission plan.

use admit::EntryDecision;
use admit::EntryRequest;
use clock::Clock;
use fleet::ProtocolAdapter;
use fleet::RequestMetadata;
use fleet::RouteEntry;
use fleet::TeamEntry;
use http::StatusCode;
use model::entry::RequestKind;

use crate::ingress::refusal::Refusal;
use crate::ingress::token::take_token;
use crate::state::ProxyState;

/// Admits a caller's request, or refuses it with a delay after which to retry.
///
/// A request that returns after a refusal comes before new ones, also in the wait for a token.
pub(super) async fn check_admission<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    route: &RouteEntry,
    team: &TeamEntry,
    metadata: &RequestMetadata,
) -> Result<(), Refusal> {
    let kind = RequestKind {
        route_priority: route.priority,
        team_priority: team.priority,
        route: route.name.clone(),
    };
    let request = EntryRequest {
        kind: &kind,
        team: &team.name,
        time_left: metadata.deadline.unwrap_or(route.timeout),
        target_latency: route.target_latency,
    };
    let is_retry = state.admission().is_retry(request);
    take_token(state, route, team, is_retry).await?;
    let draws = (rand::random(), rand::random());
    let decision = state.admission().decide(request, draws, state.now());
    let is_admitted = decision == EntryDecision::Admit;
    if is_retry {
        let detail = if is_admitted { "admitted" } else { "refused" };
        state.metrics.count("entry-retry", detail);
    }
    let EntryDecision::Refuse { retry_after } = decision else {
        return Ok(());
    };
    state.quota().return_token(&team.name, state.now());
    Err(Refusal {
        retry_after: Some(retry_after),
        team: Some(team.name.clone()),
        ..Refusal::new(StatusCode::SERVICE_UNAVAILABLE, "turned-away")
    })
}
