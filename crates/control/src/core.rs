//! State shared by the tasks of a control instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use clock::Clock;
use model::ids::InstanceId;
use model::ids::OwnerKey;
use timeline::EventRingBuffer;
use timeline::HybridLogicalClock;
use tokio_util::sync::CancellationToken;
use wire::peer::PeerMesh;

use crate::crash_reports::CrashReports;
use crate::forward::DemandForwarder;
use crate::log::ControlLog;
use crate::metrics::ControlMetrics;
use crate::registry::NodeRegistry;
use crate::rollout::RolloutTracker;
use crate::tokens::TokenAllocators;
use crate::upkeep::DepartedNodes;

/// Length of the leases granted to nodes, in milliseconds.
pub const LEASE_MS: u64 = 2_400;
/// Allowance for clock drift between processes during a lease, in milliseconds.
pub const DRIFT_MS: u64 = 50;
/// Timeout for the confirmation of the leader, in milliseconds; after it an exchange
/// gets no lease.
pub const CONFIRM_TIMEOUT_MS: u64 = 200;
/// Maximum number of events kept for `GET /timeline`.
const TIMELINE_EVENTS: usize = 4_096;

/// Handle to the shared state of a control instance; clones share it.
#[derive(Debug)]
pub struct ControlCore<L, C> {
    inner: Arc<CoreInner<L, C>>,
}

impl<L, C> Clone for ControlCore<L, C> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

impl<L, C> std::ops::Deref for ControlCore<L, C> {
    type Target = CoreInner<L, C>;

    fn deref(&self) -> &Self::Target {
        &self.inner
    }
}

/// Shared state behind [`ControlCore`].
#[derive(Debug)]
pub struct CoreInner<L, C> {
    /// Instance id in the group.
    pub instance: InstanceId,
    /// Random number that identifies this start of the process.
    pub incarnation: u64,
    /// Values from the settings.
    pub config: CoreConfig,
    /// The clock.
    pub clock: C,
    /// The replicated log.
    pub log: L,
    /// Connections to the other instances.
    pub mesh: PeerMesh,
    /// Nodes that hold leases.
    pub registry: NodeRegistry<C>,
    /// Token allocators of the teams owned by this instance.
    pub token_allocators: TokenAllocators<C>,
    /// Forwards demands for teams owned by other instances.
    pub demand_forwarder: DemandForwarder,
    /// Tracks which declaration versions are in force.
    pub rollout: RolloutTracker<C>,
    /// Crash reports and the quarantine.
    pub crash_reports: CrashReports<C>,
    /// Nodes whose lease ended and whose attempts may have to be abandoned.
    departed_nodes: Mutex<DepartedNodes>,
    /// Recent events.
    pub events: EventRingBuffer<C>,
    /// Metrics.
    pub metrics: ControlMetrics,
    /// Cancelled when the instance stops.
    pub stop: CancellationToken,
}

/// Configuration of a control instance, from its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CoreConfig {
    /// Instance id in the group.
    pub instance: InstanceId,
    /// Address at which the other instances reach this one.
    pub address: SocketAddr,
    /// Name of the process.
    pub process: String,
    /// The two initial owners, used at the first start of the group.
    pub owners: Vec<OwnerKey>,
}

impl<L: ControlLog, C: Clock> ControlCore<L, C> {
    /// Creates the shared state; must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when the metrics cannot be registered.
    pub fn new(
        config: CoreConfig,
        log: L,
        mesh: PeerMesh,
        clock: C,
        stop: CancellationToken,
    ) -> anyhow::Result<Self> {
        let instance = config.instance;
        let incarnation = rand::random();
        let lease = Duration::from_millis(LEASE_MS + DRIFT_MS);
        let stamps = HybridLogicalClock::new(clock.clone());
        let inner = CoreInner {
            instance,
            registry: NodeRegistry::new(instance, incarnation, clock.clone()),
            token_allocators: TokenAllocators::new(instance, incarnation, lease, clock.clone()),
            demand_forwarder: DemandForwarder::new(mesh.clone()),
            rollout: RolloutTracker::new(clock.clone(), lease),
            crash_reports: CrashReports::new(clock.clone()),
            departed_nodes: Mutex::default(),
            events: EventRingBuffer::new(&config.process, TIMELINE_EVENTS, stamps),
            metrics: ControlMetrics::new()?,
            incarnation,
            config,
            clock,
            log,
            mesh,
            stop,
        };
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Locks and returns the departed nodes.
    pub fn departed_nodes(&self) -> MutexGuard<'_, DepartedNodes> {
        self.departed_nodes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a quorum confirms the leader; returns whether one did in time.
    pub async fn confirm_leader(&self) -> bool {
        let limit = Duration::from_millis(CONFIRM_TIMEOUT_MS);
        let confirmed = tokio::time::timeout(limit, self.log.read_index()).await;
        confirmed.is_ok_and(|outcome| outcome.is_ok())
    }
}
