//! Runs the project's command-line tool.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use anyhow::Context;
use anyhow::bail;
use serde::Deserialize;

use crate::group::GroupFiles;
use crate::group::files::OPERATOR;
use crate::group::program_folder;

/// Name of the tool's program.
const TOOL: &str = "ragwortplank";
/// Exit status of a proposal that waits for the other owner's signature.
const PENDING_STATUS: i32 = 4;

/// Output and exit status of the tool.
#[derive(Clone, Debug)]
pub struct ToolOutput {
    /// Exit status.
    pub status: i32,
    /// Standard output.
    pub stdout: String,
    /// Standard error.
    pub stderr: String,
}

impl ToolOutput {
    /// Returns the standard output, if the run succeeded.
    ///
    /// # Errors
    ///
    /// Fails with the exit status and output when the run did not succeed.
    pub fn success(self) -> anyhow::Result<String> {
        if self.status == 0 {
            return Ok(self.stdout);
        }
        bail!(
            "the tool ended with {}: {}{}",
            self.status,
            self.stdout,
            self.stderr
        )
    }
}

/// The tool with an operator's certificate and the control instances' addresses.
#[derive(Clone, Debug)]
pub struct OperatorTool {
    tls: PathBuf,
    controls: Vec<SocketAddr>,
}

impl OperatorTool {
    /// Creates a tool that connects to these admin listeners.
    #[must_use]
    pub fn new(files: &GroupFiles, controls: Vec<SocketAddr>) -> Self {
        Self {
            tls: files.tls(),
            controls,
        }
    }

    /// Runs a command with the addresses of the control instances.
    ///
    /// # Errors
    ///
    /// Fails when the tool cannot be started.
    pub fn run_with_controls(&self, arguments: &[&str]) -> anyhow::Result<ToolOutput> {
        let mut all: Vec<String> = arguments.iter().map(|text| (*text).to_owned()).collect();
        for control in &self.controls {
            all.push("--control".to_owned());
            all.push(control.to_string());
        }
        self.run(&all)
    }

    /// Runs any command with the operator's certificate.
    ///
    /// # Errors
    ///
    /// Fails when the tool cannot be started.
    pub fn run(&self, arguments: &[String]) -> anyhow::Result<ToolOutput> {
        let mut command = tool()?;
        command.args(arguments);
        command.env("RAGWORTPLANK_TLS_AUTHORITY", self.tls.join("authority.pem"));
        let certificate = self.tls.join(format!("{OPERATOR}.pem"));
        command.env("RAGWORTPLANK_TLS_CERTIFICATE", certificate);
        command.env(
            "RAGWORTPLANK_TLS_KEY",
            self.tls.join(format!("{OPERATOR}.key")),
        );
        output(command)
    }
}

impl OperatorTool {
    /// Proposes a declaration as the first owner and signs it as the second.
    ///
    /// # Errors
    ///
    /// Fails when the change is not in force everywhere in time.
    pub fn apply(&self, file: &Path, keys: &[PathBuf; 2]) -> anyhow::Result<()> {
        let file = file.display().to_string();
        let [first, second] = keys.each_ref().map(|key| key.display().to_string());
        let pending = self.run_with_controls(&["propose", &file, "--key", &first])?;
        if pending.status != PENDING_STATUS {
            pending.success()?;
            bail!("one signature was enough");
        }
        self.run_with_controls(&["propose", &file, "--key", &second, "--wait", "20"])?
            .success()?;
        Ok(())
    }

    /// Returns the shell commands to run the tool with the same certificate.
    #[must_use]
    pub fn describe(&self) -> String {
        let controls: Vec<_> = self.controls.iter().map(ToString::to_string).collect();
        let file = |name: String| self.tls.join(name).display().to_string();
        format!(
            "export RAGWORTPLANK_TLS_AUTHORITY={}\nexport RAGWORTPLANK_TLS_CERTIFICATE={}\n\
             export RAGWORTPLANK_TLS_KEY={}\nragwortplank status {}",
            file("authority.pem".to_owned()),
            file(format!("{OPERATOR}.pem")),
            file(format!("{OPERATOR}.key")),
            controls.join(" ")
        )
    }
}

/// A team key with its digest.
#[derive(Clone, Debug)]
pub struct TeamKey {
    /// Key that a caller sends.
    pub key: String,
    /// Digest of the key in the declaration, in hexadecimal.
    pub digest: String,
}

/// JSON output of `keygen owner`.
#[derive(Deserialize)]
struct OwnerOutput {
    public: String,
}

/// JSON output of `keygen team-key`.
#[derive(Deserialize)]
struct TeamKeyOutput {
    key: String,
    digest: String,
}

/// Creates an owner's key file and returns the public key in hexadecimal.
pub(crate) fn create_owner_key(file: &Path) -> anyhow::Result<String> {
    let file = file.display().to_string();
    let text = run_offline(&["keygen", "owner", "--out", &file])?;
    let made: OwnerOutput = serde_json::from_str(&text).context("reading the tool's output")?;
    Ok(made.public)
}

/// Creates a key for a team.
///
/// # Errors
///
/// Fails when the tool fails.
pub fn create_team_key() -> anyhow::Result<TeamKey> {
    let text = run_offline(&["keygen", "team-key"])?;
    let made: TeamKeyOutput = serde_json::from_str(&text).context("reading the tool's output")?;
    Ok(TeamKey {
        key: made.key,
        digest: made.digest,
    })
}

/// Creates the certificate authority of a group.
pub(crate) fn create_authority(folder: &Path) -> anyhow::Result<()> {
    let folder = folder.display().to_string();
    run_offline(&["cert", "authority", "--out", &folder]).map(drop)
}

/// Issues the certificate of a process.
pub(crate) fn issue_certificate(
    folder: &Path,
    name: &str,
    role: &str,
    ip: IpAddr,
) -> anyhow::Result<()> {
    let folder = folder.display().to_string();
    let ip = ip.to_string();
    let arguments = [
        "cert",
        "issue",
        "--authority",
        &folder,
        "--out",
        &folder,
        "--name",
        name,
        "--role",
        role,
        "--ip",
        &ip,
    ];
    run_offline(&arguments).map(drop)
}

/// Runs a command that needs no connection.
fn run_offline(arguments: &[&str]) -> anyhow::Result<String> {
    let mut command = tool()?;
    command.args(["--output", "json"]);
    command.args(arguments);
    output(command)?.success()
}

fn tool() -> anyhow::Result<Command> {
    Ok(Command::new(program_folder()?.join(TOOL)))
}

fn output(mut command: Command) -> anyhow::Result<ToolOutput> {
    let output = command.output().context("starting the tool")?;
    Ok(ToolOutput {
        status: output.status.code().unwrap_or(-1),
        stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
        stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
    })
}
