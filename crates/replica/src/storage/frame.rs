//! File headers, and frames that protect stored data by a length and checksums.

use std::path::Path;

use crc32fast::Hasher;

use crate::storage::StorageError;

/// Length of a file's header in bytes.
pub(super) const HEADER_BYTES: usize = 16;

/// Length of a frame's own header in bytes: length, checksum of the payload, checksum of both.
const FRAME_HEADER_BYTES: usize = 12;

/// Format and version of a file.
#[derive(Clone, Copy, Debug)]
pub(super) struct FileFormat {
    pub(super) magic: [u8; 8],
    pub(super) version: u32,
}

impl FileFormat {
    pub(super) fn header(self) -> Vec<u8> {
        let mut header = Vec::with_capacity(HEADER_BYTES);
        header.extend_from_slice(&self.magic);
        header.extend_from_slice(&self.version.to_le_bytes());
        header.extend_from_slice(&checksum(&header).to_le_bytes());
        header
    }

    /// Checks the header of a file.
    pub(super) fn check(self, path: &Path, content: &[u8]) -> Result<(), StorageError> {
        let corrupt = || StorageError::Corrupt {
            path: path.to_owned(),
            offset: 0,
        };
        let header = content.get(..HEADER_BYTES).ok_or_else(corrupt)?;
        if read_u32(header, 12) != Some(checksum(&header[..12])) {
            return Err(corrupt());
        }
        if header[..8] != self.magic {
            return Err(StorageError::UnknownFormat {
                path: path.to_owned(),
            });
        }
        let found = read_u32(header, 8).unwrap_or_default();
        if found == self.version {
            Ok(())
        } else {
            Err(StorageError::UnsupportedVersion {
                path: path.to_owned(),
                found,
                supported: self.version,
            })
        }
    }
}

/// Appends a frame with `payload` to `out`.
pub(super) fn push_frame(out: &mut Vec<u8>, payload: &[u8]) {
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    let start = out.len();
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&checksum(payload).to_le_bytes());
    let header_checksum = checksum(&out[start..]);
    out.extend_from_slice(&header_checksum.to_le_bytes());
    out.extend_from_slice(payload);
}

/// Reads the frame at `offset`; returns its payload and the offset after it.
pub(super) fn read_frame(content: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let header = content.get(offset..offset.checked_add(FRAME_HEADER_BYTES)?)?;
    if read_u32(header, 8)? != checksum(&header[..8]) {
        return None;
    }
    let start = offset + FRAME_HEADER_BYTES;
    let end = start.checked_add(usize::try_from(read_u32(header, 0)?).ok()?)?;
    let payload = content.get(start..end)?;
    (read_u32(header, 4)? == checksum(payload)).then_some((payload, end))
}

/// Returns whether a whole frame starts anywhere after `offset`.
///
/// A frame is written only after the one before it was synced. An unreadable frame
/// that a whole one follows was therefore damaged; at the end it was torn by a crash.
pub(super) fn has_later_frame(content: &[u8], offset: usize) -> bool {
    (offset + 1..content.len()).any(|start| read_frame(content, start).is_some())
}

fn checksum(content: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(content);
    hasher.finalize()
}

fn read_u32(content: &[u8], offset: usize) -> Option<u32> {
    let bytes = content.get(offset..offset + 4)?;
    Some(u32::from_le_bytes(bytes.try_into().ok()?))
}
