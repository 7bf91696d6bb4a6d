//! What the command line says.

mod build;
mod read;
mod since;

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

pub use build::command;
pub use since::SinceTime;

/// How results are shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutputFormat {
    /// Aligned columns for people.
    Table,
    /// JSON for programs.
    Json,
}

/// The whole command line.
#[derive(Clone, Debug)]
pub struct CliArguments {
    /// How results are shown.
    pub output: OutputFormat,
    /// What to do.
    pub command: CliCommand,
}

/// What to do.
#[derive(Clone, Debug)]
pub enum CliCommand {
    /// Create an owner's key file.
    KeygenOwner {
        /// File to create.
        output_file: PathBuf,
    },
    /// Print a new key for a team.
    KeygenTeamKey,
    /// Create the authority of a deployment.
    CertAuthority(AuthorityArguments),
    /// Issue a process's certificate.
    CertIssue(IssueArguments),
    /// Check declarations.
    Check {
        /// The files.
        files: Vec<PathBuf>,
    },
    /// Show what a declaration would change.
    Plan {
        /// The declaration.
        file: PathBuf,
        /// Control instances.
        control: ControlArguments,
    },
    /// Propose a declaration.
    Propose(ProposeArguments),
    /// Sign a change without a connection.
    Sign(SignArguments),
    /// Show the state of processes.
    Status {
        /// Admin listeners.
        addresses: Vec<SocketAddr>,
        /// The operator's TLS files.
        tls: TlsFiles,
    },
    /// Grant a key to a team.
    TeamKeyGrant {
        /// The team.
        team: String,
        /// Name under which the key is withdrawn.
        name: String,
        /// Digest of the key; without it a key is made.
        digest: Option<KeyDigest>,
        /// How the change is signed and sent.
        edit: EditArguments,
    },
    /// Withdraw a key.
    TeamKeyWithdraw {
        /// Name of the key.
        name: String,
        /// How the change is signed and sent.
        edit: EditArguments,
    },
    /// Show events of processes, merged.
    Timeline(TimelineArguments),
    /// Drain a node.
    Drain {
        /// The node's admin listener.
        address: SocketAddr,
        /// The operator's TLS files.
        tls: TlsFiles,
    },
    /// Print a completion script.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Control instances with the TLS files to reach them.
#[derive(Clone, Debug)]
pub struct ControlArguments {
    /// Admin listeners, tried in turn.
    pub addresses: Vec<SocketAddr>,
    /// The operator's TLS files.
    pub tls: TlsFiles,
}

/// Arguments of `cert authority`.
#[derive(Clone, Debug)]
pub struct AuthorityArguments {
    /// Folder for the files.
    pub output_folder: PathBuf,
    /// Name of the deployment.
    pub name: String,
    /// Days until the authority ends.
    pub validity_days: u32,
}

/// Arguments of `cert issue`.
#[derive(Clone, Debug)]
pub struct IssueArguments {
    /// Folder with the authority's files.
    pub authority_folder: PathBuf,
    /// Folder for the files.
    pub output_folder: PathBuf,
    /// Name of the process, and of the files.
    pub name: String,
    /// Role of the process.
    pub role: PeerRole,
    /// Addresses that callers reach the process by.
    pub ip_addresses: Vec<IpAddr>,
    /// Further DNS names.
    pub dns_names: Vec<String>,
    /// Days until the certificate ends.
    pub validity_days: u32,
}

/// Arguments of `propose`.
#[derive(Clone, Debug)]
pub struct ProposeArguments {
    /// The declaration.
    pub file: PathBuf,
    /// Version that it is based on; that in force when none is given.
    pub base_version: Option<ConfigVersion>,
    /// The owner's key file.
    pub key_file: Option<PathBuf>,
    /// Files with signatures made by `sign`.
    pub signature_files: Vec<PathBuf>,
    /// Time to wait until the change is in force everywhere.
    pub wait_timeout: Option<Duration>,
    /// Control instances.
    pub control: ControlArguments,
}

/// What `sign` signs.
#[derive(Clone, Debug)]
pub enum SignSubject {
    /// A change known by its hash alone.
    Hash(ChangeHash),
    /// A declaration on a base.
    File {
        /// The declaration.
        file: PathBuf,
        /// Version that it is based on.
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

/// How an edit of the declaration in force is signed and sent.
#[derive(Clone, Debug)]
pub struct EditArguments {
    /// The owner's key file.
    pub key_file: PathBuf,
    /// File to write the edited declaration to, for version control.
    pub output_file: Option<PathBuf>,
    /// Time to wait until the change is in force everywhere.
    pub wait_timeout: Option<Duration>,
    /// Control instances.
    pub control: ControlArguments,
}

/// Arguments of `timeline`.
#[derive(Clone, Debug)]
pub struct TimelineArguments {
    /// Admin listeners.
    pub addresses: Vec<SocketAddr>,
    /// The operator's TLS files.
    pub tls: TlsFiles,
    /// Only events of this request, in hexadecimal.
    pub request: Option<String>,
    /// Only events of this change, in hexadecimal.
    pub change: Option<String>,
    /// Only events of this process.
    pub process: Option<String>,
    /// Only later events.
    pub since: Option<SinceTime>,
}

impl CliArguments {
    /// Reads the command line; prints help or a usage error and ends when it must.
    #[must_use]
    pub fn parse() -> Self {
        read::arguments(&command().get_matches())
    }

    /// Reads a command line given as words, the program's name first.
    ///
    /// # Errors
    ///
    /// Fails with the usage error, or with the help that was asked for.
    pub fn parse_from<I, W>(words: I) -> Result<Self, clap::Error>
    where
        I: IntoIterator<Item = W>,
        W: Into<std::ffi::OsString> + Clone,
    {
        let matches = command().try_get_matches_from(words)?;
        Ok(read::arguments(&matches))
    }
}
