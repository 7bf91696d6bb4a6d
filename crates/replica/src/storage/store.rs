//! The log and the snapshots of one instance on disk.

use std::path::Path;
use std::path::PathBuf;

use quorum::DurableState;
use quorum::DurableWrite;
use quorum::StateSnapshot;

use crate::InstanceId;
use crate::LogIndex;
use crate::storage::FolderIdentity;
use crate::storage::StorageError;
use crate::storage::files;
use crate::storage::folder::DataFolder;
use crate::storage::record::LogRecord;
use crate::storage::replay::LogReplay;
use crate::storage::segment::SegmentFile;
use crate::storage::segment::SegmentWriter;
use crate::storage::snapshot;

/// Settings of a store.
#[derive(Clone, Debug)]
pub struct StoreConfig {
    /// Folder that holds the log, the snapshots and the identity.
    pub data_dir: PathBuf,
    /// ID of the instance.
    pub instance: InstanceId,
    /// Members of the group at its first start.
    pub initial_members: Vec<InstanceId>,
    /// Whether an empty folder joins an existing group.
    pub join: bool,
    /// Size in bytes at which a new segment file is started.
    pub segment_bytes: u64,
}

/// State recovered from the disk.
#[derive(Clone, Debug)]
pub struct RecoveredState {
    /// Identity of the folder.
    pub identity: FolderIdentity,
    /// Whether a member has refused the folder, so that its instance must not start.
    pub refused: bool,
    /// State of Raft.
    pub state: DurableState,
}

/// The log and the snapshots of one instance; every write is synced when its call returns.
#[derive(Debug)]
pub struct LogStore {
    folder: DataFolder,
    segment_bytes: u64,
    closed_segments: Vec<SegmentFile>,
    writer: SegmentWriter,
    last_vote: LogRecord,
}

impl LogStore {
    /// Opens a data folder and recovers its state.
    ///
    /// # Errors
    ///
    /// Fails when the folder belongs to another instance or process, when a file is
    /// damaged before its end, has an unknown version, or is missing.
    pub fn open(config: &StoreConfig) -> Result<(Self, RecoveredState), StorageError> {
        let folder = DataFolder::open(config)?;
        let snapshot = snapshot::load(&folder.snapshots_path())?;
        let mut closed_segments = SegmentFile::list(&folder.log_path())?;
        let mut replay = LogReplay::default();
        let count = closed_segments.len();
        for position in 0..count {
            check_sequence(&closed_segments, position)?;
            let is_last = position + 1 == count;
            let segment = &mut closed_segments[position];
            let Some(records) = segment.read(is_last)? else {
                closed_segments.truncate(position);
                break;
            };
            for record in records {
                replay.apply(record, &segment.path)?;
            }
        }
        // A process that was killed during a sync left entries that a loss of power would still take.
        if let Some(last) = closed_segments.last() {
            files::sync_file(&last.path)?;
        }
        let last_path = closed_segments
            .last()
            .map_or(folder.log_path(), |segment| segment.path.clone());
        let reset = replay.align_with_snapshot(snapshot.as_ref(), &last_path)?;
        let last_vote = LogRecord::Vote {
            term: replay.term,
            vote: replay.vote,
        };
        let number = closed_segments
            .last()
            .map_or(1, |segment| segment.number + 1);
        let mut records = vec![last_vote.clone()];
        records.extend(reset.map(LogRecord::Reset));
        let writer = SegmentWriter::create(&folder.log_path(), number, &records)?;
        let recovered = RecoveredState {
            identity: folder.identity.clone(),
            refused: folder.refused,
            state: DurableState {
                initial_membership: folder.identity.initial_membership.clone(),
                term: replay.term,
                vote: replay.vote,
                snapshot,
                entries: replay.entries,
            },
        };
        let store = Self {
            folder,
            segment_bytes: config.segment_bytes,
            closed_segments,
            writer,
            last_vote,
        };
        Ok((store, recovered))
    }

    /// Writes everything but snapshots of the instance's own state, with one sync of the log.
    ///
    /// # Errors
    ///
    /// Fails when the disk does; the store must not be used after that.
    pub fn write(&mut self, writes: &[DurableWrite]) -> Result<(), StorageError> {
        for write in writes {
            if let DurableWrite::Install(installed) = write {
                snapshot::save(&self.folder.snapshots_path(), installed)?;
            }
        }
        let records: Vec<LogRecord> = writes.iter().filter_map(LogRecord::from_write).collect();
        if records.is_empty() {
            return Ok(());
        }
        let vote = records
            .iter()
            .rfind(|record| matches!(record, LogRecord::Vote { .. }));
        if let Some(vote) = vote {
            self.last_vote = vote.clone();
        }
        self.writer.append(&records)?;
        if self.writer.length >= self.segment_bytes {
            self.rotate()?;
        }
        Ok(())
    }

    /// Returns the folder that [`save_snapshot`] writes to.
    pub(super) fn snapshot_folder(&self) -> PathBuf {
        self.folder.snapshots_path()
    }

    /// Removes the segments whose entries a synced snapshot up to `index` includes.
    ///
    /// # Errors
    ///
    /// Fails when the disk does.
    pub fn remove_segments_through(&mut self, index: LogIndex) -> Result<(), StorageError> {
        if self.writer.segment.last_index > 0 {
            self.rotate()?;
        }
        let covered = self
            .closed_segments
            .iter()
            .take_while(|segment| segment.last_index <= index)
            .count();
        let log_folder = self.folder.log_path();
        for segment in self.closed_segments.drain(..covered) {
            segment.remove()?;
            // Without a sync, a loss of power may undo this removal and not the next one.
            files::sync_folder(&log_folder)?;
        }
        Ok(())
    }

    /// Replaces the folder's identity durably.
    ///
    /// # Errors
    ///
    /// Fails when the disk does.
    pub fn save_identity(&mut self, identity: FolderIdentity) -> Result<(), StorageError> {
        identity.save(&self.folder.root)?;
        self.folder.identity = identity;
        Ok(())
    }

    /// Marks the folder durably as refused by the group.
    ///
    /// # Errors
    ///
    /// Fails when the disk does.
    pub fn mark_refused(&mut self) -> Result<(), StorageError> {
        self.folder.mark_refused()?;
        self.folder.refused = true;
        Ok(())
    }

    /// Starts a new segment, which repeats the vote so that older ones may be removed.
    fn rotate(&mut self) -> Result<(), StorageError> {
        let number = self.writer.segment.number + 1;
        let records = [self.last_vote.clone()];
        let next = SegmentWriter::create(&self.folder.log_path(), number, &records)?;
        let full = std::mem::replace(&mut self.writer, next);
        self.closed_segments.push(full.segment);
        Ok(())
    }
}

/// Writes a snapshot of the instance's own state durably.
pub(super) fn save_snapshot(folder: &Path, own: &StateSnapshot) -> Result<(), StorageError> {
    snapshot::save(folder, own)
}

fn check_sequence(segments: &[SegmentFile], position: usize) -> Result<(), StorageError> {
    let Some(earlier) = position.checked_sub(1).map(|before| &segments[before]) else {
        return Ok(());
    };
    if earlier.number + 1 == segments[position].number {
        return Ok(());
    }
    Err(StorageError::Gap {
        path: segments[position].path.clone(),
        index: earlier.last_index + 1,
    })
}
