//! Entries of the log and snapshots of the state beneath it.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::LogIndex;
use crate::Membership;
use crate::Term;

/// Index and term of an entry; equal positions mean equal logs up to there.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct LogPosition {
    /// Index of the entry, 0 before the first.
    pub index: LogIndex,
    /// Term in which a leader appended it.
    pub term: Term,
}

impl LogPosition {
    /// Orders positions as elections do: by term, then by index.
    #[must_use]
    pub const fn is_up_to_date_with(self, other: Self) -> bool {
        self.term > other.term || (self.term == other.term && self.index >= other.index)
    }
}

/// What an entry carries.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// Nothing; a leader's first entry, which commits those of earlier terms.
    Noop,
    /// A command for the state machine.
    Command(Bytes),
    /// The whole membership from this entry on.
    Members(Membership),
}

impl EntryPayload {
    /// Returns the bytes that the payload adds to a message or a log, roughly.
    #[must_use]
    pub fn size(&self) -> usize {
        match self {
            Self::Noop => 1,
            Self::Command(command) => command.len(),
            Self::Members(membership) => membership.members().len() * size_of::<u64>() * 3,
        }
    }
}

/// One entry of the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Where it stands.
    pub position: LogPosition,
    /// What it carries.
    pub payload: EntryPayload,
}

/// Encoded state after all entries up to a position.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StateSnapshot {
    /// Last entry that the state includes.
    pub last: LogPosition,
    /// Membership at that entry.
    pub membership: Membership,
    /// State as the state machine encoded it.
    pub state: Bytes,
}
