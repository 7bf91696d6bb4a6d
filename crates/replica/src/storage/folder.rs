//! Opens and locks a data folder.

use std::fs::File;
use std::fs::TryLockError;
use std::path::Path;
use std::path::PathBuf;

use quorum::Membership;

use crate::storage::FolderIdentity;
use crate::storage::StorageError;
use crate::storage::files;
use crate::storage::store::StoreConfig;

/// Name of the lock file.
const LOCK_FILE: &str = "lock";

/// Name of the folder of log segments.
const LOG_FOLDER: &str = "log";

/// Name of the file that marks a folder as refused by the group.
const REFUSED_FILE: &str = "refused";

/// Name of the folder of snapshots.
const SNAPSHOT_FOLDER: &str = "snapshot";

/// A data folder, locked by this process.
#[derive(Debug)]
pub(super) struct DataFolder {
    pub(super) root: PathBuf,
    pub(super) identity: FolderIdentity,
    /// Whether a member has refused the folder; no instance may start with it again.
    pub(super) refused: bool,
    _lock: File,
}

impl DataFolder {
    /// Opens or creates the folder, and checks that it belongs to the instance.
    pub(super) fn open(config: &StoreConfig) -> Result<Self, StorageError> {
        let root = config.data_dir.clone();
        files::create_folder(&root)?;
        // A process that was killed may have created or renamed without syncing what holds the name.
        files::sync_parent(&root)?;
        let lock = lock(&root)?;
        files::remove_temporary_files(&root)?;
        files::create_folder(&log_folder(&root))?;
        files::create_folder(&snapshot_folder(&root))?;
        files::remove_temporary_files(&snapshot_folder(&root))?;
        files::sync_folder(&snapshot_folder(&root))?;
        files::sync_folder(&root)?;
        let identity = match FolderIdentity::load(&root)? {
            Some(identity) => check_instance(&root, identity, config)?,
            None => create_identity(&root, config)?,
        };
        let refused_path = refused_file(&root);
        let refused = refused_path.try_exists();
        Ok(Self {
            refused: refused.map_err(StorageError::io(&refused_path))?,
            root,
            identity,
            _lock: lock,
        })
    }

    /// Marks the folder durably as refused.
    pub(super) fn mark_refused(&self) -> Result<(), StorageError> {
        files::replace_file(&refused_file(&self.root), &[])
    }

    pub(super) fn log_path(&self) -> PathBuf {
        log_folder(&self.root)
    }

    pub(super) fn snapshots_path(&self) -> PathBuf {
        snapshot_folder(&self.root)
    }
}

fn log_folder(root: &Path) -> PathBuf {
    root.join(LOG_FOLDER)
}

fn snapshot_folder(root: &Path) -> PathBuf {
    root.join(SNAPSHOT_FOLDER)
}

fn refused_file(root: &Path) -> PathBuf {
    root.join(REFUSED_FILE)
}

fn lock(root: &Path) -> Result<File, StorageError> {
    let path = root.join(LOCK_FILE);
    let file = File::create(&path).map_err(StorageError::io(&path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StorageError::Locked { path }),
        Err(TryLockError::Error(source)) => Err(StorageError::Io { path, source }),
    }
}

fn check_instance(
    root: &Path,
    identity: FolderIdentity,
    config: &StoreConfig,
) -> Result<FolderIdentity, StorageError> {
    if identity.instance == config.instance {
        return Ok(identity);
    }
    Err(StorageError::OtherInstance {
        path: FolderIdentity::path(root),
        expected: config.instance,
        found: identity.instance,
    })
}

/// Creates the identity of an empty folder, not yet registered by the other initial members.
fn create_identity(root: &Path, config: &StoreConfig) -> Result<FolderIdentity, StorageError> {
    let has_data = !files::list_files(&log_folder(root))?.is_empty()
        || !files::list_files(&snapshot_folder(root))?.is_empty();
    if has_data {
        return Err(StorageError::MissingIdentity {
            path: root.to_owned(),
        });
    }
    let initial_membership = if config.join {
        Membership::default()
    } else {
        Membership::initial(&config.initial_members)
    };
    let identity = FolderIdentity {
        instance: config.instance,
        folder: rand::random_range(1..u64::MAX),
        registered: config.join || initial_membership.members().len() == 1,
        initial_membership,
        known_folders: Vec::new(),
    };
    identity.save(root)?;
    Ok(identity)
}
