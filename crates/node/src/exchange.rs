//! The periodic exchange with control: reports this node's state, renews its lease and
//! fetches configuration, members and tokens.

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

/// Interval between exchanges, in milliseconds.
const INTERVAL_MS: u64 = 600;
/// Divisor that yields the largest jitter from the interval; the jitter keeps nodes from
/// exchanging in step.
const JITTER_DIVISOR: u64 = 10;
/// Shortest pause between two exchanges, in milliseconds.
const MIN_PAUSE_MS: u64 = 25;
/// Timeout of the last exchange when the node stops, in milliseconds.
const FINAL_EXCHANGE_TIMEOUT_MS: u64 = 1_000;

/// Exchanges with control until the node stops, then reports that it is leaving.
pub(crate) async fn run<C: Clock>(
    state: Arc<NodeState<C>>,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    while !stop.is_cancelled() {
        renew_lease(&state).await;
        tokio::time::sleep(Duration::from_millis(MIN_PAUSE_MS)).await;
        wait_for_next(&state, &stop).await;
    }
    let final_exchange = exchange(&state, true);
    let timeout = Duration::from_millis(FINAL_EXCHANGE_TIMEOUT_MS);
    if tokio::time::timeout(timeout, final_exchange).await.is_err() {
        tracing::warn!(event = "leave-unannounced");
    }
    Ok(())
}

async fn wait_for_next<C: Clock>(state: &NodeState<C>, stop: &CancellationToken) {
    let jitter_max = INTERVAL_MS / JITTER_DIVISOR;
    let interval_ms = INTERVAL_MS - jitter_max + rand::random_range(0..=jitter_max);
    tokio::select! {
        () = tokio::time::sleep(Duration::from_millis(interval_ms)) => {}
        () = state.exchange_needed.notified() => {}
        () = state.tokens.exchange_needed.notified() => {}
        () = state.members.exchange_needed.notified() => {}
        () = stop.cancelled() => {}
    }
}

/// Exchanges once, and records it when the lease is gained or lost.
async fn renew_lease<C: Clock>(state: &Arc<NodeState<C>>) {
    let held_before = state.has_lease();
    let renewed = exchange(state, false).await;
    match &renewed {
        Ok(true) => state.metrics.renewals.inc(),
        Ok(false) => state.metrics.renewal_failures.inc(),
        Err(error) => {
            state.metrics.renewal_failures.inc();
            tracing::debug!(event = "exchange-failed", error = %error);
        }
    }
    let is_held = state.has_lease();
    if !is_held {
        state.tokens.lease_ended();
    }
    if held_before != is_held {
        let kind = if is_held {
            "lease-gained"
        } else {
            "lease-lost"
        };
        tracing::info!(event = kind, version = state.declaration.get().version());
        let version = state.declaration.get().version();
        state
            .events
            .push(EventRecord::new(kind).field("version", &version));
    }
}

/// Exchanges once; returns whether the lease was renewed.
async fn exchange<C: Clock>(state: &Arc<NodeState<C>>, leaving: bool) -> Result<bool, ClientError> {
    let sent = state.clock.now();
    let request = build_request(state, leaving);
    let reply = state.control.exchange(&request).await?;
    state.events.clock().observe(reply.stamp);
    Ok(apply_reply(state, sent, &request, reply))
}

fn build_request<C: Clock>(state: &NodeState<C>, leaving: bool) -> ExchangeRequest {
    let position = state.members.position();
    ExchangeRequest {
        protocol: PROTOCOL_VERSION,
        member: own_record(state),
        applied: state.declaration.get().version(),
        interests: state.members.interests(),
        member_cursor: position.cursor,
        feed: position.feed,
        demands: state.tokens.demands(),
        crashes: state.crashes.reports(),
        leaving,
        stamp: state.events.clock().next_timestamp(),
    }
}

/// Returns the record of this node that other nodes see.
pub(crate) fn own_record<C: Clock>(state: &NodeState<C>) -> MemberRecord {
    let target = state.server.target();
    let service = target.map(|target| target.service);
    MemberRecord {
        node: state.node,
        address: state.settings.peer_listener,
        data_centre: state.settings.data_centre.clone(),
        service: service.unwrap_or_else(|| ServiceName::from("")),
        state: state.announced_state(),
        load: state.admission.load(),
    }
}

fn apply_reply<C: Clock>(
    state: &Arc<NodeState<C>>,
    sent: Instant,
    request: &ExchangeRequest,
    reply: ExchangeReply,
) -> bool {
    let previous_version = state.declaration.get().version();
    if let Err(error) = state.declaration.apply(reply.config) {
        tracing::warn!(event = "config-delta-failed", error = %format!("{error:#}"));
    }
    let declared = state.declaration.get();
    if declared.version() != previous_version {
        state.ranker().update(&declared.declaration.teams);
        // Open routes are served without a lease, so their members are fetched in advance.
        let routes = declared.declaration.routes.iter();
        let open_routes = routes.filter(|route| route.allow_anonymous);
        state
            .members
            .add_interests(open_routes.map(|route| &route.service));
        state
            .metrics
            .applied_version
            .set(i64::try_from(declared.version()).unwrap_or(i64::MAX));
        tracing::info!(event = "config-applied", version = declared.version());
        let event = EventRecord::new("config-applied").field("version", &declared.version());
        state.events.push(event);
        // Exchanges again at once, so that control learns that the version is applied here.
        state.exchange_needed.notify_one();
    }
    let added = state.members.update(reply.members, &request.interests);
    connect_to_added(state, &added);
    if let Some(target) = state.server.target() {
        state.crashes.update(&target.service, &reply.quarantined);
    }
    if reply.crashes_taken {
        state.crashes.forget_reports(&request.crashes);
    }
    // The lease is valid only for a node that has applied the version it names.
    let lease = reply
        .lease
        .filter(|lease| declared.version() >= lease.version);
    let Some(lease) = lease else {
        return false;
    };
    state.extend_lease(sent, lease.length);
    state
        .tokens
        .accept_grants(&reply.grants, sent + lease.length);
    true
}

/// Connects to new nodes before the first call to them, and closes connections to nodes
/// that are no longer known.
fn connect_to_added<C: Clock>(state: &Arc<NodeState<C>>, added: &[MemberRecord]) {
    let known: Vec<SocketAddr> = state
        .members
        .records()
        .iter()
        .map(|record| record.address)
        .collect();
    state.peers.retain(|address| known.contains(address));
    for record in added {
        let address = record.address;
        let state = Arc::clone(state);
        let tracker = state.background.clone();
        let runtime = state.call_runtime.clone();
        let connecting = async move {
            if let Err(error) = state.peers.connect(address).await {
                tracing::debug!(event = "connect-ahead-failed", %address, error = %format!("{error:#}"));
            }
        };
        tracker.spawn_on(connecting, &runtime);
    }
}
