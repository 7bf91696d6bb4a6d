//! Rebuilds the log from its records.

use std::path::Path;

use quorum::LogEntry;
use quorum::LogPosition;
use quorum::StateSnapshot;
use quorum::Term;

use crate::InstanceId;
use crate::storage::StorageError;
use crate::storage::record::LogRecord;

/// The log, rebuilt from the records of all segments.
#[derive(Debug, Default)]
pub(super) struct LogReplay {
    pub(super) term: Term,
    pub(super) vote: Option<InstanceId>,
    /// Entries in order, without gaps.
    pub(super) entries: Vec<LogEntry>,
    /// Position that the log restarts after; used only while no entries follow.
    reset_at: Option<LogPosition>,
}

impl LogReplay {
    pub(super) fn apply(&mut self, record: LogRecord, path: &Path) -> Result<(), StorageError> {
        match record {
            LogRecord::Vote { term, vote } => {
                self.term = term;
                self.vote = vote;
            }
            LogRecord::Append(entries) => self.append(entries, path)?,
            LogRecord::Reset(position) => {
                self.entries.clear();
                self.reset_at = Some(position);
            }
        }
        Ok(())
    }

    fn append(&mut self, entries: Vec<LogEntry>, path: &Path) -> Result<(), StorageError> {
        let Some(from) = entries.first().map(|entry| entry.position.index) else {
            return Ok(());
        };
        self.entries.truncate(
            self.entries
                .partition_point(|entry| entry.position.index < from),
        );
        let end = self.entries.last().map(|entry| entry.position.index);
        let end = end.or(self.reset_at.map(|reset| reset.index));
        if end.is_some_and(|end| end + 1 != from) {
            return Err(StorageError::Gap {
                path: path.to_owned(),
                index: from,
            });
        }
        self.entries.extend(entries);
        Ok(())
    }

    /// Drops the entries that the snapshot includes, or all when they conflict with it.
    ///
    /// Returns the position to reset the log to, if it must be reset.
    pub(super) fn align_with_snapshot(
        &mut self,
        snapshot: Option<&StateSnapshot>,
        path: &Path,
    ) -> Result<Option<LogPosition>, StorageError> {
        let base = snapshot
            .map(|snapshot| snapshot.last_included)
            .unwrap_or_default();
        let Some(first) = self.entries.first().map(|entry| entry.position.index) else {
            let needs_reset = base.index > 0 && self.reset_at != Some(base);
            return Ok(needs_reset.then_some(base));
        };
        if first > base.index + 1 {
            return Err(StorageError::Gap {
                path: path.to_owned(),
                index: first,
            });
        }
        let at_base = self
            .entries
            .iter()
            .find(|entry| entry.position.index == base.index);
        let matches_snapshot = at_base.is_some_and(|entry| entry.position.term == base.term)
            || first == base.index + 1;
        if !matches_snapshot {
            self.entries.clear();
            return Ok(Some(base));
        }
        self.entries
            .retain(|entry| entry.position.index > base.index);
        Ok(None)
    }
}
