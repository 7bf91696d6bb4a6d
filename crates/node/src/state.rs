//! What the listeners and tasks of a node share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use admit::CutBook;
use admit::StandingBook;
use anyhow::Context;
use clock::Clock;
use limit::ResendBook;
use limit::RetryAllowance;
use limit::RetryBudget;
use model::exchange::ServerState;
use model::ids::NodeId;
use rustls::pki_types::ServerName;
use settings::NodeSettings;
use timeline::EventRingBuffer;
use timeline::HybridLogicalClock;
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio_util::task::TaskTracker;
use wire::client::ControlClient;
use wire::identity::TlsIdentity;
use wire::quic::QuicEndpoint;
use wire::quic::QuicOptions;
use wire::role::PeerRole;

use crate::backend::BackendClient;
use crate::control_thread::ControlThread;
use crate::crash::CrashWatch;
use crate::gate::GateKeeper;
use crate::lease::LeaseHolder;
use crate::members::MemberTable;
use crate::metrics::NodeMetrics;
use crate::parent::ParentTable;
use crate::peers::PeerPool;
use crate::server::ServerWatch;
use crate::tokens::TokenDesk;
use crate::view::ViewCell;

/// Events kept for the time line.
const EVENTS_KEPT: usize = 4_096;
/// Time in which re-sends of a caller's request are recognised, in seconds.
const RESEND_WINDOW_S: u64 = 30;
/// Re-sends of one request that a caller may make here within the window.
const CALLER_RESENDS: u16 = 3;
/// Requests remembered to recognise re-sends.
const RESENDS_KEPT: usize = 65_536;

/// Refused requests for which control is asked at the same time.
const QUESTIONS_MAX: usize = 8;

/// Shared state of a node.
pub(crate) struct NodeState<C: Clock> {
    /// Source of time.
    pub clock: C,
    /// Checked settings.
    pub settings: NodeSettings,
    /// TLS identity towards other processes.
    pub identity: TlsIdentity,
    /// This run of the node.
    pub node: NodeId,
    /// Recent events.
    pub events: EventRingBuffer<C>,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// Declaration in use.
    pub view: ViewCell,
    /// Tokens of the teams.
    pub tokens: TokenDesk<C>,
    /// Backend server beside this node.
    pub server: ServerWatch<C>,
    /// Client of the backend server.
    pub backend: BackendClient,
    /// Admission in front of the backend server.
    pub gate: Arc<GateKeeper<C>>,
    /// Calls that the backend server runs.
    pub parents: Arc<ParentTable>,
    /// Crashes of the backend server and suspects of crashes.
    pub crashes: CrashWatch<C>,
    /// Other nodes.
    pub members: MemberTable<C>,
    /// Connections to other nodes.
    pub peers: PeerPool,
    /// Client of the control instances.
    pub control: ControlClient,
    /// Runs the request path and the connections to other nodes.
    pub calls: Handle,
    /// Work that must end before the process does.
    pub background: TaskTracker,
    /// Bounds the questions for records of refused requests.
    pub questions: Semaphore,
    /// Wakes the exchange ahead of its period.
    pub wake: Notify,
    lease: Mutex<LeaseHolder>,
    cuts: Mutex<CutBook<C>>,
    standings: Mutex<StandingBook<C>>,
    resends: Mutex<ResendBook<C>>,
    retries: Mutex<RetryBudget>,
    draining: AtomicBool,
    closed: AtomicBool,
    entered: AtomicU64,
}

impl<C: Clock> NodeState<C> {
    /// Creates the state of a node that knows nothing yet; must be called in
    /// the runtime of the request path.
    ///
    /// # Errors
    ///
    /// Fails when the TLS files cannot be used or no UDP socket can be had.
    pub(crate) fn new(
        settings: NodeSettings,
        clock: C,
        control: &ControlThread,
    ) -> anyhow::Result<Self> {
        let identity = TlsIdentity::load(&settings.tls).context("loading `tls`")?;
        let node = rand::random();
        let mut local = settings.peer_listener;
        local.set_port(0);
        let control_client = {
            let _runtime = control.handle().enter();
            let endpoint = QuicEndpoint::bind_client(local, &identity, QuicOptions::default())?;
            ControlClient::new(&endpoint, &settings.control_addresses, node)
        };
        let peer_tls = identity.tcp_client(PeerRole::Node)?;
        let name: ServerName<'static> = peer_tls.server_name;
        let stamps = HybridLogicalClock::new(clock.clone());
        let window = Duration::from_secs(RESEND_WINDOW_S);
        Ok(Self {
            events: EventRingBuffer::new(&settings.process, EVENTS_KEPT, stamps),
            metrics: NodeMetrics::new().context("registering metrics")?,
            view: ViewCell::default(),
            tokens: TokenDesk::new(clock.clone()),
            server: ServerWatch::new(clock.clone()),
            backend: BackendClient::new(settings.limits.body_bytes),
            gate: Arc::new(GateKeeper::new(clock.clone())),
            parents: Arc::default(),
            crashes: CrashWatch::new(clock.clone()),
            members: MemberTable::new(settings.data_centre.clone(), clock.clone()),
            peers: PeerPool::new(peer_tls.config, name),
            control: control_client,
            calls: Handle::current(),
            background: TaskTracker::new(),
            questions: Semaphore::new(QUESTIONS_MAX),
            wake: Notify::new(),
            lease: Mutex::default(),
            cuts: Mutex::new(CutBook::new(clock.clone())),
            standings: Mutex::new(StandingBook::new(clock.clone())),
            resends: Mutex::new(ResendBook::new(
                window,
                CALLER_RESENDS,
                RESENDS_KEPT,
                clock.clone(),
            )),
            draining: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            entered: AtomicU64::new(0),
            retries: Mutex::default(),
            identity,
            node,
            settings,
            clock,
        })
    }

    /// Returns whether the lease is held now.
    pub(crate) fn has_lease(&self) -> bool {
        self.lease().is_held(self.clock.now())
    }

    /// Returns the time left of the lease.
    pub(crate) fn lease_left(&self) -> Duration {
        self.lease().left(self.clock.now())
    }

    /// Takes over a lease.
    pub(crate) fn extend_lease(&self, sent: Instant, length: Duration) {
        self.lease().extend(sent, length);
    }

    /// Returns the cuts learned from answers.
    pub(crate) fn cuts(&self) -> MutexGuard<'_, CutBook<C>> {
        self.cuts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the teams' standings.
    pub(crate) fn standings(&self) -> MutexGuard<'_, StandingBook<C>> {
        self.standings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what was sent again.
    pub(crate) fn resends(&self) -> MutexGuard<'_, ResendBook<C>> {
        self.resends.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Mints the allowance of a new request.
    pub(crate) fn mint_allowance(&self) -> MintedAllowance<'_> {
        let given = self.retries().reserve();
        MintedAllowance {
            budget: &self.retries,
            allowance: RetryAllowance::new(given),
        }
    }

    fn retries(&self) -> MutexGuard<'_, RetryBudget> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins or ends draining by an operator or a stop.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.wake.notify_one();
    }

    /// Returns whether the node is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Refuses new work from now on.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        self.gate.set_state(ServerState::Draining);
    }

    /// Returns whether new work is refused.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    /// Passes what the backend server announced on to the gate.
    ///
    /// A draining backend server still takes work until the other nodes know.
    pub(crate) fn update_gate(&self, slots: u32) {
        let state = match self.server.state() {
            _ if self.is_closed() => ServerState::Draining,
            ServerState::Draining if !self.server.is_drain_known() => ServerState::Ready,
            state => state,
        };
        self.gate.set_state(state);
        self.gate.hint_slots(slots);
    }

    /// Returns the state of the backend server as this node announces it.
    pub(crate) fn announced_state(&self) -> ServerState {
        match self.server.state() {
            ServerState::Absent => ServerState::Absent,
            _ if self.is_draining() => ServerState::Draining,
            state => state,
        }
    }

    /// Counts a caller's request until the returned guard is dropped.
    pub(crate) fn enter(&self) -> EnteredRequest<'_> {
        self.entered.fetch_add(1, Ordering::Relaxed);
        EnteredRequest {
            entered: &self.entered,
        }
    }

    /// Returns the number of callers' requests in flight.
    pub(crate) fn entered(&self) -> u64 {
        self.entered.load(Ordering::Relaxed)
    }

    fn lease(&self) -> MutexGuard<'_, LeaseHolder> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A caller's request in flight.
pub(crate) struct EnteredRequest<'a> {
    entered: &'a AtomicU64,
}

impl Drop for EnteredRequest<'_> {
    fn drop(&mut self) {
        self.entered.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Allowance of a request; what is left of it goes back when it is dropped.
pub(crate) struct MintedAllowance<'a> {
    budget: &'a Mutex<RetryBudget>,
    /// The allowance.
    pub(crate) allowance: RetryAllowance,
}

impl Drop for MintedAllowance<'_> {
    fn drop(&mut self) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.release(self.allowance.left());
    }
}
