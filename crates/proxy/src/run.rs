//! Start, maintenance and graceful shutdown of a node.

use std::net::SocketAddr;
use std::time::Duration;

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
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::announce;
use crate::control;
use crate::ingress;
use crate::peer_server;
use crate::reported_paces::apply_paces;
use crate::state::ProxyState;
use crate::stop_schedule::StopPhase;
use crate::stop_schedule::StopSchedule;

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "ragwortplank_node";
/// Interval of the periodic maintenance, in milliseconds.
const MAINTENANCE_PERIOD_MS: u64 = 50;
/// Interval at which a node in shutdown checks whether it can end, in milliseconds.
const EXIT_CHECK_MS: u64 = 25;

/// Runs a node until `stop` is cancelled, then stops it gracefully and returns.
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
    tokio::spawn(start_paced_calls(state.clone()));
    tokio::spawn(apply_paces(state.clone()));
    tokio::spawn(ingress::serve(state.clone(), caller_listener));
    stop.cancelled().await;
    let schedule = state.begin_stop();
    drain(&state, schedule).await;
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
        maintain_server(&state);
        let is_plan_old = state.admission().is_plan_old(state.now());
        state.metrics.set("entry-plan-old", u64::from(is_plan_old));
        let unresponsive = state.peers.probe();
        if !unresponsive.is_empty() {
            state.nodes().mark_unresponsive(&unresponsive, state.now());
        }
    }
}

/// Maintains what is known of the backend server, and publishes it.
fn maintain_server<C: Clock, A: ProtocolAdapter>(state: &ProxyState<C, A>) {
    let now = state.now();
    if state.server.tick(now) {
        state.publish_record();
    }
    state.server.check_stalls(state);
    state.server.check_health(state);
    if let Some(seconds) = state.server.cold_seconds(now) {
        state.metrics.set("server-cold-seconds", seconds);
    }
}

async fn start_paced_calls<C: Clock, A: ProtocolAdapter>(state: ProxyState<C, A>) {
    state.server.start_paced_calls(&state.clock).await;
}

/// Leads the node through the phases of its stop, until nothing is open or the time is up.
async fn drain<C: Clock, A: ProtocolAdapter>(state: &ProxyState<C, A>, schedule: StopSchedule) {
    let mut announced = None;
    loop {
        let phase = schedule.phase(state.now());
        if announced.replace(phase) != Some(phase) {
            state.stop.announce(phase);
            log_phase(state, phase);
        }
        // What the phase asks of the tasks, they do before the next check.
        sleep(Duration::from_millis(EXIT_CHECK_MS)).await;
        state.stop.close_connections(phase);
        if phase.may_end(state.stop.open_count()) {
            break;
        }
    }
    let left = schedule.over_at().saturating_duration_since(state.now());
    let limit = left.max(Duration::from_millis(EXIT_CHECK_MS));
    let is_flushed = timeout(limit, state.stop.close_links()).await.is_ok();
    state.stop.end();
    info!(
        event = "stop-finished",
        connections = state.stop.connections.len(),
        calls = state.stop.calls.len(),
        links_flushed = is_flushed,
    );
}

fn log_phase<C: Clock, A: ProtocolAdapter>(state: &ProxyState<C, A>, phase: StopPhase) {
    let connections = state.stop.connections.len();
    let calls = state.stop.calls.len();
    info!(event = "stop-phase", %phase, connections, calls);
    let metrics = &state.metrics;
    metrics.set("stop-open-connections", connections as u64);
    metrics.set("stop-open-calls", calls as u64);
}
