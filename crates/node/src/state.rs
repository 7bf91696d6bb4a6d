//! State that the listeners and tasks of a node share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use admit::RequestRanker;
use admit::ThresholdTable;
use anyhow::Context;
use clock::Clock;
use limit::ResendTracker;
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

use crate::admission::AdmissionQueue;
use crate::backend::BackendClient;
use crate::control_thread::ControlThread;
use crate::crash::CrashTracker;
use crate::declaration::DeclarationCell;
use crate::lease::Lease;
use crate::members::MemberTable;
use crate::metrics::NodeMetrics;
use crate::parent::ParentTable;
use crate::peers::PeerPool;
use crate::server::ServerTracker;
use crate::tokens::TokenCache;

/// Number of events kept for the timeline.
const EVENTS_MAX: usize = 4_096;
/// Time for which resends of a caller's request are recognised, in seconds.
const RESEND_WINDOW_S: u64 = 30;
/// Number of times that a caller may resend one request to this node within the window.
const CALLER_RESENDS_MAX: u16 = 3;
/// Number of requests remembered to recognise resends.
const TRACKED_REQUESTS_MAX: usize = 65_536;

/// Concurrent lookups at control of the idempotency records of refused requests.
const RECORD_LOOKUPS_MAX: usize = 8;

/// Shared state of a node.
pub(crate) struct NodeState<C: Clock> {
    /// Clock.
    pub clock: C,
    /// Validated settings.
    pub settings: NodeSettings,
    /// TLS identity used towards other nodes, control and operators.
    pub identity: TlsIdentity,
    /// Random id of this run of the node.
    pub node: NodeId,
    /// Recent events, for the timeline.
    pub events: EventRingBuffer<C>,
    /// Prometheus metrics.
    pub metrics: NodeMetrics,
    /// Declaration (configuration) in use.
    pub declaration: DeclarationCell,
    /// Rate limit tokens of the teams.
    pub tokens: TokenCache<C>,
    /// Last announced state of the local backend server.
    pub server: ServerTracker<C>,
    /// HTTP client of the local backend server.
    pub backend: BackendClient,
    /// Admission queue in front of the local backend server.
    pub admission: Arc<AdmissionQueue<C>>,
    /// Calls that the local backend server is running.
    pub parents: Arc<ParentTable>,
    /// Crashes of the local backend server and the requests suspected of causing them.
    pub crashes: CrashTracker<C>,
    /// Known nodes, by service.
    pub members: MemberTable<C>,
    /// Connections to other nodes.
    pub peers: PeerPool,
    /// Client of the control instances.
    pub control: ControlClient,
    /// Runtime of the request path and of the connections to other nodes.
    pub call_runtime: Handle,
    /// Background tasks that must end before the process exits.
    pub background: TaskTracker,
    /// Limits concurrent lookups of the idempotency records of refused requests.
    pub record_lookups: Semaphore,
    /// Triggers an exchange with control before the next one is due.
    pub exchange_needed: Notify,
    lease: Mutex<Lease>,
    thresholds: Mutex<ThresholdTable<C>>,
    ranker: Mutex<RequestRanker<C>>,
    resend_tracker: Mutex<ResendTracker<C>>,
    retry_budget: Mutex<RetryBudget>,
    draining: AtomicBool,
    refuses_calls: AtomicBool,
    requests_in_flight: AtomicU64,
}

impl<C: Clock> NodeState<C> {
    /// Creates the initial state; must be called in the runtime of the request path.
    ///
    /// # Errors
    ///
    /// Fails when the TLS files cannot be used or no UDP socket can be opened.
    pub(crate) fn new(
        settings: NodeSettings,
        clock: C,
        control: &ControlThread,
    ) -> anyhow::Result<Self> {
        let identity = TlsIdentity::load(&settings.tls).context("loading `tls`")?;
        let node = rand::random();
        let mut bind_address = settings.peer_listener;
        bind_address.set_port(0);
        let control_client = {
            let _runtime = control.handle().enter();
            let endpoint =
                QuicEndpoint::bind_client(bind_address, &identity, QuicOptions::default())?;
            ControlClient::new(&endpoint, &settings.control_addresses, node)
        };
        let peer_tls = identity.tcp_client(PeerRole::Node)?;
        let peer_name: ServerName<'static> = peer_tls.server_name;
        let stamp_clock = HybridLogicalClock::new(clock.clone());
        let window = Duration::from_secs(RESEND_WINDOW_S);
        Ok(Self {
            events: EventRingBuffer::new(&settings.process, EVENTS_MAX, stamp_clock),
            metrics: NodeMetrics::new().context("registering metrics")?,
            declaration: DeclarationCell::default(),
            tokens: TokenCache::new(clock.clone()),
            server: ServerTracker::new(clock.clone()),
            backend: BackendClient::new(settings.limits.body_bytes),
            admission: Arc::new(AdmissionQueue::new(clock.clone())),
            parents: Arc::default(),
            crashes: CrashTracker::new(clock.clone()),
            members: MemberTable::new(settings.data_centre.clone(), clock.clone()),
            peers: PeerPool::new(peer_tls.config, peer_name),
            control: control_client,
            call_runtime: Handle::current(),
            background: TaskTracker::new(),
            record_lookups: Semaphore::new(RECORD_LOOKUPS_MAX),
            exchange_needed: Notify::new(),
            lease: Mutex::default(),
            thresholds: Mutex::new(ThresholdTable::new(clock.clone())),
            ranker: Mutex::new(RequestRanker::new(clock.clone())),
            resend_tracker: Mutex::new(ResendTracker::new(
                window,
                CALLER_RESENDS_MAX,
                TRACKED_REQUESTS_MAX,
                clock.clone(),
            )),
            draining: AtomicBool::new(false),
            refuses_calls: AtomicBool::new(false),
            requests_in_flight: AtomicU64::new(0),
            retry_budget: Mutex::default(),
            identity,
            node,
            settings,
            clock,
        })
    }

    /// Returns whether the lease is valid now.
    pub(crate) fn has_lease(&self) -> bool {
        self.lease().is_valid(self.clock.now())
    }

    /// Returns the time left of the lease.
    pub(crate) fn lease_left(&self) -> Duration {
        self.lease().time_left(self.clock.now())
    }

    /// Extends the lease to `length` after `sent`, when it was requested.
    pub(crate) fn extend_lease(&self, sent: Instant, length: Duration) {
        self.lease().extend(sent, length);
    }

    /// Returns the admission thresholds learned from responses.
    pub(crate) fn thresholds(&self) -> MutexGuard<'_, ThresholdTable<C>> {
        self.thresholds
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what ranks requests by class and by their team's demand.
    pub(crate) fn ranker(&self) -> MutexGuard<'_, RequestRanker<C>> {
        self.ranker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what detects resent requests.
    pub(crate) fn resend_tracker(&self) -> MutexGuard<'_, ResendTracker<C>> {
        self.resend_tracker
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Reserves a new request's retry allowance from the retry budget.
    pub(crate) fn reserve_retry_allowance(&self) -> ReservedAllowance<'_> {
        let amount = self.retry_budget().reserve();
        ReservedAllowance {
            budget: &self.retry_budget,
            allowance: RetryAllowance::new(amount),
        }
    }

    fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts draining, for an operator or a shutdown.
    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
        self.exchange_needed.notify_one();
    }

    /// Returns whether the node is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Refuses all new calls from now on.
    pub(crate) fn refuse_calls(&self) {
        self.refuses_calls.store(true, Ordering::Relaxed);
        self.admission.set_state(ServerState::Draining);
    }

    /// Returns whether all new calls are refused.
    pub(crate) fn refuses_calls(&self) -> bool {
        self.refuses_calls.load(Ordering::Relaxed)
    }

    /// Passes the backend server's announced state on to admission.
    ///
    /// Calls to a draining backend server are still admitted until the other nodes know
    /// that it is draining.
    pub(crate) fn update_admission(&self, slots: u32) {
        let state = match self.server.state() {
            _ if self.refuses_calls() => ServerState::Draining,
            ServerState::Draining if !self.server.is_drain_propagated() => ServerState::Ready,
            state => state,
        };
        self.admission.set_state(state);
        self.admission.hint_slots(slots);
    }

    /// Returns the state of the backend server as this node announces it.
    pub(crate) fn announced_state(&self) -> ServerState {
        match self.server.state() {
            ServerState::Absent => ServerState::Absent,
            _ if self.is_draining() => ServerState::Draining,
            state => state,
        }
    }

    /// Counts a caller's request as in flight until the returned guard is dropped.
    pub(crate) fn track_request(&self) -> InFlightRequest<'_> {
        self.requests_in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightRequest {
            requests_in_flight: &self.requests_in_flight,
        }
    }

    /// Returns the number of callers' requests in flight.
    pub(crate) fn requests_in_flight(&self) -> u64 {
        self.requests_in_flight.load(Ordering::Relaxed)
    }

    fn lease(&self) -> MutexGuard<'_, Lease> {
        self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one caller's request as in flight until it is dropped.
pub(crate) struct InFlightRequest<'a> {
    requests_in_flight: &'a AtomicU64,
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        self.requests_in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Retry allowance of a request; dropping it returns the unused part to the budget.
pub(crate) struct ReservedAllowance<'a> {
    budget: &'a Mutex<RetryBudget>,
    /// What the request may still spend on retries.
    pub(crate) allowance: RetryAllowance,
}

impl Drop for ReservedAllowance<'_> {
    fn drop(&mut self) {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        budget.release(self.allowance.left());
    }
}
