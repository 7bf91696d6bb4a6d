//! Putting the log together from its records.

use std::path::Path;

use quorum::LogEntry;
use quorum::LogPosition;
use quorum::StateSnapshot;
use quorum::Term;

use crate::InstanceId;
use crate::storage::StorageError;
use crate::storage::record::LogRecord;

/// Puts the records of all segments together.
#[derive(Debug, Default)]
pub(super) struct LogReplay {
    pub(super) term: Term,
    pub(super) vote: Option<InstanceId>,
    /// Entries in order, without gaps.
    pub(super) entries: Vec<LogEntry>,
    /// Where the log starts anew, until entries follow.
    reset: Option<LogPosition>,
}

impl LogReplay {
    pub(super) fn take(&mut self, record: LogRecord, path: &Path) -> Result<(), StorageError> {
        match record {
            LogRecord::Vote { term, vote } => {
                self.term = term;
                self.vote = vote;
            }
            LogRecord::Append(entries) => self.append(entries, path)?,
            LogRecord::Reset(last) => {
                self.entries.clear();
                self.reset = Some(last);
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
        let end = end.or(self.reset.map(|reset| reset.index));
        if end.is_some_and(|end| end + 1 != from) {
            return Err(StorageError::Gap {
                path: path.to_owned(),
                index: from,
            });
        }
        self.entries.extend(entries);
        Ok(())
    }

    /// Fits the entries to the snapshot; returns where the log must start anew, if it must.
    pub(super) fn fit(
        &mut self,
        snapshot: Option<&StateSnapshot>,
        path: &Path,
    ) -> Result<Option<LogPosition>, StorageError> {
        let base = snapshot
            .map(|snapshot| snapshot.last_included)
            .unwrap_or_default();
        let Some(first) = self.entries.first().map(|entry| entry.position.index) else {
            let stale = base.index > 0 && self.reset != Some(base);
            return Ok(stale.then_some(base));
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
        let continues = at_base.is_some_and(|entry| entry.position.term == base.term)
            || first == base.index + 1;
        if !continues {
            self.entries.clear();
            return Ok(Some(base));
        }
        self.entries
            .retain(|entry| entry.position.index > base.index);
        Ok(None)
    }
}
