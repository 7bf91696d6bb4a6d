//! Journal of the requests that a stub backend server ran, against which the verdicts in
//! responses are checked.

use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Appends one line per execution; the file remains when the stub backend server is killed.
#[derive(Debug)]
pub struct RunJournal {
    file: Mutex<File>,
}

impl RunJournal {
    /// Opens a journal for appending.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be opened.
    pub fn open(path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            file: Mutex::new(file),
        })
    }

    /// Records that the execution described by `marker` starts.
    ///
    /// # Errors
    ///
    /// Fails when the line cannot be written.
    pub fn record(&self, marker: &str) -> io::Result<()> {
        let line = format!("{marker}\n");
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(line.as_bytes())
    }
}

/// Reads the lines of all journals in `folder`, in no particular order.
///
/// # Errors
///
/// Fails when a journal cannot be read.
pub fn read_runs(folder: &Path) -> io::Result<Vec<String>> {
    let mut runs = Vec::new();
    for path in journals(folder)? {
        let text = std::fs::read_to_string(path)?;
        runs.extend(text.lines().map(str::to_owned));
    }
    Ok(runs)
}

fn journals(folder: &Path) -> io::Result<Vec<PathBuf>> {
    let mut paths = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path
            .extension()
            .is_some_and(|extension| extension == "journal")
        {
            paths.push(path);
        }
    }
    Ok(paths)
}
