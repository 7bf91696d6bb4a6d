//! Three control instances, each with its own threads.

use std::fmt;
use std::fmt::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use clock::SystemClock;
use control::core::ControlCore;
use control::log::ControlLog;
use control::log::ReplicaLog;
use control::run::ControlServer;
use ed25519_dalek::SigningKey;
use model::admin::ChangeSubmission;
use model::change::ChangeStatus;
use model::change::OwnerSignature;
use model::change::ProposedChange;
use model::hex;
use model::ids::ConfigVersion;
use model::ids::OwnerKey;
use settings::ControlAddress;
use settings::ControlSettings;
use tempfile::TempDir;
use tokio::runtime::Runtime;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use wire::quic::QuicEndpoint;
use wire::quic::QuicOptions;
use wire::role::PeerRole;

use crate::authority::TestAuthority;

/// Names of the instances' threads.
pub(crate) const THREAD_NAMES: [&str; 3] = ["control-1", "control-2", "control-3"];
/// Loopback address with any free port.
pub(crate) const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Number of services in the declaration.
pub(crate) const SERVICES: u64 = 84;
/// Number of teams in the declaration.
pub(crate) const TEAMS: u64 = 100;
/// The one class of the declaration.
const CLASS: &str = r#"
[[class]]
name = "payment"
refused = "last"
within-ms = 2000
share-percent = 99.0
"#;
/// Polling interval of conditions, in milliseconds.
const POLL_MS: u64 = 2;
/// Timeout for the commit of a change, in seconds.
const COMMIT_TIMEOUT_S: u64 = 30;

/// A running control group.
pub(crate) struct BenchGroup {
    pub(crate) authority: TestAuthority,
    pub(crate) addresses: Vec<ControlAddress>,
    cores: Vec<ControlCore<ReplicaLog, SystemClock>>,
    owners: [SigningKey; 2],
    _folder: TempDir,
}

impl BenchGroup {
    /// Starts one instance on each runtime.
    pub(crate) fn start(runtimes: &[Runtime; 3]) -> anyhow::Result<Self> {
        let authority = TestAuthority::new();
        let folder = TempDir::new()?;
        let owners = [1, 2].map(|seed| SigningKey::from_bytes(&[seed; 32]));
        let identity = authority.identity(PeerRole::Control);
        let mut endpoints = Vec::new();
        for runtime in runtimes {
            let _entered = runtime.enter();
            let roles = [PeerRole::Node, PeerRole::Control];
            let timing = QuicOptions::default();
            endpoints.push(QuicEndpoint::bind(LOOPBACK, &identity, &roles, timing)?);
        }
        let mut addresses = Vec::new();
        for (instance, endpoint) in (1..).zip(&endpoints) {
            let address = endpoint.local_addr()?;
            addresses.push(ControlAddress { instance, address });
        }
        let mut cores = Vec::new();
        for ((runtime, endpoint), address) in runtimes.iter().zip(endpoints).zip(&addresses) {
            let settings = ControlSettings {
                process: format!("control-{}", address.instance),
                data_centre: "south".into(),
                instance: address.instance,
                quic_listener: address.address,
                admin_listener: LOOPBACK,
                data_directory: folder.path().join(address.instance.to_string()),
                initial_members: addresses.clone(),
                join_existing: false,
                owners: owners.iter().map(public_key).collect(),
                tls: authority.files(PeerRole::Control.dns_name()),
            };
            let identity = authority.identity(PeerRole::Control);
            // Started on a thread of the runtime, because the replica's threads inherit its name.
            let started = runtime.spawn(async move {
                let stop = CancellationToken::new();
                ControlServer::start(&settings, &identity, endpoint, SystemClock, stop).await
            });
            let server = futures::executor::block_on(started)??;
            cores.push(server.core().clone());
            runtime.spawn(server.serve());
        }
        Ok(Self {
            authority,
            addresses,
            cores,
            owners,
            _folder: folder,
        })
    }

    /// Waits until the initial owners are set on all instances.
    pub(crate) async fn wait_for_initial_owners(&self) {
        for core in &self.cores {
            let has_owners = |core: &ControlCore<ReplicaLog, _>| {
                let state = |state: &ledger::ControlState| !state.config().text().is_empty();
                core.log.read(state)
            };
            while !has_owners(core) {
                sleep(Duration::from_millis(POLL_MS)).await;
            }
        }
    }

    /// Returns the position of the leader.
    pub(crate) fn leader(&self) -> usize {
        let leader = self.cores[0].log.status().leader;
        let mut positions = 0..self.cores.len();
        positions
            .find(|position| leader == Some(self.cores[*position].instance))
            .unwrap_or_default()
    }

    /// Returns the position of an instance that does not lead.
    pub(crate) fn follower(&self) -> usize {
        let leader = self.cores[0].log.status().leader;
        let mut positions = 0..self.cores.len();
        positions
            .find(|position| leader != Some(self.cores[*position].instance))
            .unwrap_or_default()
    }

    /// Commits a declaration in which one key depends on `number`.
    pub(crate) async fn declare(&self, number: u32) -> ConfigVersion {
        let base = self.cores[0].log.read_index().await;
        base.expect("the group has a quorum");
        let core = &self.cores[0];
        let change = ProposedChange {
            base: core.log.read(|state| state.config().version()),
            text: self.text(number),
        };
        let hash = change.hash();
        let signed = self
            .owners
            .iter()
            .map(|key| OwnerSignature::sign(key, &hash));
        let signatures = signed.collect();
        let submission = ChangeSubmission { change, signatures };
        let deadline = Instant::now() + Duration::from_secs(COMMIT_TIMEOUT_S);
        match core.submit(submission, deadline).await {
            Ok(ChangeStatus::Accepted(version)) => version,
            other => panic!("the change was not accepted: {other:?}"),
        }
    }

    /// Waits until an instance reports that the version is in force.
    pub(crate) async fn wait_in_force(&self, position: usize, version: ConfigVersion) {
        let core = &self.cores[position];
        while !core.is_in_force(version) {
            sleep(Duration::from_millis(POLL_MS)).await;
        }
    }

    fn text(&self, number: u32) -> String {
        let mut text = String::new();
        let written = self.write_text(&mut text, number);
        written.expect("a string takes everything");
        text
    }

    fn write_text(&self, text: &mut String, number: u32) -> fmt::Result {
        let owners: Vec<_> = self.owners.iter().map(public_key).collect();
        let owners: Vec<_> = owners.iter().map(|key| hex::encode(key)).collect();
        writeln!(text, "owners = [\"{}\"]", owners.join("\", \""))?;
        text.push_str(CLASS);
        for service in 0..SERVICES {
            writeln!(text, "[[service]]\nname = \"service-{service}\"")?;
            writeln!(text, "[[route]]\nname = \"route-{service}\"")?;
            writeln!(text, "prefix = \"/service-{service}\"")?;
            writeln!(text, "service = \"service-{service}\"\nclass = \"payment\"")?;
        }
        for team in 0..TEAMS {
            writeln!(text, "[[team]]\nname = \"team-{team}\"")?;
            writeln!(text, "rate = 1000\nburst = 2000")?;
            write_key(text, team, 0, 0)?;
            write_key(text, team, 1, if team == 0 { number } else { 0 })?;
        }
        Ok(())
    }
}

fn write_key(text: &mut String, team: u64, key: u8, number: u32) -> fmt::Result {
    let mut digest = [0; 32];
    digest[..8].copy_from_slice(&team.to_le_bytes());
    digest[8] = key;
    digest[9..13].copy_from_slice(&number.to_le_bytes());
    let digest = hex::encode(&digest);
    writeln!(text, "[[key]]\nname = \"key-{team}-{key}\"")?;
    writeln!(text, "team = \"team-{team}\"\ndigest = \"{digest}\"")
}

fn public_key(key: &SigningKey) -> OwnerKey {
    key.verifying_key().to_bytes()
}
