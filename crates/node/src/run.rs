//! Starts a node's listeners and tasks, and shuts them down gracefully.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use clock::Clock;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use rustls::ServerConfig;
use settings::NodeSettings;
use supervisor::TaskSupervisor;
use timeline::EventRecord;
use tokio_util::sync::CancellationToken;
use wire::http::HeadLimits;
use wire::http::HttpListener;
use wire::identity::TlsIdentity;
use wire::role::PeerRole;

use crate::admin::serve_admin;
use crate::control_thread::ControlThread;
use crate::exchange;
use crate::ingress::serve_caller;
use crate::local::serve_local;
use crate::peer_calls::serve_peer;
use crate::state::NodeState;

/// Delay between announcing a shutdown and closing the public listeners, in milliseconds.
///
/// It gives the other nodes time to learn that this one is draining.
const DRAIN_NOTICE_MS: u64 = 1_500;
/// Interval at which queued calls are checked for expiry, in milliseconds.
const TICK_MS: u64 = 10;
/// Ticks between two checks of the backend server's state.
const TICKS_PER_STATE_CHECK: u32 = 10;

/// Cancellation tokens of the shutdown stages, in order.
#[derive(Clone)]
struct ShutdownStages {
    /// Closes the listeners for callers and other nodes, which then use other nodes.
    public: CancellationToken,
    /// Closes the remaining listeners and tasks once no call is in flight.
    local: CancellationToken,
}

/// Runs a node until `stop` is cancelled and all calls in flight have ended.
///
/// # Errors
///
/// Fails when the settings cannot be applied, a task is in a crash loop or the
/// shutdown had to abort calls.
pub async fn run<C: Clock>(
    settings: NodeSettings,
    clock: C,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let control = ControlThread::start().context("starting the control thread")?;
    let state = Arc::new(NodeState::new(settings, clock.clone(), &control)?);
    let stages = ShutdownStages {
        public: CancellationToken::new(),
        local: CancellationToken::new(),
    };
    let caller_tls = TlsIdentity::load(&state.settings.caller_tls)
        .context("loading `caller-tls`")?
        .caller_server()?;
    let peer_tls = state.identity.tcp_server(&[PeerRole::Node])?;
    let admin_tls = state.identity.tcp_server(&[PeerRole::Operator])?;

    let mut public_tasks = TaskSupervisor::new(clock.clone(), stages.public.clone());
    let callers = state.settings.caller_listener;
    listen(
        &mut public_tasks,
        "callers",
        &state,
        callers,
        Some(caller_tls),
        serve_caller,
        &stages.public,
    );
    let peers = state.settings.peer_listener;
    listen(
        &mut public_tasks,
        "peers",
        &state,
        peers,
        Some(peer_tls),
        serve_peer,
        &stages.public,
    );

    let mut local_tasks = TaskSupervisor::new(clock, stages.local.clone());
    let local = state.settings.local_listener;
    listen(
        &mut local_tasks,
        "local",
        &state,
        local,
        None,
        serve_local,
        &stages.local,
    );
    let admin = state.settings.admin_listener;
    listen(
        &mut local_tasks,
        "admin",
        &state,
        admin,
        Some(admin_tls),
        serve_admin,
        &stages.local,
    );
    let tick_args = (Arc::clone(&state), stages.local.clone());
    local_tasks.spawn("tick", move || {
        tick(Arc::clone(&tick_args.0), tick_args.1.clone())
    });
    let exchange_args = (Arc::clone(&state), stages.local.clone());
    local_tasks.spawn_on(control.handle(), "exchange", move || {
        exchange::run(Arc::clone(&exchange_args.0), exchange_args.1.clone())
    });
    tracing::info!(event = "node-started", process = %state.settings.process, callers = %callers);
    state.events.push(EventRecord::new("node-started"));

    let shutdown = announce_then_close(Arc::clone(&state), stop, stages.clone());
    let shutdown = tokio::spawn(shutdown);
    let public_result = public_tasks.join().await;
    state.refuse_calls();
    state.background.close();
    state.background.wait().await;
    stages.local.cancel();
    let local_result = local_tasks.join().await;
    shutdown.abort();
    tracing::info!(event = "node-stopped", process = %state.settings.process);
    public_result.and(local_result)
}

/// Announces the shutdown, waits until the other nodes know, then closes the public
/// listeners.
async fn announce_then_close<C: Clock>(
    state: Arc<NodeState<C>>,
    stop: CancellationToken,
    stages: ShutdownStages,
) {
    stop.cancelled().await;
    state.events.push(EventRecord::new("node-stopping"));
    state.drain();
    tokio::time::sleep(Duration::from_millis(DRAIN_NOTICE_MS)).await;
    stages.public.cancel();
}

fn listen<C, H, F>(
    tasks: &mut TaskSupervisor<C>,
    name: &'static str,
    state: &Arc<NodeState<C>>,
    address: SocketAddr,
    tls: Option<Arc<ServerConfig>>,
    handler: H,
    stop: &CancellationToken,
) where
    C: Clock,
    H: Fn(Arc<NodeState<C>>, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let state = Arc::clone(state);
    let stop = stop.clone();
    tasks.spawn(name, move || {
        let state = Arc::clone(&state);
        let tls = tls.clone();
        let handler = handler.clone();
        let stop = stop.clone();
        async move {
            let limits = &state.settings.limits;
            let head_limits = HeadLimits {
                head_bytes: limits.head_bytes,
                head_timeout: limits.head_timeout,
            };
            let drain_timeout = limits.drain_timeout;
            let listener = HttpListener::bind(address, tls, head_limits).await;
            let listener = listener.with_context(|| format!("listening on {address}"))?;
            let service = move |_, request| handler(Arc::clone(&state), request);
            listener.serve(service, stop, drain_timeout).await?;
            Ok(())
        }
    });
}

/// Periodically expires queued calls and passes the backend server's state on to
/// admission.
async fn tick<C: Clock>(state: Arc<NodeState<C>>, stop: CancellationToken) -> anyhow::Result<()> {
    let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
    let mut ticks = 0_u32;
    while !stop.is_cancelled() {
        interval.tick().await;
        state.admission.expire();
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(TICKS_PER_STATE_CHECK) {
            let slots = state.server.target().map_or(0, |target| target.slots);
            state.update_admission(slots);
        }
    }
    Ok(())
}
