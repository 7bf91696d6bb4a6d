//! Runs a control instance with given settings.

use std::time::Duration;

use anyhow::Context;
use clock::Clock;
use ledger::ControlState;
use replica::ReplicaConfig;
use replica::ReplicaError;
use replica::ReplicaHandle;
use replica::storage::StorageError;
use settings::ControlSettings;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use tracing::warn;
use wire::identity::TlsIdentity;
use wire::peer::PeerMesh;
use wire::quic::QuicEndpoint;
use wire::quic::QuicOptions;
use wire::role::PeerRole;

use crate::core::ControlCore;
use crate::core::CoreConfig;
use crate::log::ReplicaLog;
use crate::server::ControlListeners;

/// A control instance with a running replica and bound listeners.
pub struct ControlServer<C> {
    core: ControlCore<ReplicaLog, C>,
    listeners: ControlListeners,
    replica_stop: CancellationToken,
}

/// Delay before the data folder is opened again after the disk was full, in milliseconds.
const DISK_RETRY_MS: u64 = 250;

/// Runs a control instance until `stop` is cancelled.
///
/// A full disk ends the replica but not the process: it starts again until the disk has room.
///
/// # Errors
///
/// Fails when an address, file or data folder of the settings cannot be used,
/// or when the replica fails for another reason than a full disk.
pub async fn run<C: Clock>(
    settings: ControlSettings,
    clock: C,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    loop {
        let outcome = run_once(&settings, clock.clone(), stop.child_token()).await;
        let Err(error) = outcome else {
            return Ok(());
        };
        if stop.is_cancelled() || !is_disk_full(&error) {
            return Err(error);
        }
        warn!(event = "disk-full", error = %format!("{error:#}"));
        tokio::select! {
            () = sleep(Duration::from_millis(DISK_RETRY_MS)) => {}
            () = stop.cancelled() => return Ok(()),
        }
    }
}

/// Returns whether an error goes back to a disk without room.
#[must_use]
pub fn is_disk_full(error: &anyhow::Error) -> bool {
    error.chain().any(|cause| {
        let storage = cause.downcast_ref::<StorageError>();
        let replica = cause.downcast_ref::<ReplicaError>();
        storage.is_some_and(StorageError::is_disk_full)
            || replica.is_some_and(ReplicaError::is_disk_full)
    })
}

async fn run_once<C: Clock>(
    settings: &ControlSettings,
    clock: C,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let identity = TlsIdentity::load(&settings.tls)?;
    let roles = [PeerRole::Node, PeerRole::Control];
    let quic = QuicEndpoint::bind(
        settings.quic_listener,
        &identity,
        &roles,
        QuicOptions::default(),
    )?;
    let server = ControlServer::start(settings, &identity, quic, clock, stop).await?;
    server.serve().await
}

impl<C: Clock> ControlServer<C> {
    /// Starts the replica and binds the listener for operators.
    ///
    /// # Errors
    ///
    /// As [`run`].
    pub async fn start(
        settings: &ControlSettings,
        identity: &TlsIdentity,
        quic: QuicEndpoint,
        clock: C,
        stop: CancellationToken,
    ) -> anyhow::Result<Self> {
        let listeners =
            ControlListeners::bind(quic.clone(), settings.admin_listener, identity).await?;
        let mesh = PeerMesh::new(settings.instance, quic);
        for member in &settings.initial_members {
            mesh.add(member.instance, member.address);
        }
        let group = settings
            .initial_members
            .iter()
            .map(|member| member.instance);
        let mut config = ReplicaConfig::new(
            settings.instance,
            group.collect(),
            settings.data_directory.clone(),
        );
        config.join = settings.join_existing;
        // The replica stops last, so that calls in flight can still be committed.
        let replica_stop = CancellationToken::new();
        let replica = ReplicaHandle::start(
            config,
            mesh.clone(),
            ControlState::default(),
            clock.clone(),
            replica_stop.clone(),
        );
        let replica = replica.context("opening the data folder")?;
        let core = ControlCore::new(
            core_config(settings),
            ReplicaLog::new(replica),
            mesh,
            clock,
            stop,
        )?;
        Ok(Self {
            core,
            listeners,
            replica_stop,
        })
    }

    /// Returns the shared state.
    #[must_use]
    pub fn core(&self) -> &ControlCore<ReplicaLog, C> {
        &self.core
    }

    /// Returns the listeners.
    #[must_use]
    pub fn listeners(&self) -> &ControlListeners {
        &self.listeners
    }

    /// Serves until the instance is stopped, then hands over leadership.
    ///
    /// # Errors
    ///
    /// Fails when the replica failed or calls in flight had to be aborted.
    pub async fn serve(self) -> anyhow::Result<()> {
        let replica = self.core.log.replica().clone();
        let stop = self.core.stop.clone();
        let faulty = replica.clone();
        let watch = tokio::spawn(async move {
            faulty.stopped().await;
            stop.cancel();
        });
        let (replica_stop, stopping) = (self.replica_stop, replica.clone());
        let hand_over = async move {
            replica_stop.cancel();
            stopping.stopped().await;
        };
        let served = self.core.serve(self.listeners, hand_over).await;
        watch.abort();
        match replica.status().fatal_error {
            Some(fault) => Err(fault).context("the replica stopped"),
            None => served,
        }
    }
}

fn core_config(settings: &ControlSettings) -> CoreConfig {
    let mut group = settings.initial_members.iter();
    let own = group.find(|member| member.instance == settings.instance);
    CoreConfig {
        instance: settings.instance,
        address: own.map_or(settings.quic_listener, |member| member.address),
        process: settings.process.clone(),
        owners: settings.owners.clone(),
    }
}
