//! Segment files of the log.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::LogIndex;
use crate::storage::StorageError;
use crate::storage::files;
use crate::storage::frame;
use crate::storage::frame::FileFormat;
use crate::storage::record::LogRecord;

/// Suffix of segment files.
const SEGMENT_SUFFIX: &str = "log";

/// Format of segment files.
const SEGMENT_FORMAT: FileFormat = FileFormat {
    magic: *b"RWPLOG\0\0",
    version: 1,
};

/// Number of a segment file; segments are read in ascending order.
pub(super) type SegmentNumber = u64;

/// A segment file.
#[derive(Clone, Debug)]
pub(super) struct SegmentFile {
    pub(super) number: SegmentNumber,
    pub(super) path: PathBuf,
    /// Highest index of any entry in the file.
    pub(super) last_index: LogIndex,
}

/// The segment file that records are appended to.
#[derive(Debug)]
pub(super) struct SegmentWriter {
    pub(super) segment: SegmentFile,
    pub(super) length: u64,
    file: File,
}

impl SegmentFile {
    /// Lists the segments of a folder in order.
    pub(super) fn list(folder: &Path) -> Result<Vec<Self>, StorageError> {
        let mut segments = Vec::new();
        for path in files::list_files(folder)? {
            let number = path
                .file_stem()
                .and_then(|stem| stem.to_str())
                .and_then(|stem| SegmentNumber::from_str_radix(stem, 16).ok());
            let has_suffix = path
                .extension()
                .is_some_and(|suffix| suffix == SEGMENT_SUFFIX);
            let Some(number) = number.filter(|_| has_suffix) else {
                return Err(StorageError::UnknownFormat { path });
            };
            segments.push(Self {
                number,
                path,
                last_index: 0,
            });
        }
        Ok(segments)
    }

    /// Reads all records; truncates a torn frame, which only the last segment may end in.
    ///
    /// Removes the last segment and returns `None` when a crash interrupted its creation.
    pub(super) fn read(&mut self, is_last: bool) -> Result<Option<Vec<LogRecord>>, StorageError> {
        let content = fs::read(&self.path).map_err(StorageError::io(&self.path))?;
        match SEGMENT_FORMAT.check(&self.path, &content) {
            Err(StorageError::Corrupt { .. }) if is_last && was_being_created(&content) => {
                tracing::warn!(event = "segment-not-created", file = %self.path.display());
                self.remove()?;
                return Ok(None);
            }
            checked => checked?,
        }
        let mut records = Vec::new();
        let mut offset = frame::HEADER_BYTES;
        while offset < content.len() {
            let Some((payload, next)) = frame::read_frame(&content, offset) else {
                if !is_last || frame::has_later_frame(&content, offset) {
                    return Err(self.corrupt(offset));
                }
                self.truncate(offset)?;
                break;
            };
            let batch: Vec<LogRecord> =
                postcard::from_bytes(payload).map_err(|_| self.corrupt(offset))?;
            records.extend(batch);
            offset = next;
        }
        self.update_last_index(&records);
        Ok(Some(records))
    }

    /// Removes the file; the caller syncs the folder.
    pub(super) fn remove(&self) -> Result<(), StorageError> {
        fs::remove_file(&self.path).map_err(StorageError::io(&self.path))
    }

    fn update_last_index(&mut self, records: &[LogRecord]) {
        for record in records {
            if let LogRecord::Append(entries) = record
                && let Some(last) = entries.last()
            {
                self.last_index = self.last_index.max(last.position.index);
            }
        }
    }

    fn corrupt(&self, offset: usize) -> StorageError {
        StorageError::Corrupt {
            path: self.path.clone(),
            offset: offset as u64,
        }
    }

    fn truncate(&self, length: usize) -> Result<(), StorageError> {
        tracing::warn!(
            event = "torn-tail-cut",
            file = %self.path.display(),
            offset = length
        );
        OpenOptions::new()
            .write(true)
            .open(&self.path)
            .and_then(|file| {
                file.set_len(length as u64)?;
                file.sync_all()
            })
            .map_err(StorageError::io(&self.path))
    }
}

impl SegmentWriter {
    /// Creates a segment that starts with `records`.
    pub(super) fn create(
        folder: &Path,
        number: SegmentNumber,
        records: &[LogRecord],
    ) -> Result<Self, StorageError> {
        let path = folder.join(format!("{number:016x}.{SEGMENT_SUFFIX}"));
        let file = File::create(&path).map_err(StorageError::io(&path))?;
        let mut writer = Self {
            segment: SegmentFile {
                number,
                path,
                last_index: 0,
            },
            length: 0,
            file,
        };
        writer.write(&SEGMENT_FORMAT.header())?;
        writer.append(records)?;
        files::sync_folder(folder)?;
        Ok(writer)
    }

    /// Writes records as one frame and syncs them.
    pub(super) fn append(&mut self, records: &[LogRecord]) -> Result<(), StorageError> {
        let payload = postcard::to_stdvec(records).unwrap_or_default();
        let mut content = Vec::with_capacity(payload.len() + frame::HEADER_BYTES);
        frame::push_frame(&mut content, &payload);
        self.write(&content)?;
        self.segment.update_last_index(records);
        self.file
            .sync_data()
            .map_err(StorageError::io(&self.segment.path))
    }

    fn write(&mut self, content: &[u8]) -> Result<(), StorageError> {
        self.length += content.len() as u64;
        self.file
            .write_all(content)
            .map_err(StorageError::io(&self.segment.path))
    }
}

/// Returns whether a segment without a readable header may be one whose creation was interrupted.
///
/// Header and first frame are synced together, so a loss of power may keep either. The first
/// frame only repeats what earlier files hold; a second one means that the header was synced.
fn was_being_created(content: &[u8]) -> bool {
    let first = frame::read_frame(content, frame::HEADER_BYTES);
    let first_end = first.map_or(0, |(_, next)| next - 1);
    !frame::has_later_frame(content, first_end)
}
