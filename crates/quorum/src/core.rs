//! Raft state of one member.

mod commit;
mod effects;
mod election;
mod follower;
mod leader;
mod members;
mod progress;
mod quorums;
mod read_queue;
mod reads;
mod receive;
mod snapshots;
mod status;

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;

use crate::BatchNumber;
use crate::DurableWrite;
use crate::EntryPayload;
use crate::FolderId;
use crate::InstanceId;
use crate::LogEntry;
use crate::LogIndex;
use crate::LogPosition;
use crate::Membership;
use crate::RaftConfig;
use crate::RaftOutput;
use crate::SplitMix64;
use crate::StateSnapshot;
use crate::StateUpdate;
use crate::Term;
use crate::core::election::VoteTally;
use crate::core::progress::LeaderState;
use crate::core::read_queue::ReadQueue;
use crate::core::snapshots::IncomingSnapshot;
use crate::entry_log::EntryLog;
use crate::entry_log::TrailingLimit;

pub use crate::core::status::MemberRole;
pub use crate::core::status::RaftStatus;

/// State that a member reads from its disk when it starts.
#[derive(Clone, Debug, Default)]
pub struct DurableState {
    /// Membership that the group was first started with; empty for a member that joins later.
    pub initial_membership: Membership,
    /// Current term.
    pub term: Term,
    /// Vote cast in the current term.
    pub vote: Option<InstanceId>,
    /// Last snapshot.
    pub snapshot: Option<StateSnapshot>,
    /// Log entries without gaps, starting no later than just after the snapshot.
    pub entries: Vec<LogEntry>,
}

/// Reason why commands were not appended to the log.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum AppendError {
    /// This instance is not the leader, or is transferring its leadership.
    #[display("not the leader, try {leader:?}")]
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
}

/// Error after which this member must stop.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum FatalError {
    /// The group knows this ID with another data folder: the disk was wiped.
    #[display("instance {instance} belongs to another data folder; join under a new ID")]
    OtherFolder {
        /// ID of this instance.
        instance: InstanceId,
    },
    /// A leader sent an entry that differs from the committed one at the same index.
    #[display("a leader sent an entry that differs from the committed entry {index}")]
    CommittedConflict {
        /// Index of the entry.
        index: LogIndex,
    },
}

/// Role of this member in the current term, with the state that only this role has.
#[derive(Debug)]
enum RoleState {
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    Leader(LeaderState),
}

/// Batch of writes that the driver has not reported as synced yet.
#[derive(Clone, Copy, Debug)]
struct UnsyncedBatch {
    batch: BatchNumber,
    last: LogPosition,
    term: Term,
    voted_self: bool,
}

/// Raft state of one member; it does no I/O and starts no threads.
///
/// Each event method takes the current time and collects the actions that follow, which
/// [`take_output`](Self::take_output) returns. The driver performs the writes of all outputs
/// in order and reports each synced batch to [`mark_synced`](Self::mark_synced).
#[derive(Debug)]
pub struct RaftCore {
    id: InstanceId,
    folder: FolderId,
    config: RaftConfig,
    rng: SplitMix64,
    term: Term,
    vote: Option<InstanceId>,
    log: EntryLog,
    commit_index: LogIndex,
    /// Last entry that the driver was given to apply.
    dispatched_index: LogIndex,
    /// Last entry that is synced on this member's own disk.
    durable_index: LogIndex,
    role: RoleState,
    leader: Option<InstanceId>,
    heard_leader_at: Option<Instant>,
    /// Voters whose disk is known to be lost.
    lost_voters: BTreeSet<InstanceId>,
    election_due: Instant,
    incoming_snapshot: Option<IncomingSnapshot>,
    reads: ReadQueue,
    unsynced_batches: VecDeque<UnsyncedBatch>,
    last_batch: BatchNumber,
    output: RaftOutput,
    fatal_error: Option<FatalError>,
}

impl RaftCore {
    /// Creates a member from the state on its disk.
    ///
    /// `folder` is [`INITIAL_FOLDER`](crate::INITIAL_FOLDER) for members that the group
    /// was first started with. `seed` must differ between members and between starts.
    #[must_use]
    pub fn new(
        id: InstanceId,
        folder: FolderId,
        config: RaftConfig,
        state: DurableState,
        seed: u64,
        now: Instant,
    ) -> Self {
        let mut rng = SplitMix64::new(seed);
        let first_request_id = rng.next_u64();
        let log = EntryLog::new(state.initial_membership, state.snapshot, state.entries);
        let commit_index = log.snapshot_index();
        let mut core = Self {
            id,
            folder,
            config,
            rng,
            term: state.term,
            vote: state.vote,
            durable_index: log.last().index,
            log,
            commit_index,
            dispatched_index: commit_index,
            role: RoleState::Follower,
            leader: None,
            heard_leader_at: None,
            lost_voters: BTreeSet::new(),
            election_due: now,
            incoming_snapshot: None,
            reads: ReadQueue::new(first_request_id),
            unsynced_batches: VecDeque::new(),
            last_batch: 0,
            output: RaftOutput::default(),
            fatal_error: None,
        };
        core.restart_election_timer(now);
        core.check_own_folder();
        if let Some(snapshot) = core.log.snapshot() {
            let restore = StateUpdate::Restore(snapshot.clone());
            core.output.state_updates.push(restore);
        }
        core
    }

    /// Returns the time by which [`tick`](Self::tick) must be called next.
    #[must_use]
    pub fn next_tick_due(&self) -> Instant {
        let due = match &self.role {
            RoleState::Leader(state) => state.next_due(),
            _ => self.election_due,
        };
        self.reads
            .next_due()
            .map_or(due, |read_due| read_due.min(due))
    }

    /// Returns the error after which this member must be stopped, if any.
    #[must_use]
    pub const fn fatal_error(&self) -> Option<FatalError> {
        self.fatal_error
    }

    /// Runs the timers that are due at `now`.
    pub fn tick(&mut self, now: Instant) {
        if self.fatal_error.is_some() {
            return;
        }
        match self.role {
            RoleState::Leader(_) => self.tick_leader(now),
            _ => self.tick_election(now),
        }
        self.tick_reads(now);
    }

    /// Appends commands to the log together and returns the position of the first.
    ///
    /// # Errors
    ///
    /// Fails if this member is not the leader; then nothing was appended.
    pub fn propose(
        &mut self,
        commands: Vec<Bytes>,
        now: Instant,
    ) -> Result<LogPosition, AppendError> {
        if !self.accepts_proposals() {
            return Err(AppendError::NotLeader {
                leader: self.other_leader(),
            });
        }
        let first = LogPosition {
            index: self.log.last().index + 1,
            term: self.term,
        };
        let payloads = commands.into_iter().map(EntryPayload::Command).collect();
        self.append_as_leader(payloads);
        self.replicate(now);
        Ok(first)
    }

    /// Reports that all writes up to `batch` are synced.
    pub fn mark_synced(&mut self, batch: BatchNumber, now: Instant) {
        let mut voted_self = false;
        while let Some(front) = self.unsynced_batches.front().copied() {
            if front.batch > batch {
                break;
            }
            self.unsynced_batches.pop_front();
            if self.log.term_at(front.last.index) == Some(front.last.term) {
                self.durable_index = self.durable_index.max(front.last.index);
            }
            voted_self |= front.voted_self && front.term == self.term;
        }
        if voted_self {
            self.on_vote_reply(self.id, true, now);
        }
        self.advance_commit(now);
    }

    /// Records a snapshot of the state machine and drops the log before it.
    ///
    /// `index` is the last entry applied to the state. A snapshot that is not newer than the
    /// last one is ignored.
    pub fn compact(&mut self, index: LogIndex, state: Bytes) {
        if index <= self.log.snapshot_index() || index > self.dispatched_index {
            return;
        }
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = StateSnapshot {
            last_included: LogPosition { index, term },
            membership: self.log.membership_at(index).clone(),
            state,
        };
        self.output
            .writes
            .push(DurableWrite::Compact(snapshot.clone()));
        let trailing = TrailingLimit {
            entries: self.config.trailing_entries,
            bytes: self.config.trailing_bytes,
        };
        self.log.compact(snapshot, trailing);
    }

    fn check_own_folder(&mut self) {
        let member = self.log.membership().member(self.id);
        if member.is_some_and(|member| member.folder != self.folder) {
            self.fatal_error = Some(FatalError::OtherFolder { instance: self.id });
        }
    }
}
