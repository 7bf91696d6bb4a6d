//! Snapshot files.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;
use quorum::LogPosition;
use quorum::Membership;
use quorum::StateSnapshot;
use serde::Deserialize;
use serde::Serialize;

use crate::storage::StorageError;
use crate::storage::files;
use crate::storage::frame;
use crate::storage::frame::FileFormat;

/// Suffix of snapshot files.
const SNAPSHOT_SUFFIX: &str = "snap";

/// Longest part of the state in one frame, in bytes.
const CHUNK_BYTES: usize = 1024 * 1024;

/// Format of snapshot files.
const SNAPSHOT_FORMAT: FileFormat = FileFormat {
    magic: *b"RWPSNAP\0",
    version: 1,
};

/// First frame of a snapshot file.
#[derive(Debug, Serialize, Deserialize)]
struct SnapshotHeader {
    last_included: LogPosition,
    membership: Membership,
    length: u64,
}

/// Writes a snapshot durably and removes the older ones.
pub(super) fn save(folder: &Path, snapshot: &StateSnapshot) -> Result<(), StorageError> {
    let header = SnapshotHeader {
        last_included: snapshot.last_included,
        membership: snapshot.membership.clone(),
        length: snapshot.state.len() as u64,
    };
    let mut parts = vec![SNAPSHOT_FORMAT.header()];
    parts.push(encode_frame(
        &postcard::to_stdvec(&header).unwrap_or_default(),
    ));
    parts.extend(snapshot.state.chunks(CHUNK_BYTES).map(encode_frame));
    let path = folder.join(format!(
        "{:016x}.{SNAPSHOT_SUFFIX}",
        snapshot.last_included.index
    ));
    files::replace_file(&path, &parts)?;
    remove_older(folder, &path)
}

/// Reads the latest snapshot of a folder; `None` when there is none.
pub(super) fn load(folder: &Path) -> Result<Option<StateSnapshot>, StorageError> {
    let Some(path) = files::list_files(folder)?.pop() else {
        return Ok(None);
    };
    let content = fs::read(&path).map_err(StorageError::io(&path))?;
    SNAPSHOT_FORMAT.check(&path, &content)?;
    let mut reader = FrameReader {
        path: &path,
        content: &content,
        offset: frame::HEADER_BYTES,
    };
    let header_offset = reader.offset;
    let header: SnapshotHeader =
        postcard::from_bytes(reader.next()?).map_err(|_| reader.corrupt(header_offset))?;
    let length = usize::try_from(header.length).unwrap_or(usize::MAX);
    let mut state = Vec::new();
    while state.len() < length {
        state.extend_from_slice(reader.next()?);
    }
    if state.len() != length || reader.offset != content.len() {
        return Err(reader.corrupt(reader.offset));
    }
    Ok(Some(StateSnapshot {
        last_included: header.last_included,
        membership: header.membership,
        state: Bytes::from(state),
    }))
}

fn encode_frame(payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(payload.len() + frame::HEADER_BYTES);
    frame::push_frame(&mut frame, payload);
    frame
}

fn remove_older(folder: &Path, newest: &Path) -> Result<(), StorageError> {
    for path in files::list_files(folder)? {
        let is_snapshot = path
            .extension()
            .is_some_and(|suffix| suffix == SNAPSHOT_SUFFIX);
        if is_snapshot && path.as_path() < newest {
            fs::remove_file(&path).map_err(StorageError::io(&path))?;
        }
    }
    Ok(())
}

/// Reads the frames of a file in order.
struct FrameReader<'a> {
    path: &'a PathBuf,
    content: &'a [u8],
    offset: usize,
}

impl<'a> FrameReader<'a> {
    fn next(&mut self) -> Result<&'a [u8], StorageError> {
        let (payload, next) = frame::read_frame(self.content, self.offset)
            .ok_or_else(|| self.corrupt(self.offset))?;
        self.offset = next;
        Ok(payload)
    }

    fn corrupt(&self, offset: usize) -> StorageError {
        StorageError::Corrupt {
            path: self.path.clone(),
            offset: offset as u64,
        }
    }
}
