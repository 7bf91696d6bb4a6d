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

/// A message with the term of its sender.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Sender's term; in pre-votes the term that the sender would start.
    pub term: Term,
    /// Receiver's data folder as the sender's membership names it, so that a
    /// wiped receiver does not act under its old identity.
    pub folder: Option<FolderId>,
    /// What the message says.
    pub body: MessageBody,
}

/// How a follower took an append.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The follower's log equals the leader's up to this index, durably.
    Matched(LogIndex),
    /// The preceding entry is missing or differs; the leader should send from here on.
    Rejected(LogIndex),
}

/// What a message says.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Asks whether an election could be won, without disturbing a leader.
    PreVote {
        /// End of the sender's log.
        last: LogPosition,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Whether the receiver would vote for the sender.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// End of the sender's log.
        last: LogPosition,
        /// Whether the leader itself asked for this election.
        transfer: bool,
    },
    /// Answers a request for a vote.
    VoteReply {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Carries entries, and is the leader's heartbeat.
    Append {
        /// Entry that precedes `entries`.
        previous: LogPosition,
        /// Entries in order, possibly none.
        entries: Vec<LogEntry>,
        /// Leader's commit index.
        committed: LogIndex,
        /// Leader's confirmation round.
        round: u64,
    },
    /// Answers an append.
    AppendReply {
        /// How the append was taken.
        outcome: AppendOutcome,
        /// Round of the append.
        round: u64,
    },
    /// Answers the round of an append ahead of the append itself.
    RoundReply {
        /// Round of the append.
        round: u64,
    },
    /// Carries a piece of a snapshot to a member that lags behind the log.
    Snapshot {
        /// Last entry that the snapshot includes.
        last: LogPosition,
        /// Membership at that entry.
        membership: Membership,
        /// Length of the whole encoded state in bytes.
        length: u64,
        /// Where the piece starts.
        offset: u64,
        /// The piece.
        chunk: Bytes,
    },
    /// Answers a piece of a snapshot.
    SnapshotReply {
        /// Index of the snapshot.
        index: LogIndex,
        /// Bytes received in order so far.
        received: u64,
    },
    /// Asks the leader for a confirmed commit index.
    Read {
        /// Sender's name for its waiting reads.
        id: u64,
    },
    /// Answers a read.
    ReadReply {
        /// Sender's name for its waiting reads.
        id: u64,
        /// Commit index, confirmed by a quorum after the request came in.
        index: LogIndex,
    },
    /// Asks a caught-up voter to start an election at once.
    TimeoutNow,
}
