//! Start, maintenance and graceful shutdown of a node.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use clock::Clock;
use fleet::ProtocolAdapter;
use metrics::ProcessMetrics;
use settings::ProxySettings;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::announce;
use crate::control;
use crate::ingress;
use crate::peer_server;
use crate::state::ProxyState;

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "ragwortplank_node";
/// Interval of the periodic maintenance, in milliseconds.
const MAINTENANCE_PERIOD_MS: u64 = 50;
/// New connections are accepted for this fraction of the shutdown time, since callers learn of
/// the shutdown late.
const ACCEPT_FRACTION: f64 = 0.5;
/// Fraction of the shutdown time after which the node ends in any case.
const EXIT_FRACTION: f64 = 0.85;
/// Time without requests after which no more are expected during shutdown, in milliseconds.
const IDLE_BEFORE_EXIT_MS: u64 = 300;
/// Interval at which a node in shutdown checks whether it can end, in milliseconds.
const EXIT_CHECK_MS: u64 = 25;

/// Runs a node until `stop` is cancelled, then serves the requests in flight and returns.
///
/// `seeds` holds the control instances named in the settings, which may be reloaded meanwhile.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn run<C: Clock, A: ProtocolAdapter>(
    settings: ProxySettings,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    adapter: A,
    clock: C,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let peer_listener = bind(SocketAddr::new(settings.own_address, settings.link_port)).await?;
    let caller_listener = bind(settings.caller_listener).await?;
    let announcement_listener = bind(settings.announcement_listener).await?;
    let readiness_listener = bind(settings.readiness_listener).await?;
    let metrics_listener = bind(settings.metrics_listener).await?;
    let process_metrics = ProcessMetrics::new(METRIC_PREFIX).context("creating the metrics")?;
    let state = ProxyState::new(settings, adapter, clock, process_metrics);
    info!(event = "process-started", process = %state.settings.process, node = state.node,
        service = %state.settings.service, data_centre = %state.settings.data_centre);
    tokio::spawn(metrics::serve(state.metrics.clone(), metrics_listener));
    tokio::spawn(peer_server::serve(state.clone(), peer_listener));
    tokio::spawn(announce::serve(state.clone(), announcement_listener));
    tokio::spawn(announce::serve(state.clone(), readiness_listener));
    tokio::spawn(control::run(state.clone(), seeds));
    tokio::spawn(maintain(state.clone()));
    let ingress = tokio::spawn(ingress::serve(state.clone(), caller_listener));
    stop.cancelled().await;
    state.begin_stop();
    state.publish_record();
    drain(&state, ingress).await;
    info!(event = "process-stopped", process = %state.settings.process);
    Ok(())
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.with_context(|| format!("binding {address}"))
}

async fn maintain<C: Clock, A: ProtocolAdapter>(state: ProxyState<C, A>) {
    let mut period = interval(Duration::from_millis(MAINTENANCE_PERIOD_MS));
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        state.server.tick(state.now());
        let unresponsive = state.peers.probe();
        if !unresponsive.is_empty() {
            state.nodes().mark_unresponsive(&unresponsive, state.now());
        }
    }
}

/// Accepts new connections for a while, then waits for the requests in flight to end.
async fn drain<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    ingress: tokio::task::JoinHandle<()>,
) {
    let stopping_since = state.now();
    let grace = state.settings.bounds.stop_grace_period;
    let accept_until = stopping_since + grace.mul_f64(ACCEPT_FRACTION);
    let end = stopping_since + grace.mul_f64(EXIT_FRACTION);
    let mut last_busy: Instant = stopping_since;
    loop {
        sleep(Duration::from_millis(EXIT_CHECK_MS)).await;
        let now = state.now();
        let connections = state.stop.connections.len();
        let calls = state.stop.calls.len();
        state
            .metrics
            .set("stop-open-connections", connections as u64);
        state.metrics.set("stop-open-calls", calls as u64);
        let is_busy = state.requests_in_flight() > 0 || state.server.load().in_flight > 0;
        if is_busy {
            last_busy = now;
        }
        let is_idle =
            now.saturating_duration_since(last_busy) >= Duration::from_millis(IDLE_BEFORE_EXIT_MS);
        if now >= accept_until && !ingress.is_finished() {
            ingress.abort();
        }
        if now >= end || (now >= accept_until && is_idle) {
            info!(
                event = "stop-finished",
                under_way = state.requests_in_flight(),
                connections,
                calls,
            );
            state.stop.end();
            return;
        }
    }
}
