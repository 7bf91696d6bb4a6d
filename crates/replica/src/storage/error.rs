//! Why a data folder cannot be used.

use std::io;
use std::io::ErrorKind;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;

use crate::InstanceId;
use crate::LogIndex;

/// Why a data folder cannot be used; each names the file, corruption also the offset.
#[derive(Debug, Display, Error)]
pub enum StorageError {
    /// The operating system reported an error.
    #[display("{}: {source}", path.display())]
    Io {
        /// File or folder.
        path: PathBuf,
        /// The error.
        source: io::Error,
    },
    /// A record before the end of what was synced is damaged.
    #[display("{}: corrupt record at offset {offset}", path.display())]
    Corrupt {
        /// File.
        path: PathBuf,
        /// Offset of the record in bytes.
        offset: u64,
    },
    /// The file has another format or version than this software reads.
    #[display("{}: format version {found} is not supported, this software reads {supported}", path.display())]
    UnsupportedVersion {
        /// File.
        path: PathBuf,
        /// Version of the file.
        found: u32,
        /// Version that this software reads.
        supported: u32,
    },
    /// The file does not have the format that its name implies.
    #[display("{}: not a file of this software", path.display())]
    UnknownFormat {
        /// File.
        path: PathBuf,
    },
    /// A segment file or an entry in the middle of the log is missing.
    #[display("{}: the log has a gap before entry {index}", path.display())]
    Gap {
        /// First file after the gap.
        path: PathBuf,
        /// First entry after the gap.
        index: LogIndex,
    },
    /// The folder belongs to another instance.
    #[display("{}: the folder belongs to instance {found}, not {expected}", path.display())]
    OtherInstance {
        /// The identity file.
        path: PathBuf,
        /// Configured instance.
        expected: InstanceId,
        /// Instance that the folder belongs to.
        found: InstanceId,
    },
    /// The folder holds a log but no identity.
    #[display("{}: the folder holds a log but no identity", path.display())]
    MissingIdentity {
        /// Folder.
        path: PathBuf,
    },
    /// Another process uses the folder.
    #[display("{}: another process uses the folder", path.display())]
    Locked {
        /// Lock file.
        path: PathBuf,
    },
}

impl StorageError {
    /// Returns whether the disk had no room, so that the same write may succeed later.
    #[must_use]
    pub fn is_disk_full(&self) -> bool {
        let full = [
            ErrorKind::StorageFull,
            ErrorKind::QuotaExceeded,
            ErrorKind::FileTooLarge,
        ];
        matches!(self, Self::Io { source, .. } if full.contains(&source.kind()))
    }

    /// Adds the path to an error of the operating system.
    pub(crate) fn io(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        move |source| Self::Io { path, source }
    }
}
