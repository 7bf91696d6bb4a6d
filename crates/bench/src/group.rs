//! Groups of real processes on loopback: control instances, nodes and stub backend servers.

mod files;
mod plan;
mod ports;
mod process;
mod tool;

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use cli::client::AdminClient;

pub use files::GroupFiles;
pub use plan::ControlPlan;
pub use plan::GroupPlan;
pub use plan::NodePlan;
pub use plan::ServerPlan;
pub use ports::PortPool;
pub use process::ManagedProcess;
pub use tool::OperatorTool;
pub use tool::TeamKey;
pub use tool::ToolOutput;
pub use tool::create_team_key;

/// A group of processes; dropping it kills those that still run.
pub struct ProcessGroup {
    /// Processes and addresses of the group.
    pub plan: GroupPlan,
    /// Keys, certificates and settings files.
    pub files: GroupFiles,
    /// Control instances, in the order of the plan.
    pub controls: Vec<ManagedProcess>,
    /// Nodes, in the order of the plan.
    pub nodes: Vec<ManagedProcess>,
    /// Stub backend servers, one beside each node.
    pub servers: Vec<ManagedProcess>,
}

impl ProcessGroup {
    /// Writes all files of a group and starts its processes.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be written or a program cannot be started.
    pub fn start(folder: &Path, plan: GroupPlan) -> anyhow::Result<Self> {
        let files = GroupFiles::write(folder, &plan)?;
        let mut group = Self {
            controls: Vec::new(),
            nodes: Vec::new(),
            servers: Vec::new(),
            plan,
            files,
        };
        for position in 0..group.plan.controls.len() {
            let process = group.start_daemon(&group.plan.controls[position].name)?;
            group.controls.push(process);
        }
        for position in 0..group.plan.nodes.len() {
            let process = group.start_daemon(&group.plan.nodes[position].name)?;
            group.nodes.push(process);
            let process = group.start_server(position)?;
            group.servers.push(process);
        }
        Ok(group)
    }

    /// Stops nodes gracefully, kills the stub backend servers, then stops control instances gracefully.
    ///
    /// # Errors
    ///
    /// Fails when a process does not end in time or ends with an error.
    pub fn stop(&mut self, timeout: Duration) -> anyhow::Result<()> {
        for node in &self.nodes {
            node.terminate()?;
        }
        for node in &mut self.nodes {
            node.wait_for_exit(timeout)?;
        }
        for server in &mut self.servers {
            server.kill()?;
        }
        for control in &self.controls {
            control.terminate()?;
        }
        for control in &mut self.controls {
            control.wait_for_exit(timeout)?;
        }
        Ok(())
    }

    /// Starts or restarts the control instance or node of this name.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start_daemon(&self, name: &str) -> anyhow::Result<ManagedProcess> {
        let settings = self.files.settings(name);
        let arguments = ["--config".to_owned(), settings.display().to_string()];
        let log = self.files.log(name);
        ManagedProcess::start("ragwortplankd", name, &arguments, &log)
    }

    /// Adds a control instance that joins the group, and returns its position.
    ///
    /// # Errors
    ///
    /// Fails when its files cannot be written or it cannot be started.
    pub fn join_control(&mut self, instance: u64) -> anyhow::Result<usize> {
        let control = ControlPlan {
            name: format!("control-{instance}"),
            instance,
            quic: self.plan.ports.udp()?,
            admin: self.plan.ports.tcp()?,
            relay: None,
        };
        self.files.write_joining_member(&self.plan, &control)?;
        let process = self.start_daemon(&control.name)?;
        self.plan.controls.push(control);
        self.controls.push(process);
        Ok(self.plan.controls.len() - 1)
    }

    /// Starts or restarts the stub backend server beside a node.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start_server(&self, position: usize) -> anyhow::Result<ManagedProcess> {
        let node = &self.plan.nodes[position];
        let name = format!("{}-server", node.name);
        let arguments = node.server.arguments(node, &self.files.journals);
        ManagedProcess::start("standin", &name, &arguments, &self.files.log(&name))
    }

    /// Returns the caller listeners of all nodes.
    #[must_use]
    pub fn caller_listeners(&self) -> Vec<SocketAddr> {
        self.plan.nodes.iter().map(|node| node.callers).collect()
    }

    /// Returns a client for the admin listeners, with the operator's certificate.
    ///
    /// # Errors
    ///
    /// Fails when the operator's files cannot be used.
    pub fn admin_client(&self) -> anyhow::Result<AdminClient> {
        AdminClient::new(&self.files.operator())
    }

    /// Returns the command-line tool, set up for all control instances.
    #[must_use]
    pub fn operator_tool(&self) -> OperatorTool {
        let addresses = self.plan.controls.iter().map(|control| control.admin);
        OperatorTool::new(&self.files, addresses.collect())
    }
}

/// Returns the folder in which the programs of this workspace were built.
///
/// # Errors
///
/// Fails when this program's own path is not known.
pub fn program_folder() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe().context("finding this program")?;
    let folder = own.parent().context("finding this program's folder")?;
    if folder.ends_with("deps") || folder.ends_with("examples") {
        let parent = folder.parent().context("finding the build folder")?;
        return Ok(parent.to_owned());
    }
    Ok(folder.to_owned())
}
