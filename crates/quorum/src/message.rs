//! Messages between members.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::FolderId;
use crate::LogEntry;
use crate::LogIndex;
use crate::LogPosition;
use crate::Membership;
use crate::Term;

/// Message between two members, with the term of its sender.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Sender's term; in a pre-vote the term of the election that the sender proposes.
    pub term: Term,
    /// Receiver's data folder according to the sender's membership.
    ///
    /// A receiver whose disk was wiped has another folder, and must not act under its old ID.
    pub folder: Option<FolderId>,
    /// Kind and contents of the message.
    pub body: MessageBody,
}

/// Result of an append at a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The follower's log matches the leader's up to this index and is synced.
    Matched(LogIndex),
    /// The preceding entry is missing or differs; the leader should send entries from this index.
    Rejected(LogIndex),
}

/// Kind and contents of a message.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether the receiver would vote for the sender, without starting a new term that
    /// would depose a working leader.
    PreVote {
        /// End of the sender's log.
        last: LogPosition,
    },
    /// Reply to a pre-vote.
    PreVoteReply {
        /// Whether the receiver would vote for the sender.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// End of the sender's log.
        last: LogPosition,
        /// Whether the leader requested this election in order to transfer its leadership.
        transfer: bool,
    },
    /// Reply to a request for a vote.
    VoteReply {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Replicates entries; without entries it is a heartbeat.
    Append {
        /// Position of the entry that precedes `entries`.
        previous: LogPosition,
        /// Entries in log order, possibly none.
        entries: Vec<LogEntry>,
        /// Leader's commit index.
        commit_index: LogIndex,
        /// Leader's heartbeat round; see [`MessageBody::HeartbeatReply`].
        round: u64,
    },
    /// Reply to an append, sent once its entries are synced.
    AppendReply {
        /// Result of the append.
        outcome: AppendOutcome,
        /// Round of the append.
        round: u64,
    },
    /// Acknowledges the heartbeat round of an append without waiting for the disk.
    ///
    /// Once a quorum has acknowledged a round, no leader of a later term had committed anything
    /// when the round started, so the leader may answer the reads that arrived before.
    HeartbeatReply {
        /// Round of the append.
        round: u64,
    },
    /// Carries one chunk of a snapshot to a member that needs entries the log no longer holds.
    Snapshot {
        /// Last entry that the snapshot includes.
        last_included: LogPosition,
        /// Membership in force at that entry.
        membership: Membership,
        /// Length of the complete encoded state, in bytes.
        length: u64,
        /// Offset of the chunk within the encoded state.
        offset: u64,
        /// Bytes of the chunk.
        data: Bytes,
    },
    /// Reply to a chunk of a snapshot.
    SnapshotReply {
        /// Index of the last entry that the snapshot includes.
        index: LogIndex,
        /// Contiguous bytes received so far.
        received: u64,
    },
    /// Asks the leader for a commit index to read at (`ReadIndex`).
    ReadIndex {
        /// ID of the request; one request covers all reads then pending at the sender.
        request_id: u64,
    },
    /// Reply to a read request.
    ReadIndexReply {
        /// ID of the request.
        request_id: u64,
        /// Commit index of the leader, after a quorum confirmed its leadership since the request
        /// arrived.
        index: LogIndex,
    },
    /// Tells a voter that has the whole log to start an election at once.
    TimeoutNow,
}
