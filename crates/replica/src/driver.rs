//! The thread that runs the consensus and the state machine.

mod admission;
mod events;
mod joining;
mod outputs;
mod tickets;

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
use crate::driver::admission::FolderAdmission;
use crate::driver::joining::JoinQueue;
use crate::driver::tickets::ProposalTickets;
use crate::driver::tickets::ReadTickets;
use crate::storage::FolderIdentity;
use crate::storage::LogStore;
use crate::storage::RecoveredState;
use crate::storage::StorageJob;
use crate::storage::StorageReport;
use crate::storage::StorageWorker;

/// Longest time between two looks at the clock and at the request to stop, in milliseconds.
const TURN_MAX_MS: u64 = 20;

/// Answer to a proposal.
pub(crate) type ProposalAnswer<M> =
    oneshot::Sender<Result<<M as StateMachine>::Output, ProposeError>>;

/// Answer to a confirmation.
pub(crate) type ConfirmAnswer = oneshot::Sender<Result<LogIndex, ReadIndexError>>;

/// What the driver is told.
pub(crate) enum DriverInput<M: StateMachine> {
    /// Append an entry.
    Propose {
        entry: Vec<u8>,
        answer: ProposalAnswer<M>,
    },
    /// Confirm the leader.
    Confirm { answer: ConfirmAnswer },
    /// Change the members.
    Change {
        change: MemberChange,
        answer: oneshot::Sender<Result<LogIndex, MemberChangeError>>,
    },
    /// A message of another member.
    Message { from: InstanceId, message: Vec<u8> },
    /// A report of the disk.
    Storage(StorageReport),
}

/// Everything that one replica runs on its own thread.
pub(crate) struct ReplicaDriver<M: StateMachine, L, C> {
    config: ReplicaConfig,
    core: RaftCore,
    identity: FolderIdentity,
    admission: FolderAdmission,
    joining: JoinQueue,
    link: L,
    machine: Arc<RwLock<M>>,
    clock: C,
    stop: CancellationToken,
    status: watch::Sender<ReplicaStatus>,
    jobs: Option<Sender<StorageJob>>,
    proposals: ProposalTickets<M>,
    reads: ReadTickets,
    applied: LogIndex,
    /// Bytes applied since the last snapshot.
    applied_bytes: u64,
    /// When a leader that stops gives up handing over.
    stop_due: Option<Instant>,
    fault: Option<ReplicaError>,
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
        let RecoveredState { identity, state } = recovered;
        let core = RaftCore::new(
            config.instance,
            identity.member_folder(),
            config.raft.clone(),
            state,
            config.seed,
            clock.now(),
        );
        let core_status = core.status();
        let (status, _) = watch::channel(ReplicaStatus {
            instance: config.instance,
            role: core_status.role,
            registered: identity.registered,
            term: core_status.term,
            leader: core_status.leader,
            membership: core_status.membership,
            commit_index: core_status.commit_index,
            applied_index: 0,
            snapshot_index: core_status.snapshot_index,
            fatal_error: None,
        });
        Self {
            admission: FolderAdmission::new(&identity, clock.now()),
            joining: JoinQueue::new(clock.now()),
            core,
            identity,
            link,
            machine,
            clock,
            stop,
            status,
            jobs: None,
            proposals: ProposalTickets::new(config.propose_timeout),
            reads: ReadTickets::default(),
            applied: 0,
            applied_bytes: 0,
            stop_due: None,
            fault: None,
            config,
        }
    }

    pub(crate) fn watch(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.subscribe()
    }

    /// Starts the threads of the driver and of the disk.
    pub(crate) fn start(
        mut self,
        store: LogStore,
        own_inputs: Sender<DriverInput<M>>,
        inputs: Receiver<DriverInput<M>>,
        done: CancellationToken,
    ) {
        let report = move |report| {
            // A driver that has stopped needs no reports.
            let _ = own_inputs.send(DriverInput::Storage(report));
        };
        let (jobs, worker) = StorageWorker::start(store, self.config.batch_limit, report);
        self.jobs = Some(jobs);
        let runtime = Handle::try_current().ok();
        thread::spawn(move || {
            let _entered = runtime.as_ref().map(Handle::enter);
            self.run(&inputs);
            drop(self);
            // The folder is free once the worker has ended, also when it panicked.
            let _ = worker.join();
            done.cancel();
        });
    }

    fn run(&mut self, inputs: &Receiver<DriverInput<M>>) {
        self.perform_outputs();
        while self.fault.is_none() && !self.is_stopping() {
            let batch = self.next_batch(inputs);
            self.take_batch(batch);
            let now = self.clock.now();
            self.tick(now);
            self.perform_outputs();
            self.publish_status();
        }
        self.publish_status();
    }

    /// Waits for the next event or the next due time, and takes what else is waiting.
    fn next_batch(&self, inputs: &Receiver<DriverInput<M>>) -> Vec<DriverInput<M>> {
        let now = self.clock.now();
        let wait = self
            .core
            .next_tick_due()
            .saturating_duration_since(now)
            .min(Duration::from_millis(TURN_MAX_MS));
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

    fn tick(&mut self, now: Instant) {
        if self.identity.registered {
            self.core.tick(now);
        } else {
            self.tick_admission(now);
        }
        self.tick_joining(now);
        self.proposals.expire(now);
        if let Some(fault) = self.core.fatal_error() {
            self.fail(fault.into());
        }
    }

    /// Hands leadership over once asked to stop; returns whether to stop now.
    fn is_stopping(&mut self) -> bool {
        if !self.stop.is_cancelled() {
            return false;
        }
        let now = self.clock.now();
        if self.core.role() != MemberRole::Leader {
            return true;
        }
        if let Some(due) = self.stop_due {
            return now >= due;
        }
        self.stop_due = Some(now + self.config.raft.election_timeout_max);
        !self.core.transfer_leadership(now)
    }

    fn fail(&mut self, fault: ReplicaError) {
        if self.fault.is_none() {
            tracing::error!(event = "replica-fault", instance = self.config.instance, fault = %fault);
            self.fault = Some(fault);
        }
    }

    fn publish_status(&mut self) {
        let core = self.core.status();
        let next = ReplicaStatus {
            instance: self.config.instance,
            role: core.role,
            registered: self.identity.registered,
            term: core.term,
            leader: core.leader,
            membership: core.membership,
            commit_index: core.commit_index,
            applied_index: self.applied,
            snapshot_index: core.snapshot_index,
            fatal_error: self.fault.clone(),
        };
        self.status.send_if_modified(|status| {
            let changed = status.differs_from(&next);
            *status = next;
            changed
        });
    }
}
