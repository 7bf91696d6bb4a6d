//! Runs a node as its settings say.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use clock::Clock;
use fleet::ProtocolAdapter;
use metrics::MetricBook;
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
use crate::entry;
use crate::inbound;
use crate::state::ProxyState;

/// Name with which the names of all metrics begin.
const METRIC_NAME: &str = "ragwortplank_node";
/// Period of the upkeep, in milliseconds.
const UPKEEP_MS: u64 = 50;
/// Part of the time to stop in which callers may still come, since they learn of it late.
const ACCEPT_PART: f64 = 0.5;
/// Part of the time to stop after which the process ends in any case.
const END_PART: f64 = 0.85;
/// Time without a request after which nothing more is expected, in milliseconds.
const QUIET_MS: u64 = 300;
/// Period in which a node that stops looks whether it may end, in milliseconds.
const STOP_LOOK_MS: u64 = 25;

/// Runs a node until `stop` is cancelled, and then until its callers are served.
///
/// `seeds` holds the control instances that the settings name at present.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn run<C: Clock, D: ProtocolAdapter>(
    settings: ProxySettings,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    dialect: D,
    clock: C,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let links = bind(SocketAddr::new(settings.own_address, settings.link_port)).await?;
    let callers = bind(settings.caller_listener).await?;
    let servers = bind(settings.announcement_listener).await?;
    let ready = bind(settings.readiness_listener).await?;
    let figures = bind(settings.metrics_listener).await?;
    let book = MetricBook::new(METRIC_NAME).context("creating the metrics")?;
    let state = ProxyState::new(settings, dialect, clock, book);
    info!(event = "process-started", process = %state.settings.process, node = state.node,
        service = %state.settings.service, data_centre = %state.settings.data_centre);
    tokio::spawn(metrics::serve(state.metrics.clone(), figures));
    tokio::spawn(inbound::serve(state.clone(), links));
    tokio::spawn(announce::serve(state.clone(), servers));
    tokio::spawn(announce::serve(state.clone(), ready));
    tokio::spawn(control::run(state.clone(), seeds));
    tokio::spawn(upkeep(state.clone()));
    let entry = tokio::spawn(entry::serve(state.clone(), callers));
    stop.cancelled().await;
    state.begin_stop();
    state.publish_own();
    finish(&state, entry).await;
    info!(event = "process-stopped", process = %state.settings.process);
    Ok(())
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let bound = TcpListener::bind(address).await;
    bound.with_context(|| format!("binding {address}"))
}

async fn upkeep<C: Clock, D: ProtocolAdapter>(state: ProxyState<C, D>) {
    let mut period = interval(Duration::from_millis(UPKEEP_MS));
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        state.server.tick(state.now());
        let owing = state.peers.probe();
        if !owing.is_empty() {
            state.members().pass_over(&owing, state.now());
        }
    }
}

/// Serves callers while they may still come, and then what is under way.
async fn finish<C: Clock, D: ProtocolAdapter>(
    state: &ProxyState<C, D>,
    entry: tokio::task::JoinHandle<()>,
) {
    let begun = state.now();
    let grace = state.settings.bounds.stop_grace_period;
    let accept_until = begun + grace.mul_f64(ACCEPT_PART);
    let end = begun + grace.mul_f64(END_PART);
    let mut busy_at: Instant = begun;
    loop {
        sleep(Duration::from_millis(STOP_LOOK_MS)).await;
        let now = state.now();
        let busy = state.entered() > 0 || state.server.load().in_flight > 0;
        if busy {
            busy_at = now;
        }
        let quiet = now.saturating_duration_since(busy_at) >= Duration::from_millis(QUIET_MS);
        if now >= accept_until && !entry.is_finished() {
            entry.abort();
        }
        if now >= end || (now >= accept_until && quiet) {
            info!(event = "stop-finished", under_way = state.entered());
            return;
        }
    }
}
