//! Writes, messages and other actions for the driver to perform.

use crate::BatchNumber;
use crate::InstanceId;
use crate::LogEntry;
use crate::LogIndex;
use crate::PeerMessage;
use crate::ReadId;
use crate::StateSnapshot;
use crate::Term;

/// Message and its receiver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingMessage {
    /// ID of the receiver.
    pub to: InstanceId,
    /// Message to send.
    pub message: PeerMessage,
}

/// Write to durable storage; a later write replaces what it overlaps of earlier ones.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DurableWrite {
    /// Current term and the vote cast in it.
    Vote {
        /// Current term.
        term: Term,
        /// Member that received the vote.
        vote: Option<InstanceId>,
    },
    /// Entries in log order; the stored log is truncated from the index of the first one on.
    Append(Vec<LogEntry>),
    /// Snapshot that this instance took of its own state; the log before it may be dropped.
    Compact(StateSnapshot),
    /// Snapshot received from a leader; it replaces the whole log.
    Install(StateSnapshot),
}

/// Update to apply to the state machine, in the order given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StateUpdate {
    /// Applies a committed entry.
    Entry(LogEntry),
    /// Replaces the state by a snapshot.
    Restore(StateSnapshot),
}

/// Outcome of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadOutcome {
    /// ID that the driver gave to the read.
    pub read_id: ReadId,
    /// Index that must be applied before the state is read; none if the read timed out.
    pub index: Option<LogIndex>,
}

/// Everything that the driver must do because of the events since the last call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RaftOutput {
    /// Batch to report once `writes` are synced; none if no message waits for a sync.
    pub batch: Option<BatchNumber>,
    /// Writes, to be performed in this order.
    pub writes: Vec<DurableWrite>,
    /// Messages that may be sent before the writes are synced.
    pub messages: Vec<OutgoingMessage>,
    /// Messages that may be sent only after this batch and all earlier ones are synced.
    pub messages_after_sync: Vec<OutgoingMessage>,
    /// Updates of the state machine.
    pub state_updates: Vec<StateUpdate>,
    /// Reads that completed or timed out.
    pub finished_reads: Vec<ReadOutcome>,
}
