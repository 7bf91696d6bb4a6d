//! Handle of a running replica.

use std::future::Future;
use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::mpsc;

use clock::Clock;
use quorum::MemberChange;
use quorum::MemberChangeError;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::InstanceId;
use crate::LogIndex;
use crate::PeerLink;
use crate::ProposeError;
use crate::ReadIndexError;
use crate::ReplicaConfig;
use crate::ReplicaStatus;
use crate::ReplicatedState;
use crate::StateMachine;
use crate::driver::DriverInput;
use crate::driver::ReplicaDriver;
use crate::storage::LogStore;
use crate::storage::StorageError;
use crate::storage::StoreConfig;

/// A running replica; clones share it.
///
/// Raft and the state machine run on one thread and disk writes on another, so that
/// neither blocks the tasks that use this handle.
#[derive(Debug)]
pub struct ReplicaHandle<M: StateMachine> {
    inputs: mpsc::Sender<DriverInput<M>>,
    machine: Arc<RwLock<M>>,
    status: watch::Receiver<ReplicaStatus>,
    stopped: CancellationToken,
}

impl<M: StateMachine> Clone for ReplicaHandle<M> {
    fn clone(&self) -> Self {
        Self {
            inputs: self.inputs.clone(),
            machine: Arc::clone(&self.machine),
            status: self.status.clone(),
            stopped: self.stopped.clone(),
        }
    }
}

impl<M: StateMachine> ReplicaHandle<M> {
    /// Opens the data folder and starts the replica.
    ///
    /// The replica runs until `stop` is cancelled; a leader then transfers its
    /// leadership first. `link` is called on the replica's own thread, inside the Tokio
    /// runtime that this is called from.
    ///
    /// # Errors
    ///
    /// Fails when the data folder cannot be used.
    pub fn start<L: PeerLink, C: Clock>(
        config: ReplicaConfig,
        link: L,
        machine: M,
        clock: C,
        stop: CancellationToken,
    ) -> Result<Self, StorageError> {
        let (store, recovered) = LogStore::open(&StoreConfig {
            data_dir: config.data_dir.clone(),
            instance: config.instance,
            initial_members: config.initial_members.clone(),
            join: config.join,
            segment_bytes: config.segment_bytes,
        })?;
        let machine = Arc::new(RwLock::new(machine));
        let stopped = CancellationToken::new();
        let (inputs, receiver) = mpsc::channel();
        let driver = ReplicaDriver::new(config, recovered, link, Arc::clone(&machine), clock, stop);
        let status = driver.watch();
        driver.start(store, inputs.clone(), receiver, stopped.clone());
        Ok(Self {
            inputs,
            machine,
            status,
            stopped,
        })
    }

    /// Returns the state of the replica.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Returns a receiver that is notified whenever the state of the replica changes.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// Waits until the replica has stopped, on request or after a fatal error.
    pub async fn stopped(&self) {
        self.stopped.cancelled().await;
    }

    /// Appends a change of one member; succeeds only on the leader.
    ///
    /// # Errors
    ///
    /// Fails when the change was not appended.
    pub async fn change_members(
        &self,
        change: MemberChange,
    ) -> Result<LogIndex, MemberChangeError> {
        let (reply, outcome) = oneshot::channel();
        let sent = self
            .inputs
            .send(DriverInput::ChangeMembers { change, reply });
        let not_leader = MemberChangeError::NotLeader { leader: None };
        if sent.is_err() {
            return Err(not_leader);
        }
        outcome.await.unwrap_or(Err(not_leader))
    }

    /// Reports that the disk of a voter is lost, see [`RaftCore::report_lost`].
    ///
    /// [`RaftCore::report_lost`]: quorum::RaftCore::report_lost
    pub fn report_lost(&self, instance: InstanceId) {
        // A replica that has stopped needs no reports.
        let _ = self.inputs.send(DriverInput::ReportLost { instance });
    }
}

impl<M: StateMachine> ReplicatedState<M> for ReplicaHandle<M> {
    fn propose(
        &self,
        entry: Vec<u8>,
    ) -> impl Future<Output = Result<M::Output, ProposeError>> + Send {
        let (reply, outcome) = oneshot::channel();
        let sent = self.inputs.send(DriverInput::Propose { entry, reply });
        async move {
            if sent.is_err() {
                return Err(ProposeError::NotLeader { leader: None });
            }
            outcome.await.unwrap_or(Err(ProposeError::Unknown))
        }
    }

    fn read_index(&self) -> impl Future<Output = Result<LogIndex, ReadIndexError>> + Send {
        let (reply, outcome) = oneshot::channel();
        let sent = self.inputs.send(DriverInput::ReadIndex { reply });
        async move {
            if sent.is_err() {
                return Err(ReadIndexError);
            }
            outcome.await.unwrap_or(Err(ReadIndexError))
        }
    }

    fn read<R>(&self, reader: impl FnOnce(&M) -> R) -> R {
        let machine = self.machine.read().unwrap_or_else(PoisonError::into_inner);
        reader(&machine)
    }

    fn receive(&self, from: InstanceId, message: Vec<u8>) {
        // A replica that has stopped ignores messages.
        let _ = self.inputs.send(DriverInput::Message { from, message });
    }
}
