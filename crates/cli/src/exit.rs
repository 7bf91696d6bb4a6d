//! Exit codes and errors of commands.

use std::process::ExitCode;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

/// Description of the exit codes in `--help`.
pub const EXIT_STATUS_HELP: &str = "\
Exit status: 0 done, 1 failed, 2 the command line or a file cannot be used, \
3 another change was accepted first, 4 the other owner's signature is missing, \
5 no address could be reached or no quorum answered, 6 accepted but not yet in force.";

/// Description of the exit codes in `check-config --help`.
pub const CHECK_EXIT_STATUS_HELP: &str = "\
Exit status: 0 no findings, 1 errors, 2 warnings only, 64 the command line cannot be used, \
66 a file cannot be read.";

/// Outcome of a command, reported as its exit code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitKind {
    /// The command succeeded.
    Done,
    /// The command failed for a reason not listed below.
    Failed,
    /// The command line or a file cannot be used.
    Usage,
    /// Another change on the same base was accepted first.
    Conflict,
    /// The other owner's signature is missing.
    Pending,
    /// No address could be reached, or no quorum answered.
    Unreachable,
    /// The change was accepted, but not in force everywhere within the given time.
    NotInForce,
    /// `check-config` found errors.
    CheckErrors,
    /// `check-config` found warnings only.
    CheckWarnings,
    /// The command line of `check-config` cannot be used.
    CheckUsage,
    /// `check-config` cannot read a file.
    CheckInput,
}

impl ExitKind {
    /// Returns the exit code; those of `check-config` are its own.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed | Self::CheckErrors => 1,
            Self::Usage | Self::CheckWarnings => 2,
            Self::Conflict => 3,
            Self::Pending => 4,
            Self::Unreachable => 5,
            Self::NotInForce => 6,
            Self::CheckUsage => 64,
            Self::CheckInput => 66,
        }
    }
}

impl From<ExitKind> for ExitCode {
    fn from(exit: ExitKind) -> Self {
        Self::from(exit.code())
    }
}

/// Why a command failed without a report.
#[derive(Debug, Display, Error, From)]
pub enum CliError {
    /// The command line or a file cannot be used.
    #[display("{_0:#}")]
    #[from(ignore)]
    Usage(#[error(not(source))] anyhow::Error),
    /// No address could be reached, or no quorum answered.
    #[display("{_0:#}")]
    #[from(ignore)]
    Unreachable(#[error(not(source))] anyhow::Error),
    /// `check-config` cannot read a file.
    #[display("{_0:#}")]
    #[from(ignore)]
    CheckInput(#[error(not(source))] anyhow::Error),
    /// Any other failure.
    #[display("{_0:#}")]
    Failed(#[error(not(source))] anyhow::Error),
}

impl CliError {
    /// Returns the exit kind of the failed command.
    #[must_use]
    pub const fn exit_kind(&self) -> ExitKind {
        match self {
            Self::Usage(_) => ExitKind::Usage,
            Self::Unreachable(_) => ExitKind::Unreachable,
            Self::CheckInput(_) => ExitKind::CheckInput,
            Self::Failed(_) => ExitKind::Failed,
        }
    }
}
