//! Typed command-line arguments.

mod build;
mod read;
mod since;

use std::ffi::OsString;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap_complete::Shell;
use model::ids::ChangeHash;
use model::ids::ConfigVersion;
use model::ids::KeyDigest;
use settings::TlsFiles;
use wire::role::PeerRole;

use crate::arguments::build::CHECK_CONFIG;
use crate::exit::ExitKind;

pub use build::command;
pub use since::SinceTime;

/// Output format of results.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutputFormat {
    /// Aligned columns, for people.
    Table,
    /// JSON, for programs.
    Json,
}

/// The parsed command line.
#[derive(Clone, Debug)]
pub struct CliArguments {
    /// Output format of results.
    pub output: OutputFormat,
    /// Subcommand to run.
    pub command: CliCommand,
}

/// A subcommand with its arguments.
#[derive(Clone, Debug)]
pub enum CliCommand {
    /// Create an owner's key file.
    KeygenOwner {
        /// File to create.
        output_file: PathBuf,
    },
    /// Generate a key for a team and print it.
    KeygenTeamKey,
    /// Create the certificate authority of a deployment.
    CertAuthority(AuthorityArguments),
    /// Issue the TLS certificate of a process.
    CertIssue(IssueArguments),
    /// Validate declarations.
    Check {
        /// Declarations.
        files: Vec<PathBuf>,
    },
    /// Check a configuration of the `group` role.
    CheckConfig {
        /// The configuration.
        file: PathBuf,
        /// The configuration in force.
        in_force: Option<PathBuf>,
    },
    /// Show what a declaration would change.
    Plan {
        /// The declaration.
        file: PathBuf,
        /// Control instances to ask.
        control: ControlArguments,
    },
    /// Propose a declaration.
    Propose(ProposeArguments),
    /// Sign a change offline.
    Sign(SignArguments),
    /// Show the status of processes.
    Status {
        /// Admin listeners of the processes.
        addresses: Vec<SocketAddr>,
        /// The operator's TLS files.
        tls: TlsFiles,
    },
    /// Grant a key to a team.
    TeamKeyGrant {
        /// The team.
        team: String,
        /// Name of the key, by which it can be withdrawn.
        name: String,
        /// Digest of an existing key; `None` generates a new key.
        digest: Option<KeyDigest>,
        /// How the change is signed and submitted.
        edit: EditArguments,
    },
    /// Withdraw a key of a team.
    TeamKeyWithdraw {
        /// Name of the key.
        name: String,
        /// How the change is signed and submitted.
        edit: EditArguments,
    },
    /// Show the merged events of several processes.
    Timeline(TimelineArguments),
    /// Drain a node.
    Drain {
        /// The node's admin listener.
        address: SocketAddr,
        /// The operator's TLS files.
        tls: TlsFiles,
    },
    /// Print a shell completion script.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Control instances, and the TLS files to connect to them.
#[derive(Clone, Debug)]
pub struct ControlArguments {
    /// Admin listeners, tried in order.
    pub addresses: Vec<SocketAddr>,
    /// The operator's TLS files.
    pub tls: TlsFiles,
}

/// Arguments of `cert authority`.
#[derive(Clone, Debug)]
pub struct AuthorityArguments {
    /// Folder to create the files in.
    pub output_folder: PathBuf,
    /// Name of the deployment.
    pub name: String,
    /// Days until the authority expires.
    pub validity_days: u32,
}

/// Arguments of `cert issue`.
#[derive(Clone, Debug)]
pub struct IssueArguments {
    /// Folder with the files of the certificate authority.
    pub authority_folder: PathBuf,
    /// Folder to create the files in.
    pub output_folder: PathBuf,
    /// Name of the process, and base name of the files.
    pub name: String,
    /// Role of the process, which its peers check.
    pub role: PeerRole,
    /// IP addresses of the process.
    pub ip_addresses: Vec<IpAddr>,
    /// Additional DNS names of the process.
    pub dns_names: Vec<String>,
    /// Days until the certificate expires.
    pub validity_days: u32,
}

/// Arguments of `propose`.
#[derive(Clone, Debug)]
pub struct ProposeArguments {
    /// The declaration.
    pub file: PathBuf,
    /// Version that the declaration is based on; `None` means the version in force.
    pub base_version: Option<ConfigVersion>,
    /// The owner's key file.
    pub key_file: Option<PathBuf>,
    /// Signature files written by `sign`.
    pub signature_files: Vec<PathBuf>,
    /// How long to wait until the change is in force everywhere; `None` does not wait.
    pub wait_timeout: Option<Duration>,
    /// Control instances.
    pub control: ControlArguments,
}

/// What `sign` signs.
#[derive(Clone, Debug)]
pub enum SignSubject {
    /// A change, given by its hash.
    Hash(ChangeHash),
    /// A declaration together with its base version.
    File {
        /// The declaration.
        file: PathBuf,
        /// Version that the declaration is based on.
        base_version: Option<ConfigVersion>,
    },
}

/// Arguments of `sign`.
#[derive(Clone, Debug)]
pub struct SignArguments {
    /// What to sign.
    pub subject: SignSubject,
    /// The owner's key file.
    pub key_file: PathBuf,
}

/// Arguments of commands that edit the declaration in force.
#[derive(Clone, Debug)]
pub struct EditArguments {
    /// The owner's key file.
    pub key_file: PathBuf,
    /// File to write the edited declaration to, for version control.
    pub output_file: Option<PathBuf>,
    /// How long to wait until the change is in force everywhere; `None` does not wait.
    pub wait_timeout: Option<Duration>,
    /// Control instances.
    pub control: ControlArguments,
}

/// Arguments of `timeline`.
#[derive(Clone, Debug)]
pub struct TimelineArguments {
    /// Admin listeners of the processes.
    pub addresses: Vec<SocketAddr>,
    /// The operator's TLS files.
    pub tls: TlsFiles,
    /// Only events of this request, in hexadecimal.
    pub request: Option<String>,
    /// Only events of this change, in hexadecimal.
    pub change: Option<String>,
    /// Only events of this process.
    pub process: Option<String>,
    /// Only events since this time.
    pub since: Option<SinceTime>,
}

impl CliArguments {
    /// Parses the arguments of the process; on `--help` or a usage error it prints the
    /// text and exits.
    #[must_use]
    pub fn parse() -> Self {
        let args: Vec<OsString> = std::env::args_os().collect();
        match Self::parse_from(args.clone()) {
            Ok(arguments) => arguments,
            Err(error) if error.use_stderr() && names_check_config(&args) => {
                // If standard error is closed, the error cannot be reported anywhere else.
                let _ = error.print();
                std::process::exit(ExitKind::CheckUsage.code().into())
            }
            Err(error) => error.exit(),
        }
    }

    /// Parses the given arguments, of which the first is the program name.
    ///
    /// # Errors
    ///
    /// Returns the usage error, or the requested help text as an error.
    pub fn parse_from<I, W>(args: I) -> Result<Self, clap::Error>
    where
        I: IntoIterator<Item = W>,
        W: Into<OsString> + Clone,
    {
        let matches = command().try_get_matches_from(args)?;
        Ok(read::arguments(&matches))
    }
}

/// Returns whether the arguments, also if they are wrong, name the subcommand `check-config`.
fn names_check_config(args: &[OsString]) -> bool {
    let matches = command().ignore_errors(true).try_get_matches_from(args);
    matches.is_ok_and(|matches| matches.subcommand_name() == Some(CHECK_CONFIG))
}
