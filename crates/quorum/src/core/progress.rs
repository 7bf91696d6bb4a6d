//! What a leader keeps about the other members.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::InstanceId;
use crate::LogIndex;
use crate::core::read_queue::LeaderRounds;
use crate::core::snapshots::SnapshotProgress;

/// What a leader knows about another member.
#[derive(Debug)]
pub(super) struct PeerProgress {
    /// Log of the member equals the leader's up to here.
    pub(super) matched: LogIndex,
    /// Next entry to send.
    pub(super) next: LogIndex,
    /// Whether `next` is a guess that the member has not confirmed.
    pub(super) probing: bool,
    /// When the member last answered.
    pub(super) heard_at: Instant,
    /// Latest confirmation round that the member answered.
    pub(super) round: u64,
    /// Transfer of a snapshot, when the log does not reach back far enough.
    pub(super) snapshot: Option<SnapshotProgress>,
}

impl PeerProgress {
    pub(super) const fn new(next: LogIndex, now: Instant) -> Self {
        Self {
            matched: 0,
            next,
            probing: true,
            heard_at: now,
            round: 0,
            snapshot: None,
        }
    }
}

/// Handover of leadership that is under way.
#[derive(Debug)]
pub(super) struct LeaderTransfer {
    pub(super) to: InstanceId,
    pub(super) until: Instant,
}

/// State that only a leader has.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) peers: BTreeMap<InstanceId, PeerProgress>,
    /// Index of the first entry of this leader's term.
    pub(super) first_index: LogIndex,
    pub(super) rounds: LeaderRounds,
    pub(super) transfer: Option<LeaderTransfer>,
    pub(super) since: Instant,
    pub(super) heartbeat_due: Instant,
}

impl LeaderState {
    pub(super) const fn next_due(&self) -> Instant {
        self.heartbeat_due
    }
}
