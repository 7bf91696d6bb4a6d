//! Log entries and snapshots of the state machine.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::LogIndex;
use crate::Membership;
use crate::Term;

/// Index and term of an entry.
///
/// Two logs with an entry at the same position are identical up to that entry.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LogPosition {
    /// Index of the entry, 0 for the position before the first entry.
    pub index: LogIndex,
    /// Term in which a leader appended it.
    pub term: Term,
}

impl LogPosition {
    /// Returns whether a log that ends here is at least as up to date as one that ends at `other`.
    ///
    /// Compares by term, then by index, as elections do.
    #[must_use]
    pub const fn is_up_to_date_with(self, other: Self) -> bool {
        self.term > other.term || (self.term == other.term && self.index >= other.index)
    }
}

/// Contents of a log entry.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// No contents; the first entry of a leader, whose commit commits those of earlier terms.
    Noop,
    /// Encoded command for the state machine.
    Command(Bytes),
    /// Complete membership, in force from this entry on.
    Members(Membership),
}

impl EntryPayload {
    /// Returns the approximate size of the payload in a message or in the log, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Noop => 1,
            Self::Command(command) => command.len(),
            Self::Members(membership) => membership.members().len() * size_of::<u64>() * 3,
        }
    }
}

/// Entry of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Index and term of the entry.
    pub position: LogPosition,
    /// Contents of the entry.
    pub payload: EntryPayload,
}

/// Encoded state machine after all entries up to a position.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// Last entry that the snapshot includes.
    pub last_included: LogPosition,
    /// Membership in force at that entry.
    pub membership: Membership,
    /// State machine in its own encoding.
    pub state: Bytes,
}
