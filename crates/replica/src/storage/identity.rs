//! Identity of a data folder: its instance, and the registered folders of other members.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use quorum::FolderId;
use quorum::Membership;
use serde::Deserialize;
use serde::Serialize;

use crate::InstanceId;
use crate::storage::StorageError;
use crate::storage::files;
use crate::storage::frame;
use crate::storage::frame::FileFormat;

/// Name of the identity file.
const IDENTITY_FILE: &str = "identity";

/// Format of the identity file.
const IDENTITY_FORMAT: FileFormat = FileFormat {
    magic: *b"RWPIDENT",
    version: 1,
};

/// Registered folder of another instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct KnownFolder {
    /// The instance.
    pub instance: InstanceId,
    /// Its folder.
    pub folder: FolderId,
}

/// Identity of a data folder.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FolderIdentity {
    /// Instance that the folder belongs to.
    pub instance: InstanceId,
    /// Random ID of the folder, drawn when it was created.
    pub folder: FolderId,
    /// Membership that the group first started with; empty when the instance joined later.
    pub initial_membership: Membership,
    /// Whether enough members registered the folder; the instance must not vote before.
    pub registered: bool,
    /// Registered folders of the other initial members.
    pub known_folders: Vec<KnownFolder>,
}

impl FolderIdentity {
    /// Returns the folder ID that the membership in the log holds for this instance.
    #[must_use]
    pub fn member_folder(&self) -> FolderId {
        if self.joined() {
            self.folder
        } else {
            quorum::INITIAL_FOLDER
        }
    }

    /// Returns whether the instance joined an existing group.
    #[must_use]
    pub fn joined(&self) -> bool {
        self.initial_membership.members().is_empty()
    }

    /// Registers the folder of another instance; returns false if a different one is known.
    pub fn register_folder(&mut self, instance: InstanceId, folder: FolderId) -> bool {
        let known = self
            .known_folders
            .iter()
            .find(|known| known.instance == instance);
        if let Some(known) = known {
            return known.folder == folder;
        }
        self.known_folders.push(KnownFolder { instance, folder });
        true
    }

    pub(super) fn path(folder: &Path) -> PathBuf {
        folder.join(IDENTITY_FILE)
    }

    /// Reads the identity of a folder; `None` when it has none.
    pub(super) fn load(folder: &Path) -> Result<Option<Self>, StorageError> {
        let path = Self::path(folder);
        if !path.try_exists().map_err(StorageError::io(&path))? {
            return Ok(None);
        }
        let content = fs::read(&path).map_err(StorageError::io(&path))?;
        IDENTITY_FORMAT.check(&path, &content)?;
        frame::read_frame(&content, frame::HEADER_BYTES)
            .and_then(|(payload, _)| postcard::from_bytes(payload).ok())
            .map(Some)
            .ok_or(StorageError::Corrupt {
                path,
                offset: frame::HEADER_BYTES as u64,
            })
    }

    /// Writes the identity durably.
    pub(super) fn save(&self, folder: &Path) -> Result<(), StorageError> {
        let mut content = IDENTITY_FORMAT.header();
        let payload = postcard::to_stdvec(self).unwrap_or_default();
        frame::push_frame(&mut content, &payload);
        files::replace_file(&Self::path(folder), &[content])
    }
}
