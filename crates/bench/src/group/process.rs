//! One process of a group.

use std::fs::OpenOptions;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::bail;
use rustix::process::Pid;
use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::Signal;
use rustix::process::kill_process;
use rustix::process::prlimit;

use crate::group::program_folder;

/// Interval at which an ending process is polled, in milliseconds.
const POLL_INTERVAL_MS: u64 = 10;

/// A child process; dropping it kills it.
#[derive(Debug)]
pub struct ManagedProcess {
    name: String,
    child: Child,
    log: PathBuf,
}

impl ManagedProcess {
    /// Starts a program of this workspace; its standard output and error go to `log`.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start(
        program: &str,
        name: &str,
        arguments: &[String],
        log: &Path,
    ) -> anyhow::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(log)?;
        let path = program_folder()?.join(program);
        // The shell becomes the process, which then gets an error for a write beyond the limit of
        // `limit_files`, and no signal.
        let child = Command::new("sh")
            .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
            .arg(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()
            .with_context(|| format!("starting {} as {name}", path.display()))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            log: log.to_owned(),
        })
    }

    /// Returns the name that it was started with.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns its process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Requests a graceful stop with SIGTERM.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Pauses it with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn pause(&self) -> anyhow::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Resumes it with SIGCONT.
    ///
    /// # Errors
    ///
    /// Fails when the signal cannot be sent.
    pub fn resume(&self) -> anyhow::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Lets no file of it grow beyond `length` bytes, its log included, as on a full disk; `None`
    /// ends this.
    ///
    /// # Errors
    ///
    /// Fails when it has ended.
    pub fn limit_files(&self, length: Option<u64>) -> anyhow::Result<()> {
        let limit = Rlimit {
            current: length,
            maximum: None,
        };
        let pid = Pid::from_child(&self.child);
        prlimit(Some(pid), Resource::Fsize, limit)?;
        Ok(())
    }

    /// Kills it and waits for its exit; does nothing if it has ended.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be killed.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        if self.child.try_wait()?.is_none() {
            self.child.kill()?;
            self.child.wait()?;
        }
        Ok(())
    }

    /// Returns its exit status, if it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the system does not report its state.
    pub fn exit_status(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Waits until it exits by itself.
    ///
    /// # Errors
    ///
    /// Fails when it does not end in time, or not with success.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> anyhow::Result<()> {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            match self.child.try_wait()? {
                Some(status) if status.success() => return Ok(()),
                Some(status) => {
                    bail!(
                        "{} ended with {status}, see {}",
                        self.name,
                        self.log.display()
                    )
                }
                None => std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS)),
            }
        }
        bail!(
            "{} did not end in time, see {}",
            self.name,
            self.log.display()
        )
    }

    fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let id = i32::try_from(self.child.id())?;
        let id = Pid::from_raw(id).context("the process id is 0")?;
        kill_process(id, signal).with_context(|| format!("signalling {}", self.name))
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        // A destructor cannot return the error.
        let _ = self.kill();
    }
}
