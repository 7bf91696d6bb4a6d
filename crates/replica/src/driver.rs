//! The thread that runs Raft and the state machine.

mod inputs;
mod joining;
mod outputs;
mod pending;
mod registration;

use std::sync::Arc;
use std::sync::RwLock;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use quorum::MemberChange;
use quorum::MemberChangeError;
use quorum::MemberRole;
use quorum::RaftCore;
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::InstanceId;
use crate::LogIndex;
use crate::PeerLink;
use crate::ProposeError;
use crate::ReadIndexError;
use crate::ReplicaConfig;
use crate::ReplicaError;
use crate::ReplicaStatus;
use crate::StateMachine;
use crate::driver::joining::JoinQueue;
use crate::driver::pending::PendingProposals;
use crate::driver::pending::PendingReads;
use crate::driver::registration::FolderRegistration;
use crate::storage::FolderIdentity;
use crate::storage::LogStore;
use crate::storage::RecoveredState;
use crate::storage::StorageJob;
use crate::storage::StorageReport;
use crate::storage::StorageWorker;

/// Longest wait for an input before the clock and the request to stop are checked, in milliseconds.
const MAX_WAIT_MS: u64 = 20;

/// Sends the outcome of a proposal to its caller.
pub(crate) type ProposalReply<M> =
    oneshot::Sender<Result<<M as StateMachine>::Output, ProposeError>>;

/// Sends the outcome of a linearizable read to its caller.
pub(crate) type ReadIndexReply = oneshot::Sender<Result<LogIndex, ReadIndexError>>;

/// Input of the driver.
pub(crate) enum DriverInput<M: StateMachine> {
    /// Append an entry.
    Propose {
        entry: Vec<u8>,
        reply: ProposalReply<M>,
    },
    /// Confirm the leader for a linearizable read.
    ReadIndex { reply: ReadIndexReply },
    /// Change the members.
    ChangeMembers {
        change: MemberChange,
        reply: oneshot::Sender<Result<LogIndex, MemberChangeError>>,
    },
    /// A voter's disk is known to be lost.
    ReportLost { instance: InstanceId },
    /// A message from another member.
    Message { from: InstanceId, message: Vec<u8> },
    /// A report from the storage worker.
    Storage(StorageReport),
}

/// Runs Raft and the state machine of one replica on a thread of its own.
pub(crate) struct ReplicaDriver<M: StateMachine, L, C> {
    config: ReplicaConfig,
    raft: RaftCore,
    identity: FolderIdentity,
    registration: FolderRegistration,
    join_queue: JoinQueue,
    link: L,
    machine: Arc<RwLock<M>>,
    clock: C,
    stop: CancellationToken,
    status: watch::Sender<ReplicaStatus>,
    storage_jobs: Option<Sender<StorageJob>>,
    pending_proposals: PendingProposals<M>,
    pending_reads: PendingReads,
    applied: LogIndex,
    /// Bytes applied since the last snapshot.
    applied_bytes: u64,
    /// When a stopping leader stops waiting for its leadership to be transferred.
    transfer_deadline: Option<Instant>,
    fatal_error: Option<ReplicaError>,
}

impl<M: StateMachine, L: PeerLink, C: Clock> ReplicaDriver<M, L, C> {
    pub(crate) fn new(
        config: ReplicaConfig,
        recovered: RecoveredState,
        link: L,
        machine: Arc<RwLock<M>>,
        clock: C,
        stop: CancellationToken,
    ) -> Self {
        let RecoveredState {
            identity,
            refused,
            state,
        } = recovered;
        let instance = config.instance;
        let fatal_error = refused.then_some(ReplicaError::OtherFolder { instance });
        let raft = RaftCore::new(
            config.instance,
            identity.member_folder(),
            config.raft.clone(),
            state,
            config.seed,
            clock.now(),
        );
        let raft_status = raft.status();
        let (status, _) = watch::channel(ReplicaStatus {
            instance: config.instance,
            role: raft_status.role,
            registered: identity.registered,
            term: raft_status.term,
            leader: raft_status.leader,
            membership: raft_status.membership,
            membership_index: raft_status.membership_index,
            outgoing_membership: raft_status.outgoing_membership,
            lost_voters: raft_status.lost_voters,
            commit_index: raft_status.commit_index,
            applied_index: 0,
            snapshot_index: raft_status.snapshot_index,
            fatal_error: fatal_error.clone(),
        });
        Self {
            registration: FolderRegistration::new(&identity, clock.now()),
            join_queue: JoinQueue::new(clock.now()),
            raft,
            identity,
            link,
            machine,
            clock,
            stop,
            status,
            storage_jobs: None,
            pending_proposals: PendingProposals::new(config.propose_timeout),
            pending_reads: PendingReads::default(),
            applied: 0,
            applied_bytes: 0,
            transfer_deadline: None,
            fatal_error,
            config,
        }
    }

    pub(crate) fn watch(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.subscribe()
    }

    /// Starts the threads of the driver and of the storage worker.
    pub(crate) fn start(
        mut self,
        store: LogStore,
        input_sender: Sender<DriverInput<M>>,
        inputs: Receiver<DriverInput<M>>,
        stopped: CancellationToken,
    ) {
        let report = move |report| {
            // A driver that has stopped needs no reports.
            let _ = input_sender.send(DriverInput::Storage(report));
        };
        let (jobs, worker) = StorageWorker::start(store, self.config.batch_limit, report);
        self.storage_jobs = Some(jobs);
        let runtime = Handle::try_current().ok();
        thread::spawn(move || {
            let _entered = runtime.as_ref().map(Handle::enter);
            self.run(&inputs);
            drop(self);
            // The folder is unlocked once the worker has ended, even by a panic.
            let _ = worker.join();
            stopped.cancel();
        });
    }

    fn run(&mut self, inputs: &Receiver<DriverInput<M>>) {
        self.handle_output();
        while self.fatal_error.is_none() && !self.is_stopping() {
            let batch = self.next_batch(inputs);
            self.handle_inputs(batch);
            let now = self.clock.now();
            self.tick(now);
            self.handle_output();
            self.publish_status();
        }
        self.publish_status();
    }

    /// Waits for an input or the next tick, and collects the inputs that are queued by then.
    fn next_batch(&self, inputs: &Receiver<DriverInput<M>>) -> Vec<DriverInput<M>> {
        let now = self.clock.now();
        let max_wait = Duration::from_millis(MAX_WAIT_MS);
        let wait = self.next_due().saturating_duration_since(now).min(max_wait);
        let Ok(first) = inputs.recv_timeout(wait) else {
            return Vec::new();
        };
        let mut batch = vec![first];
        while batch.len() < self.config.batch_limit
            && let Ok(input) = inputs.try_recv()
        {
            batch.push(input);
        }
        batch
    }

    /// Returns when the timers that run must be looked at next.
    fn next_due(&self) -> Instant {
        if self.identity.registered {
            self.raft.next_tick_due()
        } else {
            self.registration.next_attempt()
        }
    }

    fn tick(&mut self, now: Instant) {
        if self.identity.registered {
            self.raft.tick(now);
        } else {
            self.tick_registration(now);
        }
        self.tick_joining(now);
        self.pending_proposals.expire(now);
        if let Some(error) = self.raft.fatal_error() {
            self.fail(error.into());
        }
    }

    /// Transfers leadership once asked to stop; returns whether to stop now.
    fn is_stopping(&mut self) -> bool {
        if !self.stop.is_cancelled() {
            return false;
        }
        let now = self.clock.now();
        if self.raft.role() != MemberRole::Leader {
            return true;
        }
        if let Some(deadline) = self.transfer_deadline {
            return now >= deadline;
        }
        self.transfer_deadline = Some(now + self.config.raft.election_timeout_max);
        !self.raft.transfer_leadership(now)
    }

    fn fail(&mut self, error: ReplicaError) {
        if self.fatal_error.is_none() {
            tracing::error!(event = "replica-fault", instance = self.config.instance, fault = %error);
            if matches!(error, ReplicaError::OtherFolder { .. }) {
                // Whoever refused the folder may be gone when it is started again.
                self.send_storage_job(StorageJob::MarkRefused);
            }
            self.fatal_error = Some(error);
        }
    }

    fn publish_status(&mut self) {
        let raft = self.raft.status();
        let next = ReplicaStatus {
            instance: self.config.instance,
            role: raft.role,
            registered: self.identity.registered,
            term: raft.term,
            leader: raft.leader,
            membership: raft.membership,
            membership_index: raft.membership_index,
            outgoing_membership: raft.outgoing_membership,
            lost_voters: raft.lost_voters,
            commit_index: raft.commit_index,
            applied_index: self.applied,
            snapshot_index: raft.snapshot_index,
            fatal_error: self.fatal_error.clone(),
        };
        self.status.send_if_modified(|status| {
            let changed = status.differs_from(&next);
            *status = next;
            changed
        });
    }
}
