//! Test setup: a control group on loopback with a shared in-memory log.

#[path = "../../../wire/tests/common/authority.rs"]
pub(crate) mod authority;
pub(crate) mod fake_log;

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Clock;
use clock::SystemClock;
use control::core::ControlCore;
use control::core::CoreConfig;
use control::server::ControlListeners;
use model::context::ServerLoad;
use model::exchange::ExchangeRequest;
use model::exchange::MemberRecord;
use model::exchange::PROTOCOL_VERSION;
use model::exchange::ServerState;
use model::ids::InstanceId;
use model::ids::NodeId;
use model::ids::ServiceName;
use settings::ControlAddress;
use smallvec::SmallVec;
use timeline::HybridTimestamp;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use wire::client::ControlClient;
use wire::identity::TlsIdentity;
use wire::peer::PeerMesh;
use wire::quic::QuicEndpoint;
use wire::quic::QuicOptions;
use wire::role::PeerRole;

use self::authority::TestAuthority;
use self::fake_log::FakeGroup;
use self::fake_log::FakeLog;

pub(crate) const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A running control instance.
pub(crate) struct TestInstance {
    pub(crate) core: ControlCore<FakeLog, SystemClock>,
    pub(crate) log: FakeLog,
    pub(crate) address: ControlAddress,
    pub(crate) admin: SocketAddr,
    pub(crate) server_task: JoinHandle<anyhow::Result<()>>,
}

/// A control group with its certificate authority.
pub(crate) struct TestGroup {
    pub(crate) authority: TestAuthority,
    pub(crate) instances: Vec<TestInstance>,
}

impl TestGroup {
    /// Starts `count` instances over `group`.
    pub(crate) async fn start(group: &FakeGroup, count: u64) -> Self {
        let authority = TestAuthority::new();
        let identity = authority.identity(PeerRole::Control);
        let endpoints: Vec<_> = (0..count).map(|_| control_endpoint(&identity)).collect();
        let mut instances = Vec::new();
        for own in 1..=count {
            let quic = endpoints[index(own)].clone();
            let mesh = PeerMesh::new(own, quic.clone());
            for peer in 1..=count {
                mesh.add(peer, endpoints[index(peer)].local_addr().unwrap());
            }
            let log = group.log(own);
            let address = quic.local_addr().unwrap();
            let core = core(own, address, log.clone(), mesh, SystemClock);
            let address = ControlAddress {
                instance: own,
                address,
            };
            let bound = ControlListeners::bind(quic, LOOPBACK, &identity).await;
            let listeners = bound.unwrap();
            let admin = listeners.admin.local_addr().unwrap();
            let server_task = tokio::spawn(core.clone().serve(listeners, std::future::ready(())));
            instances.push(TestInstance {
                core,
                log,
                address,
                admin,
                server_task,
            });
        }
        Self {
            authority,
            instances,
        }
    }

    /// Returns a node's client that tries the instance at position `first` first.
    pub(crate) fn client(&self, first: u64) -> ControlClient {
        let addresses: Vec<_> = self.instances.iter().map(|i| i.address.clone()).collect();
        let identity = self.authority.identity(PeerRole::Node);
        let timing = QuicOptions::default();
        let endpoint = QuicEndpoint::bind_client(LOOPBACK, &identity, timing).unwrap();
        ControlClient::new(&endpoint, &addresses, first)
    }
}

fn index(instance: InstanceId) -> usize {
    usize::try_from(instance).unwrap() - 1
}

fn control_endpoint(identity: &TlsIdentity) -> QuicEndpoint {
    let roles = [PeerRole::Node, PeerRole::Control];
    QuicEndpoint::bind(LOOPBACK, identity, &roles, QuicOptions::default()).unwrap()
}

/// Creates an instance without listeners.
pub(crate) fn core<C: Clock>(
    instance: InstanceId,
    address: SocketAddr,
    log: FakeLog,
    mesh: PeerMesh,
    clock: C,
) -> ControlCore<FakeLog, C> {
    let config = CoreConfig {
        instance,
        address,
        process: format!("control-{instance}"),
        owners: log.owner_keys(),
    };
    ControlCore::new(config, log, mesh, clock, CancellationToken::new()).unwrap()
}

/// Creates a standalone instance without listeners.
pub(crate) fn standalone_core<C: Clock>(log: FakeLog, clock: C) -> ControlCore<FakeLog, C> {
    let identity = TestAuthority::new().identity(PeerRole::Control);
    let mesh = PeerMesh::new(1, control_endpoint(&identity));
    core(1, LOOPBACK, log, mesh, clock)
}

/// Returns a ready backend server of a service.
pub(crate) fn member(node: NodeId, service: &str) -> MemberRecord {
    let port = 10_000 + u16::try_from(node).unwrap();
    MemberRecord {
        node,
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port),
        data_centre: "south".into(),
        service: service.into(),
        state: ServerState::Ready,
        load: ServerLoad::default(),
    }
}

/// Returns the first exchange request of a node.
pub(crate) fn request(node: NodeId, service: &str, interests: &[&str]) -> ExchangeRequest {
    let interests: SmallVec<[ServiceName; 4]> = interests
        .iter()
        .map(|name| ServiceName::from(*name))
        .collect();
    ExchangeRequest {
        protocol: PROTOCOL_VERSION,
        member: member(node, service),
        applied: 0,
        interests,
        member_cursor: 0,
        feed: 0,
        demands: Vec::new(),
        crashes: Vec::new(),
        leaving: false,
        stamp: HybridTimestamp::default(),
    }
}

/// Waits until `condition` holds; the time limit of the test run bounds the wait.
pub(crate) async fn until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
