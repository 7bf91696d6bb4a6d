//! What the tasks of a control instance share.

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

use crate::force::ForceTracker;
use crate::forward::GrantForwarder;
use crate::hub::MembershipHub;
use crate::log::ControlLog;
use crate::metrics::ControlMetrics;
use crate::suspects::SuspectDesk;
use crate::tokens::TokenBank;
use crate::upkeep::DepartureBook;

/// Length of the leases granted to nodes, in milliseconds.
pub const LEASE_MS: u64 = 2_400;
/// Allowance for clocks that run at different speeds within a lease, in milliseconds.
pub const DRIFT_MS: u64 = 50;
/// Time to confirm the leader before an exchange is answered without a lease, in milliseconds.
pub const CONFIRM_TIMEOUT_MS: u64 = 200;
/// Events kept for the time line.
const TIMELINE_EVENTS: usize = 4_096;

/// Shared state of a control instance; clones share it.
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

/// The parts of [`ControlCore`].
#[derive(Debug)]
pub struct CoreInner<L, C> {
    /// Identity in the group.
    pub own: InstanceId,
    /// This start of the instance, drawn at random.
    pub incarnation: u64,
    /// What the settings say.
    pub names: CoreNames,
    /// The clock.
    pub clock: C,
    /// The replicated log.
    pub log: L,
    /// Connections to the other instances.
    pub mesh: PeerMesh,
    /// The nodes.
    pub hub: MembershipHub<C>,
    /// Tokens of the teams owned here.
    pub bank: TokenBank<C>,
    /// Demands for teams owned elsewhere.
    pub forwarder: GrantForwarder,
    /// Versions on their way into force.
    pub force: ForceTracker<C>,
    /// Requests that crashed backend servers.
    pub suspects: SuspectDesk<C>,
    /// Nodes whose lease ran out.
    departures: Mutex<DepartureBook>,
    /// Recent events.
    pub events: EventRingBuffer<C>,
    /// Metrics.
    pub metrics: ControlMetrics,
    /// Cancelled when the instance stops.
    pub stop: CancellationToken,
}

/// What a control instance is told by its settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CoreNames {
    /// Identity in the group.
    pub own: InstanceId,
    /// Where the other instances reach it.
    pub address: SocketAddr,
    /// Name of the process.
    pub process: String,
    /// The two owners at the first start of the group.
    pub owners: Vec<OwnerKey>,
}

impl<L: ControlLog, C: Clock> ControlCore<L, C> {
    /// Puts the parts together; must be called within a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when the metrics cannot be registered.
    pub fn new(
        names: CoreNames,
        log: L,
        mesh: PeerMesh,
        clock: C,
        stop: CancellationToken,
    ) -> anyhow::Result<Self> {
        let own = names.own;
        let incarnation = rand::random();
        let lease = Duration::from_millis(LEASE_MS + DRIFT_MS);
        let stamps = HybridLogicalClock::new(clock.clone());
        let inner = CoreInner {
            own,
            hub: MembershipHub::new(own, incarnation, clock.clone()),
            bank: TokenBank::new(own, incarnation, lease, clock.clone()),
            forwarder: GrantForwarder::new(mesh.clone()),
            force: ForceTracker::new(clock.clone(), lease),
            suspects: SuspectDesk::new(clock.clone()),
            departures: Mutex::default(),
            events: EventRingBuffer::new(&names.process, TIMELINE_EVENTS, stamps),
            metrics: ControlMetrics::new()?,
            incarnation,
            names,
            clock,
            log,
            mesh,
            stop,
        };
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Returns the nodes whose lease ran out.
    pub fn departures(&self) -> MutexGuard<'_, DepartureBook> {
        self.departures
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a quorum confirmed the leader; returns whether one did in time.
    pub async fn confirmed(&self) -> bool {
        let limit = Duration::from_millis(CONFIRM_TIMEOUT_MS);
        let confirmed = tokio::time::timeout(limit, self.log.confirm()).await;
        confirmed.is_ok_and(|outcome| outcome.is_ok())
    }
}
