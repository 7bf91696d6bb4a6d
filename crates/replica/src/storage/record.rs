//! Records of the log.

use quorum::DurableWrite;
use quorum::InstanceId;
use quorum::LogEntry;
use quorum::LogPosition;
use quorum::Term;
use serde::Deserialize;
use serde::Serialize;

/// One record; a frame holds all records of one sync.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) enum LogRecord {
    /// Term and vote, which replace earlier ones.
    Vote {
        /// Current term.
        term: Term,
        /// Member that got the vote.
        vote: Option<InstanceId>,
    },
    /// Entries, which replace all earlier ones from the index of the first on.
    Append(Vec<LogEntry>),
    /// The log restarts after this entry, which a snapshot includes.
    Reset(LogPosition),
}

impl LogRecord {
    /// Returns the log record of a write; `None` when it needs only a snapshot file.
    pub(super) fn from_write(write: &DurableWrite) -> Option<Self> {
        match write {
            DurableWrite::Vote { term, vote } => Some(Self::Vote {
                term: *term,
                vote: *vote,
            }),
            DurableWrite::Append(entries) => Some(Self::Append(entries.clone())),
            DurableWrite::Compact(_) => None,
            DurableWrite::Install(snapshot) => Some(Self::Reset(snapshot.last_included)),
        }
    }
}
