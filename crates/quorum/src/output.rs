//! Effects that the core asks its driver for.

use crate::BatchNumber;
use crate::InstanceId;
use crate::LogEntry;
use crate::LogIndex;
use crate::PeerMessage;
use crate::ReadTicket;
use crate::StateSnapshot;
use crate::Term;

/// A message and its receiver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutgoingMessage {
    /// Receiver.
    pub to: InstanceId,
    /// The message.
    pub message: PeerMessage,
}

/// Something to write; later writes replace earlier ones where they overlap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DurableWrite {
    /// Term, and the vote given in it.
    Vote {
        /// Current term.
        term: Term,
        /// Member that got the vote.
        vote: Option<InstanceId>,
    },
    /// Entries in order; whatever the log holds from the first one's index on is dropped.
    Append(Vec<LogEntry>),
    /// A snapshot of this instance's own state; the log before it may be dropped.
    Compact(StateSnapshot),
    /// A leader's snapshot; the whole log is dropped.
    Install(StateSnapshot),
}

/// Something to hand to the state machine, in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AppliedEffect {
    /// A committed entry.
    Entry(LogEntry),
    /// A snapshot that replaces the state.
    Restore(StateSnapshot),
}

/// End of a waiting read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadOutcome {
    /// Name that the driver gave.
    pub ticket: ReadTicket,
    /// Index to be applied before the state is read; none when the read timed out.
    pub index: Option<LogIndex>,
}

/// All effects of the events since the last call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CoreOutput {
    /// Number to report once `writes` are synced; none when there is nothing to wait for.
    pub batch: Option<BatchNumber>,
    /// Writes in order.
    pub writes: Vec<DurableWrite>,
    /// Messages that may be sent at once.
    pub messages: Vec<OutgoingMessage>,
    /// Messages that must wait until this batch and all before it are synced.
    pub synced_messages: Vec<OutgoingMessage>,
    /// What to hand to the state machine.
    pub applied: Vec<AppliedEffect>,
    /// Reads that ended.
    pub reads: Vec<ReadOutcome>,
}
