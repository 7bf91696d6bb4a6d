//! Atomic replacement of files, and durable changes of folders.

use std::fs;
use std::fs::File;
use std::io::ErrorKind;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::storage::StorageError;

/// Suffix of files that are being written.
const TEMPORARY_SUFFIX: &str = "tmp";

/// Syncs a folder, so that creations, renames and removals in it survive a crash.
pub(super) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    sync_path(folder)
}

/// Syncs what a process that was killed may have written to a file and not synced.
pub(super) fn sync_file(path: &Path) -> Result<(), StorageError> {
    sync_path(path)
}

/// Syncs the parent of a folder, so that the folder itself survives a crash.
pub(super) fn sync_parent(folder: &Path) -> Result<(), StorageError> {
    match folder.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => sync_folder(parent),
        _ => Ok(()),
    }
}

fn sync_path(path: &Path) -> Result<(), StorageError> {
    File::open(path)
        .and_then(|file| file.sync_all())
        .map_err(StorageError::io(path))?;
    tracing::trace!(event = "path-synced", path = %path.display());
    Ok(())
}

/// Creates a folder and syncs its parent.
pub(super) fn create_folder(folder: &Path) -> Result<(), StorageError> {
    if folder.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(folder).map_err(StorageError::io(folder))?;
    sync_parent(folder)
}

/// Replaces a file atomically: writes a temporary file, syncs it and renames it.
pub(super) fn replace_file(path: &Path, parts: &[Vec<u8>]) -> Result<(), StorageError> {
    let temporary = path.with_extension(TEMPORARY_SUFFIX);
    let mut file = File::create(&temporary).map_err(StorageError::io(&temporary))?;
    for part in parts {
        file.write_all(part).map_err(StorageError::io(&temporary))?;
    }
    file.sync_all().map_err(StorageError::io(&temporary))?;
    fs::rename(&temporary, path).map_err(StorageError::io(path))?;
    path.parent().map_or(Ok(()), sync_folder)
}

/// Removes the incomplete files that a crash left behind.
pub(super) fn remove_temporary_files(folder: &Path) -> Result<(), StorageError> {
    for path in list_files(folder)? {
        if path
            .extension()
            .is_some_and(|suffix| suffix == TEMPORARY_SUFFIX)
        {
            fs::remove_file(&path).map_err(StorageError::io(&path))?;
        }
    }
    Ok(())
}

/// Lists the files of a folder, sorted by name.
pub(super) fn list_files(folder: &Path) -> Result<Vec<PathBuf>, StorageError> {
    let mut paths = Vec::new();
    for entry in fs::read_dir(folder).map_err(StorageError::io(folder))? {
        let path = entry.map_err(StorageError::io(folder))?.path();
        match fs::metadata(&path) {
            Ok(metadata) if metadata.is_file() => paths.push(path),
            Ok(_) => {}
            // Another thread has removed or renamed it meanwhile.
            Err(_) if is_gone(&path) => {}
            Err(error) => return Err(StorageError::io(&path)(error)),
        }
    }
    paths.sort();
    Ok(paths)
}

/// Returns whether there is no such name.
fn is_gone(path: &Path) -> bool {
    let examined = fs::symlink_metadata(path);
    examined.is_err_and(|error| error.kind() == ErrorKind::NotFound)
}
