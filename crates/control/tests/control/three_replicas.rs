//! Tests of three control instances on loopback with logs on disk.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use clock::SystemClock;
use control::core::ControlCore;
use control::log::ControlLog;
use control::log::ReplicaLog;
use control::run::ControlServer;
use model::admin::ChangeSubmission;
use model::change::ChangeStatus;
use model::exchange::ExchangeRequest;
use model::ids::InstanceId;
use settings::ControlAddress;
use settings::ControlSettings;
use tempfile::TempDir;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use wire::client::ControlClient;
use wire::quic::QuicEndpoint;
use wire::quic::QuicOptions;
use wire::role::PeerRole;

use crate::common::LOOPBACK;
use crate::common::authority::TestAuthority;
use crate::common::fake_log::FakeGroup;
use crate::common::request;
use crate::common::until;

const LIMIT: Duration = Duration::from_secs(30);

struct RunningInstance {
    core: ControlCore<ReplicaLog, SystemClock>,
    stop: CancellationToken,
    server_task: JoinHandle<anyhow::Result<()>>,
}

impl RunningInstance {
    fn leads(&self) -> bool {
        self.core.log.status().leader == Some(self.core.instance)
    }

    async fn stop(self) {
        self.stop.cancel();
        self.server_task.await.unwrap().unwrap();
    }
}

struct ReplicatedGroup {
    authority: TestAuthority,
    folder: TempDir,
    owners: FakeGroup,
    addresses: Vec<ControlAddress>,
    running: Vec<RunningInstance>,
}

impl ReplicatedGroup {
    async fn start() -> Self {
        let mut group = Self {
            authority: TestAuthority::new(),
            folder: TempDir::new().unwrap(),
            owners: FakeGroup::new(1),
            addresses: Vec::new(),
            running: Vec::new(),
        };
        let endpoints: Vec<_> = (0..3).map(|_| group.endpoint(LOOPBACK)).collect();
        let numbered = (1..).zip(&endpoints);
        group.addresses = numbered
            .map(|(instance, endpoint)| ControlAddress {
                instance,
                address: endpoint.local_addr().unwrap(),
            })
            .collect();
        for (instance, endpoint) in (1..).zip(endpoints) {
            let started = group.start_instance(instance, endpoint).await;
            group.running.push(started);
        }
        group
    }

    fn endpoint(&self, address: SocketAddr) -> QuicEndpoint {
        let identity = self.authority.identity(PeerRole::Control);
        let roles = [PeerRole::Node, PeerRole::Control];
        QuicEndpoint::bind(address, &identity, &roles, QuicOptions::default()).unwrap()
    }

    async fn start_instance(&self, own: InstanceId, quic: QuicEndpoint) -> RunningInstance {
        let settings = ControlSettings {
            process: format!("control-{own}"),
            data_centre: "south".into(),
            instance: own,
            quic_listener: quic.local_addr().unwrap(),
            admin_listener: LOOPBACK,
            data_directory: self.data(own),
            initial_members: self.addresses.clone(),
            join_existing: false,
            owners: self.owners.owner_keys(),
            tls: self.authority.files(PeerRole::Control.dns_name()),
        };
        let identity = self.authority.identity(PeerRole::Control);
        let stop = CancellationToken::new();
        let started = ControlServer::start(&settings, &identity, quic, SystemClock, stop.clone());
        let started = started.await.unwrap();
        let core = started.core().clone();
        let server_task = tokio::spawn(started.serve());
        RunningInstance {
            core,
            stop,
            server_task,
        }
    }

    fn data(&self, own: InstanceId) -> std::path::PathBuf {
        Path::new(self.folder.path()).join(format!("data-{own}"))
    }

    fn client(&self, first: u64) -> ControlClient {
        let identity = self.authority.identity(PeerRole::Node);
        let timing = QuicOptions::default();
        let endpoint = QuicEndpoint::bind_client(LOOPBACK, &identity, timing).unwrap();
        ControlClient::new(&endpoint, &self.addresses, first)
    }

    /// Submits a change with both signatures to an instance.
    async fn declare(&self, position: usize, items: &str) -> ChangeStatus {
        let core = &self.running[position].core;
        let mut change = self.owners.change(items);
        change.base = core.log.read(|state| state.config().version());
        let signatures = self.owners.sign(&change);
        let submission = ChangeSubmission { change, signatures };
        core.submit(submission, Instant::now() + LIMIT)
            .await
            .unwrap()
    }

    async fn wait_for_initial_owners(&self) {
        for instance in &self.running {
            let log = &instance.core.log;
            until(|| log.read(|state| !state.config().declaration().owners.is_empty())).await;
        }
    }
}

/// Repeats the exchange until a lease names `version`, and updates the node's state.
async fn exchange_until_leased(
    client: &ControlClient,
    request: &mut ExchangeRequest,
    version: u64,
) {
    loop {
        if let Ok(reply) = client.exchange(request).await
            && let Some(lease) = reply.lease
        {
            assert!(lease.version >= request.applied, "a version went back");
            request.applied = lease.version;
            if lease.version >= version {
                return;
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_survives_loss_of_the_leader_and_a_restart_of_all() {
    let mut group = ReplicatedGroup::start().await;
    group.wait_for_initial_owners().await;
    assert_eq!(group.declare(0, "").await, ChangeStatus::Accepted(1));
    let client = group.client(0);
    let mut request = request(1, "orders", &[]);
    exchange_until_leased(&client, &mut request, 1).await;

    // The leader stops; the others elect a new leader and the node moves to another instance.
    let leader = group.running.iter().position(RunningInstance::leads);
    let leader = group.running.remove(leader.unwrap());
    leader.stop().await;
    assert_eq!(group.declare(1, "").await, ChangeStatus::Accepted(2));
    exchange_until_leased(&client, &mut request, 2).await;

    // All instances stop and restart from disk.
    for instance in group.running.drain(..) {
        instance.stop().await;
    }
    for address in group.addresses.clone() {
        let endpoint = group.endpoint(address.address);
        let started = group.start_instance(address.instance, endpoint).await;
        group.running.push(started);
    }
    exchange_until_leased(&client, &mut request, 2).await;
    let cores: Vec<_> = group
        .running
        .iter()
        .map(|instance| &instance.core)
        .collect();
    for core in &cores {
        assert!(core.log.read_index().await.is_ok());
        assert_eq!(core.log.read(|state| state.config().version()), 2);
    }
    until(|| {
        let digests: Vec<_> = cores.iter().map(|core| core.log.digest()).collect();
        digests.iter().all(|digest| *digest == digests[0])
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_without_the_others_renews_no_lease() {
    let mut group = ReplicatedGroup::start().await;
    group.wait_for_initial_owners().await;
    let mut request = request(1, "orders", &[]);
    exchange_until_leased(&group.client(0), &mut request, 0).await;
    let last = group.running.remove(0);
    for instance in group.running.drain(..) {
        instance.stop().await;
    }
    // It may have been the leader and has the complete state, but no quorum confirms it.
    let reply = last.core.exchange(request).await.unwrap();
    assert_eq!(reply.lease, None);
    last.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_removed_member_is_no_longer_a_voter() {
    let group = ReplicatedGroup::start().await;
    group.wait_for_initial_owners().await;
    let leads = || group.running.iter().find(|instance| instance.leads());
    until(|| leads().is_some()).await;
    let leader = leads().unwrap();
    let mut others = group.running.iter();
    let other = others
        .find(|instance| !instance.leads())
        .unwrap()
        .core
        .instance;
    // The leader's first entry must be committed before members may change.
    while leader.core.log.remove_member(other).await.is_err() {
        tokio::task::yield_now().await;
    }
    until(|| !leader.core.log.status().voters.contains(&other)).await;
    assert_eq!(leader.core.log.status().voters.len(), 2);
}
