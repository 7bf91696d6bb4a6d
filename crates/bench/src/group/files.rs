//! Keys, certificates and settings files of a group.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use anyhow::Context;
use settings::TlsFiles;

use crate::group::ControlPlan;
use crate::group::GroupPlan;
use crate::group::NodePlan;
use crate::group::tool;

/// Names of the two owners, who sign changes of the declaration.
pub(crate) const OWNERS: [&str; 2] = ["owner-a", "owner-b"];
/// File name of the operator's certificate and key, without extension.
pub(crate) const OPERATOR: &str = "operator";

/// Paths of the files of a group.
#[derive(Clone, Debug)]
pub struct GroupFiles {
    folder: PathBuf,
    /// Folder of the execution journals of the stub backend servers.
    pub journals: PathBuf,
    /// Public keys of the owners, in hexadecimal.
    pub owners: Vec<String>,
}

impl GroupFiles {
    /// Creates keys and certificates with the project's command-line tool and writes all settings.
    ///
    /// # Errors
    ///
    /// Fails when the tool fails or a file cannot be written.
    pub fn write(folder: &Path, plan: &GroupPlan) -> anyhow::Result<Self> {
        let journals = folder.join("journals");
        for path in [&journals, &folder.join("tls"), &folder.join("logs")] {
            fs::create_dir_all(path).with_context(|| path.display().to_string())?;
        }
        let mut files = Self {
            folder: folder.to_owned(),
            journals,
            owners: Vec::new(),
        };
        for owner in OWNERS {
            files
                .owners
                .push(tool::create_owner_key(&files.owner_key(owner))?);
        }
        tool::create_authority(&files.tls())?;
        let address = plan.ports.address();
        tool::issue_certificate(&files.tls(), OPERATOR, "operator", address)?;
        for control in &plan.controls {
            tool::issue_certificate(&files.tls(), &control.name, "control", address)?;
            files.save(&control.name, &files.control_settings(plan, control)?)?;
        }
        for node in &plan.nodes {
            tool::issue_certificate(&files.tls(), &node.name, "node", address)?;
            files.save(&node.name, &node_settings(plan, node)?)?;
        }
        Ok(files)
    }

    /// Writes the files of a control instance that joins the group.
    ///
    /// # Errors
    ///
    /// Fails when the tool fails or a file cannot be written.
    pub fn write_joining_member(
        &self,
        plan: &GroupPlan,
        control: &ControlPlan,
    ) -> anyhow::Result<()> {
        let address = plan.ports.address();
        tool::issue_certificate(&self.tls(), &control.name, "control", address)?;
        let mut joined = plan.clone();
        joined.controls.push(control.clone());
        let settings = self.control_settings(&joined, control)?;
        self.save(&control.name, &format!("join = true\n{settings}"))
    }

    /// Returns the folder of the group.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Returns the folder of the certificates.
    #[must_use]
    pub fn tls(&self) -> PathBuf {
        self.folder.join("tls")
    }

    /// Returns the certificate of the authority.
    #[must_use]
    pub fn authority(&self) -> PathBuf {
        self.tls().join("authority.pem")
    }

    /// Returns the private key file of an owner.
    #[must_use]
    pub fn owner_key(&self, owner: &str) -> PathBuf {
        self.folder.join(format!("{owner}.key"))
    }

    /// Returns the private key files of both owners.
    #[must_use]
    pub fn owner_keys(&self) -> [PathBuf; 2] {
        OWNERS.map(|owner| self.owner_key(owner))
    }

    /// Returns the TLS files of the operator.
    #[must_use]
    pub fn operator(&self) -> TlsFiles {
        TlsFiles {
            authority: self.authority(),
            certificate: self.tls().join(format!("{OPERATOR}.pem")),
            key: self.tls().join(format!("{OPERATOR}.key")),
        }
    }

    /// Returns the settings file of a process.
    #[must_use]
    pub fn settings(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}.toml"))
    }

    /// Returns the log file of a process.
    #[must_use]
    pub fn log(&self, name: &str) -> PathBuf {
        self.folder.join("logs").join(format!("{name}.log"))
    }

    /// Returns the data folder of a control instance.
    #[must_use]
    pub fn data(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}-data"))
    }

    fn save(&self, name: &str, text: &str) -> anyhow::Result<()> {
        let path = self.settings(name);
        fs::write(&path, text).with_context(|| path.display().to_string())
    }

    fn control_settings(&self, plan: &GroupPlan, control: &ControlPlan) -> anyhow::Result<String> {
        let mut text = String::new();
        writeln!(text, "role = \"control\"")?;
        writeln!(text, "process = \"{}\"", control.name)?;
        writeln!(text, "data-centre = \"dc-{}\"", control.instance)?;
        writeln!(text, "instance = {}", control.instance)?;
        writeln!(text, "data = \"{}-data\"", control.name)?;
        writeln!(text, "owners = {:?}", self.owners)?;
        writeln!(text, "[listen]")?;
        writeln!(text, "quic = \"{}\"", control.quic)?;
        writeln!(text, "admin = \"{}\"", control.admin)?;
        write_tls(&mut text, &control.name)?;
        for member in &plan.controls {
            let address = member.relay.unwrap_or(member.quic);
            write_control_address(&mut text, "group", member.instance, address)?;
        }
        Ok(text)
    }
}

fn node_settings(plan: &GroupPlan, node: &NodePlan) -> anyhow::Result<String> {
    let mut text = String::new();
    writeln!(text, "role = \"node\"")?;
    writeln!(text, "process = \"{}\"", node.name)?;
    writeln!(text, "data-centre = \"{}\"", node.data_centre)?;
    writeln!(text, "[listen]")?;
    writeln!(text, "callers = \"{}\"", node.callers)?;
    writeln!(text, "peers = \"{}\"", node.peers)?;
    writeln!(text, "local = \"{}\"", node.local)?;
    writeln!(text, "admin = \"{}\"", node.admin)?;
    write_tls(&mut text, &node.name)?;
    for (position, member) in plan.controls.iter().enumerate() {
        let relayed = node
            .control_addresses
            .as_ref()
            .map(|relays| relays[position]);
        let address = relayed.unwrap_or(member.quic);
        write_control_address(&mut text, "control", member.instance, address)?;
    }
    Ok(text)
}

fn write_tls(text: &mut String, name: &str) -> std::fmt::Result {
    writeln!(text, "[tls]")?;
    writeln!(text, "authority = \"tls/authority.pem\"")?;
    writeln!(text, "certificate = \"tls/{name}.pem\"")?;
    writeln!(text, "key = \"tls/{name}.key\"")
}

fn write_control_address(
    text: &mut String,
    table: &str,
    instance: u64,
    address: SocketAddr,
) -> std::fmt::Result {
    writeln!(text, "[[{table}]]")?;
    writeln!(text, "instance = {instance}")?;
    writeln!(text, "address = \"{address}\"")
}
