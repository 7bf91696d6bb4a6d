//! Simulated nodes, each with its own socket and connection.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use clock::SystemClock;
use limit::TokenHolder;
use model::context::FailureShare;
use model::context::ServerLoad;
use model::exchange::ExchangeReply;
use model::exchange::ExchangeRequest;
use model::exchange::MemberRecord;
use model::exchange::PROTOCOL_VERSION;
use model::exchange::ServerState;
use model::exchange::TokenDemand;
use model::ids::ConfigVersion;
use model::ids::TeamName;
use settings::ControlAddress;
use timeline::HybridLogicalClock;
use timeline::HybridTimestamp;
use tokio::runtime::Runtime;
use tokio::time::sleep;
use wire::client::ControlClient;
use wire::identity::TlsIdentity;
use wire::quic::ConnectionTraffic;
use wire::quic::QuicEndpoint;
use wire::quic::QuicOptions;
use wire::role::PeerRole;

use crate::RunPlan;
use crate::group::BenchGroup;
use crate::group::LOOPBACK;
use crate::group::SERVICES;
use crate::group::TEAMS;

/// Name of the nodes' threads.
pub(crate) const THREAD_NAME: &str = "nodes";
/// Services that a node calls.
const INTERESTS: u64 = 3;
/// Time span for which a node prefetches tokens, in milliseconds.
const PREFETCH_MS: u64 = 1_200;
/// Requests per period and team that enter at a node.
const CALLS_PER_PERIOD: u32 = 10;
/// Polling interval of conditions, in milliseconds.
const POLL_MS: u64 = 2;

/// Traffic of all nodes, in UDP payload bytes and datagrams.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NodeTraffic {
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
    pub(crate) datagrams: u64,
}

impl NodeTraffic {
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        Self {
            sent_bytes: self.sent_bytes - earlier.sent_bytes,
            received_bytes: self.received_bytes - earlier.received_bytes,
            datagrams: self.datagrams - earlier.datagrams,
        }
    }

    fn add(&mut self, link: ConnectionTraffic) {
        self.sent_bytes += link.sent_bytes;
        self.received_bytes += link.received_bytes;
        self.datagrams += link.sent_datagrams + link.received_datagrams;
    }
}

/// Summary of lease renewals.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseSummary {
    /// Renewals after the lease had expired.
    pub(crate) expired: u64,
    /// Minimum time left of a lease at its renewal.
    pub(crate) least_left: Duration,
}

impl Default for LeaseSummary {
    fn default() -> Self {
        Self {
            expired: 0,
            least_left: Duration::MAX,
        }
    }
}

/// All simulated nodes.
pub(crate) struct SimulatedNodes {
    nodes: Vec<Arc<SimulatedNode>>,
    latencies: Arc<Mutex<Vec<Duration>>>,
    leases: Arc<Mutex<LeaseSummary>>,
}

/// State of a node that the measurement reads.
struct SimulatedNode {
    client: ControlClient,
    applied: AtomicU64,
    latencies: Arc<Mutex<Vec<Duration>>>,
    leases: Arc<Mutex<LeaseSummary>>,
}

impl SimulatedNodes {
    /// Starts the nodes at the instance at `serving_position`, spread over one period.
    pub(crate) fn start(
        runtime: &Runtime,
        group: &BenchGroup,
        serving_position: usize,
        plan: &RunPlan,
    ) -> Self {
        let identity = group.authority.identity(PeerRole::Node);
        let latencies = Arc::default();
        let leases = Arc::default();
        let addresses = if plan.allow_failover {
            &group.addresses[..]
        } else {
            &group.addresses[serving_position..=serving_position]
        };
        let _entered = runtime.enter();
        let nodes = (0..plan.nodes).map(|number| {
            let node = Arc::new(SimulatedNode {
                client: client(
                    &identity,
                    addresses,
                    address_order(serving_position, number, addresses),
                ),
                applied: AtomicU64::new(0),
                latencies: Arc::clone(&latencies),
                leases: Arc::clone(&leases),
            });
            runtime.spawn(Arc::clone(&node).run(number, *plan));
            node
        });
        Self {
            nodes: nodes.collect(),
            latencies: Arc::clone(&latencies),
            leases: Arc::clone(&leases),
        }
    }

    /// Returns the summary of lease renewals.
    pub(crate) fn leases(&self) -> LeaseSummary {
        *self.leases.lock().unwrap()
    }

    /// Resets the summary of lease renewals.
    pub(crate) fn reset_leases(&self) {
        *self.leases.lock().unwrap() = LeaseSummary::default();
    }

    /// Waits until every node holds a lease.
    pub(crate) async fn wait_all_leased(&self) {
        self.wait_all_applied(1).await;
    }

    /// Waits until every node has applied a version.
    pub(crate) async fn wait_all_applied(&self, version: ConfigVersion) {
        for node in &self.nodes {
            while node.applied.load(Ordering::Relaxed) < version {
                sleep(Duration::from_millis(POLL_MS)).await;
            }
        }
    }

    /// Returns the traffic of all nodes so far.
    pub(crate) fn traffic(&self) -> NodeTraffic {
        let mut total = NodeTraffic::default();
        for node in &self.nodes {
            total.add(node.client.traffic());
        }
        total
    }

    /// Discards the exchange latencies measured so far.
    pub(crate) fn reset_latencies(&self) {
        self.latencies.lock().unwrap().clear();
    }

    /// Returns the exchange latencies, shortest first.
    pub(crate) fn latencies(&self) -> Vec<Duration> {
        let mut latencies = self.latencies.lock().unwrap().clone();
        latencies.sort_unstable();
        latencies
    }
}

impl SimulatedNode {
    async fn run(self: Arc<Self>, number: u64, plan: RunPlan) {
        let nodes = u32::try_from(plan.nodes).unwrap_or(u32::MAX);
        let phase = plan.period / nodes * u32::try_from(number).unwrap_or_default();
        sleep(phase).await;
        let mut request = request(number);
        let mut holders = holders(number, plan.demands);
        let stamps = HybridLogicalClock::new(SystemClock);
        let mut lease_end = None;
        loop {
            let began = Instant::now();
            request.stamp = stamps.next_timestamp();
            request.demands = demands(&mut holders);
            if let Ok(reply) = self.client.exchange(&request).await {
                self.latencies.lock().unwrap().push(began.elapsed());
                let applied_before = request.applied;
                self.apply(&mut request, &reply);
                let Some(lease) = reply.lease else { continue };
                self.record_renewal(lease_end.replace(began + lease.length));
                for grant in &reply.grants {
                    let holder = holders.iter_mut().find(|(team, _)| *team == grant.team);
                    if let Some((_, holder)) = holder {
                        holder.accept(grant, began + lease.length);
                    }
                }
                if request.applied != applied_before {
                    // Reports the applied version at once.
                    continue;
                }
            }
            sleep(plan.period.saturating_sub(began.elapsed())).await;
        }
    }

    /// Records the time that was left of the lease at its renewal.
    fn record_renewal(&self, lease_end: Option<Instant>) {
        let Some(lease_end) = lease_end else { return };
        let left = lease_end.saturating_duration_since(Instant::now());
        let mut leases = self.leases.lock().unwrap();
        leases.expired += u64::from(left.is_zero());
        leases.least_left = leases.least_left.min(left);
    }

    fn apply(&self, request: &mut ExchangeRequest, reply: &ExchangeReply) {
        if let Some(lease) = reply.lease {
            request.applied = lease.version;
            self.applied.store(lease.version, Ordering::Relaxed);
        }
        request.feed = reply.members.feed;
        request.member_cursor = reply.members.cursor;
    }
}

type TeamHolder = (TeamName, TokenHolder<SystemClock>);

fn holders(number: u64, teams: usize) -> Vec<TeamHolder> {
    let ahead = Duration::from_millis(PREFETCH_MS);
    let teams = (0..teams as u64).map(|team| {
        let name: TeamName = format!("team-{}", (number + team) % TEAMS).into();
        (name.clone(), TokenHolder::new(name, ahead, SystemClock))
    });
    teams.collect()
}

/// Spends the tokens of one period's calls, and returns the demands.
fn demands(holders: &mut [TeamHolder]) -> Vec<TokenDemand> {
    let demands = holders.iter_mut().filter_map(|(_, holder)| {
        for _ in 0..CALLS_PER_PERIOD {
            let _ = holder.take();
        }
        holder.demand()
    });
    demands.collect()
}

/// Returns a client with its own socket.
pub(crate) fn client(
    identity: &TlsIdentity,
    addresses: &[ControlAddress],
    address_order: u64,
) -> ControlClient {
    let timing = QuicOptions::default();
    let endpoint = QuicEndpoint::bind_client(LOOPBACK, identity, timing);
    let endpoint = endpoint.expect("a socket can be bound");
    ControlClient::new(&endpoint, addresses, address_order)
}

/// Returns the number of an address order that starts with the serving instance and differs
/// between nodes.
fn address_order(serving_position: usize, number: u64, addresses: &[ControlAddress]) -> u64 {
    serving_position as u64 + number * addresses.len() as u64
}

/// Returns the first exchange request of a node.
pub(crate) fn request(number: u64) -> ExchangeRequest {
    let port = 1 + u16::try_from(number).unwrap_or(u16::MAX - 1);
    let service = number % SERVICES;
    let interests = (1..=INTERESTS).map(|step| format!("service-{}", (service + step) % SERVICES));
    ExchangeRequest {
        protocol: PROTOCOL_VERSION,
        member: MemberRecord {
            // Real nodes use random ids of 64 bits.
            node: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port),
            data_centre: "south".into(),
            service: format!("service-{service}").into(),
            state: ServerState::Ready,
            load: ServerLoad {
                in_flight: 40,
                queued: 3,
                limit: 150,
                pace: None,
                failing: FailureShare::default(),
            },
        },
        applied: 0,
        interests: interests.map(Into::into).collect(),
        member_cursor: 0,
        feed: 0,
        demands: Vec::new(),
        crashes: Vec::new(),
        leaving: false,
        stamp: HybridTimestamp::default(),
    }
}
