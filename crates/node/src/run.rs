//! Starts a node's listeners and tasks, and stops them without cutting a call.

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
use crate::entry::serve_caller;
use crate::exchange;
use crate::local::serve_local;
use crate::receive::serve_peer;
use crate::state::NodeState;

/// Time in which the other nodes learn that this one leaves, in milliseconds.
const LEAVE_NOTICE_MS: u64 = 1_500;
/// Interval in which waiting calls are checked, in milliseconds.
const TICK_MS: u64 = 10;
/// Ticks between two looks at the backend server's state.
const TICKS_PER_LOOK: u32 = 10;

/// Stages of a stop, in order.
#[derive(Clone)]
struct StopStages {
    /// Callers and other nodes are told to go elsewhere.
    public: CancellationToken,
    /// Nothing is in flight any more.
    local: CancellationToken,
}

/// Runs a node until `stop` is cancelled and everything in flight has ended.
///
/// # Errors
///
/// Fails when the settings cannot be put to use, a task is in a crash loop or
/// a stop had to cut calls.
pub async fn run<C: Clock>(
    settings: NodeSettings,
    clock: C,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let control = ControlThread::start().context("starting the thread for control")?;
    let state = Arc::new(NodeState::new(settings, clock.clone(), &control)?);
    let stages = StopStages {
        public: CancellationToken::new(),
        local: CancellationToken::new(),
    };
    let caller_tls = TlsIdentity::load(&state.settings.caller_tls)
        .context("loading `caller-tls`")?
        .caller_server()?;
    let peer_tls = state.identity.tcp_server(&[PeerRole::Node])?;
    let admin_tls = state.identity.tcp_server(&[PeerRole::Operator])?;

    let mut public = TaskSupervisor::new(clock.clone(), stages.public.clone());
    let callers = state.settings.caller_listener;
    listen(
        &mut public,
        "callers",
        &state,
        callers,
        Some(caller_tls),
        serve_caller,
        &stages.public,
    );
    let peers = state.settings.peer_listener;
    listen(
        &mut public,
        "peers",
        &state,
        peers,
        Some(peer_tls),
        serve_peer,
        &stages.public,
    );

    let mut inner = TaskSupervisor::new(clock, stages.local.clone());
    let local = state.settings.local_listener;
    listen(
        &mut inner,
        "local",
        &state,
        local,
        None,
        serve_local,
        &stages.local,
    );
    let admin = state.settings.admin_listener;
    listen(
        &mut inner,
        "admin",
        &state,
        admin,
        Some(admin_tls),
        serve_admin,
        &stages.local,
    );
    let ticking = (Arc::clone(&state), stages.local.clone());
    inner.spawn("tick", move || {
        tick(Arc::clone(&ticking.0), ticking.1.clone())
    });
    let exchanging = (Arc::clone(&state), stages.local.clone());
    inner.spawn_on(control.handle(), "exchange", move || {
        exchange::run(Arc::clone(&exchanging.0), exchanging.1.clone())
    });
    tracing::info!(event = "node-started", process = %state.settings.process, callers = %callers);
    state.events.push(EventRecord::new("node-started"));

    let stopping = stop_in_order(Arc::clone(&state), stop, stages.clone());
    let stopping = tokio::spawn(stopping);
    let public_ended = public.join().await;
    state.close();
    state.background.close();
    state.background.wait().await;
    stages.local.cancel();
    let inner_ended = inner.join().await;
    stopping.abort();
    tracing::info!(event = "node-stopped", process = %state.settings.process);
    public_ended.and(inner_ended)
}

/// Announces the leave, gives the other nodes time to learn it, then closes.
async fn stop_in_order<C: Clock>(
    state: Arc<NodeState<C>>,
    stop: CancellationToken,
    stages: StopStages,
) {
    stop.cancelled().await;
    state.events.push(EventRecord::new("node-stopping"));
    state.drain();
    tokio::time::sleep(Duration::from_millis(LEAVE_NOTICE_MS)).await;
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

/// Lets waiting calls expire and follows the backend server's state.
async fn tick<C: Clock>(state: Arc<NodeState<C>>, stop: CancellationToken) -> anyhow::Result<()> {
    let mut interval = tokio::time::interval(Duration::from_millis(TICK_MS));
    let mut ticks = 0_u32;
    while !stop.is_cancelled() {
        interval.tick().await;
        state.gate.expire();
        ticks = ticks.wrapping_add(1);
        if ticks.is_multiple_of(TICKS_PER_LOOK) {
            let slots = state.server.target().map_or(0, |target| target.slots);
            state.update_gate(slots);
        }
    }
    Ok(())
}
