//! The periodic exchange with control.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::exchange::ExchangeReply;
use model::exchange::ExchangeRequest;
use model::exchange::MemberRecord;
use model::exchange::PROTOCOL_VERSION;
use model::ids::ServiceName;
use timeline::EventRecord;
use tokio_util::sync::CancellationToken;
use wire::error::ClientError;

use crate::state::NodeState;

/// Period of the exchange, in milliseconds.
const PERIOD_MS: u64 = 600;
/// Part of the period by which it varies, so that nodes spread out.
const JITTER_SHARE: u64 = 10;
/// Shortest time between two exchanges, in milliseconds.
const SPACING_MS: u64 = 25;
/// Time that the last exchange may take when the node stops, in milliseconds.
const LEAVE_TIMEOUT_MS: u64 = 1_000;

/// Exchanges with control until the node stops, then says that it leaves.
pub(crate) async fn run<C: Clock>(
    state: Arc<NodeState<C>>,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    while !stop.is_cancelled() {
        renew(&state).await;
        tokio::time::sleep(Duration::from_millis(SPACING_MS)).await;
        wait(&state, &stop).await;
    }
    let leaving = exchange(&state, true);
    let timeout = Duration::from_millis(LEAVE_TIMEOUT_MS);
    if tokio::time::timeout(timeout, leaving).await.is_err() {
        tracing::warn!(event = "leave-unannounced");
    }
    Ok(())
}

async fn wait<C: Clock>(state: &NodeState<C>, stop: &CancellationToken) {
    let spread = PERIOD_MS / JITTER_SHARE;
    let period_ms = PERIOD_MS - spread + rand::random_range(0..=spread);
    tokio::select! {
        () = tokio::time::sleep(Duration::from_millis(period_ms)) => {}
        () = state.wake.notified() => {}
        () = state.tokens.wanted.notified() => {}
        () = state.members.wanted.notified() => {}
        () = stop.cancelled() => {}
    }
}

/// Exchanges once and notes when the lease is gained or lost.
async fn renew<C: Clock>(state: &Arc<NodeState<C>>) {
    let held = state.has_lease();
    let renewed = exchange(state, false).await;
    match &renewed {
        Ok(true) => state.metrics.renewals.inc(),
        Ok(false) => state.metrics.renewal_failures.inc(),
        Err(error) => {
            state.metrics.renewal_failures.inc();
            tracing::debug!(event = "exchange-failed", error = %error);
        }
    }
    let holds = state.has_lease();
    if !holds {
        state.tokens.lease_ended();
    }
    if held != holds {
        let kind = if holds { "lease-gained" } else { "lease-lost" };
        tracing::info!(event = kind, version = state.view.get().version());
        let version = state.view.get().version();
        state
            .events
            .push(EventRecord::new(kind).field("version", &version));
    }
}

/// Exchanges once; returns whether the lease was renewed.
async fn exchange<C: Clock>(state: &Arc<NodeState<C>>, leaving: bool) -> Result<bool, ClientError> {
    let sent = state.clock.now();
    let request = request(state, leaving);
    let reply = state.control.exchange(&request).await?;
    state.events.clock().observe(reply.stamp);
    Ok(apply(state, sent, &request, reply))
}

fn request<C: Clock>(state: &NodeState<C>, leaving: bool) -> ExchangeRequest {
    let position = state.members.position();
    ExchangeRequest {
        protocol: PROTOCOL_VERSION,
        member: member(state),
        applied: state.view.get().version(),
        interests: state.members.interests(),
        member_cursor: position.cursor,
        feed: position.feed,
        demands: state.tokens.demands(),
        crashes: state.crashes.reports(),
        leaving,
        stamp: state.events.clock().next_timestamp(),
    }
}

/// Returns this node as other nodes see it.
pub(crate) fn member<C: Clock>(state: &NodeState<C>) -> MemberRecord {
    let target = state.server.target();
    let service = target.map(|target| target.service);
    MemberRecord {
        node: state.node,
        address: state.settings.peer_listener,
        data_centre: state.settings.data_centre.clone(),
        service: service.unwrap_or_else(|| ServiceName::from("")),
        state: state.announced_state(),
        load: state.gate.load(),
    }
}

fn apply<C: Clock>(
    state: &Arc<NodeState<C>>,
    sent: Instant,
    request: &ExchangeRequest,
    reply: ExchangeReply,
) -> bool {
    let before = state.view.get().version();
    if let Err(error) = state.view.apply(reply.config) {
        tracing::warn!(event = "config-delta-failed", error = %format!("{error:#}"));
    }
    let view = state.view.get();
    if view.version() != before {
        state.standings().update(&view.declaration.teams);
        // Open routes are served without a lease, so their members are needed ahead.
        let routes = view.declaration.routes.iter();
        let open = routes.filter(|route| route.open);
        state.members.expect_calls(open.map(|route| &route.service));
        state
            .metrics
            .applied
            .set(i64::try_from(view.version()).unwrap_or(i64::MAX));
        tracing::info!(event = "config-applied", version = view.version());
        let event = EventRecord::new("config-applied").field("version", &view.version());
        state.events.push(event);
        // Control learns at once that the version is applied here.
        state.wake.notify_one();
    }
    let fresh = state.members.update(reply.members, &request.interests);
    connect_ahead(state, &fresh);
    if let Some(target) = state.server.target() {
        state.crashes.update(&target.service, &reply.quarantined);
    }
    if reply.crashes_taken {
        state.crashes.taken(&request.crashes);
    }
    // The lease counts only for a node that applied the version it names.
    let lease = reply.lease.filter(|lease| view.version() >= lease.version);
    let Some(lease) = lease else {
        return false;
    };
    state.extend_lease(sent, lease.length);
    state.tokens.accept(&reply.grants, sent + lease.length);
    true
}

/// Opens connections to new nodes before the first call needs them.
fn connect_ahead<C: Clock>(state: &Arc<NodeState<C>>, fresh: &[MemberRecord]) {
    let known: Vec<SocketAddr> = state
        .members
        .records()
        .iter()
        .map(|record| record.address)
        .collect();
    state.peers.retain(|address| known.contains(address));
    for record in fresh {
        let address = record.address;
        let state = Arc::clone(state);
        let tracker = state.background.clone();
        let runtime = state.calls.clone();
        let connecting = async move {
            if let Err(error) = state.peers.connect(address).await {
                tracing::debug!(event = "connect-ahead-failed", %address, error = %format!("{error:#}"));
            }
        };
        tracker.spawn_on(connecting, &runtime);
    }
}
