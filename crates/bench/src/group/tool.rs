//! Runs the project's own command-line tool.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;

use anyhow::Context;
use anyhow::bail;

use crate::group::GroupFiles;
use crate::group::files::OPERATOR;
use crate::group::program_folder;

/// Name of the tool's program.
const TOOL: &str = "ragwortplank";

/// What the tool printed, and how it ended.
#[derive(Clone, Debug)]
pub struct ToolOutput {
    /// Exit status.
    pub status: i32,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub errors: String,
}

impl ToolOutput {
    /// Returns the output of a run that succeeded.
    ///
    /// # Errors
    ///
    /// Fails with what the tool said when it did not succeed.
    pub fn success(self) -> anyhow::Result<String> {
        if self.status == 0 {
            return Ok(self.output);
        }
        bail!("the tool ended with {}: {}{}", self.status, self.output, self.errors)
    }
}

/// The tool with an operator's certificate and the control instances' addresses.
#[derive(Clone, Debug)]
pub struct OperatorTool {
    tls: PathBuf,
    controls: Vec<SocketAddr>,
}

impl OperatorTool {
    /// Creates a tool that speaks to these admin listeners.
    #[must_use]
    pub fn new(files: &GroupFiles, controls: Vec<SocketAddr>) -> Self {
        Self {
            tls: files.tls(),
            controls,
        }
    }

    /// Runs a command that speaks to the control instances.
    ///
    /// # Errors
    ///
    /// Fails when the tool cannot be started.
    pub fn control(&self, arguments: &[&str]) -> anyhow::Result<ToolOutput> {
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
        command.env("RAGWORTPLANK_TLS_KEY", self.tls.join(format!("{OPERATOR}.key")));
        output(command)
    }
}
