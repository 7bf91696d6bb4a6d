//! Files that only their owner may access.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use anyhow::Context;

/// Permissions of secret files.
const SECRET_FILE_MODE: u32 = 0o600;

/// Creates a file that only its owner may read and write; an existing file is never
/// overwritten.
///
/// # Errors
///
/// Fails when the file exists or cannot be written.
pub fn create_secret_file(path: &Path, contents: &str) -> anyhow::Result<()> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true).mode(SECRET_FILE_MODE);
    let file = options.open(path);
    let mut file = file.with_context(|| format!("{} cannot be created", path.display()))?;
    file.write_all(contents.as_bytes())
        .and_then(|()| file.sync_all())
        .with_context(|| format!("{} cannot be written", path.display()))
}
