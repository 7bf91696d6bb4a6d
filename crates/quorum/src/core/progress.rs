//! State that only a leader has, with the replication progress of the other members.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::InstanceId;
use crate::LogIndex;
use crate::QuorumTerms;
use crate::core::read_queue::HeartbeatRounds;
use crate::core::snapshots::SnapshotProgress;

/// Replication progress of another member.
#[derive(Debug)]
pub(super) struct PeerProgress {
    /// Index up to which the member's log matches the leader's.
    pub(super) matched: LogIndex,
    /// Index of the next entry to send.
    pub(super) next: LogIndex,
    /// Whether `next` is a guess that the member has not confirmed yet.
    pub(super) probing: bool,
    /// When the member last answered.
    pub(super) heard_at: Instant,
    /// Latest heartbeat round that the member acknowledged.
    pub(super) acked_round: u64,
    /// Progress of a snapshot transfer, if the member needs entries that the log no longer holds.
    pub(super) snapshot: Option<SnapshotProgress>,
}

impl PeerProgress {
    pub(super) const fn new(next: LogIndex, now: Instant) -> Self {
        Self {
            matched: 0,
            next,
            probing: true,
            heard_at: now,
            acked_round: 0,
            snapshot: None,
        }
    }
}

/// Leadership transfer in progress; given up at `deadline`.
#[derive(Debug)]
pub(super) struct LeaderTransfer {
    pub(super) to: InstanceId,
    pub(super) deadline: Instant,
}

/// State that only a leader has.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) peers: BTreeMap<InstanceId, PeerProgress>,
    /// Terms of the election, which hold for all that the leader counts.
    pub(super) terms: QuorumTerms,
    /// Index of the first entry of this leader's term.
    pub(super) first_index_of_term: LogIndex,
    pub(super) rounds: HeartbeatRounds,
    pub(super) transfer: Option<LeaderTransfer>,
    pub(super) elected_at: Instant,
    pub(super) heartbeat_due: Instant,
}

impl LeaderState {
    pub(super) const fn next_due(&self) -> Instant {
        self.heartbeat_due
    }
}
