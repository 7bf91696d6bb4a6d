//! The group of processes that the program `try` runs: four services, three of them in a chain.

pub mod declaration;

use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::demo::declaration::DemoDeclaration;
use crate::demo::declaration::DemoTeam;
use crate::group::GroupPlan;
use crate::group::OperatorTool;
use crate::group::ProcessGroup;
use crate::load::CallerProfile;
use crate::wait;

/// Nodes of each service.
const NODES: usize = 2;
/// Duration of a request at each stub backend server, in milliseconds.
const DELAY_MS: u64 = 2;

/// A started group with the requests that callers send to it.
pub struct DemoGroup {
    /// The group.
    pub group: ProcessGroup,
    /// Kinds of requests.
    pub profiles: Vec<CallerProfile>,
}

/// Returns a path for a new folder in the system's temporary folder.
#[must_use]
pub fn default_folder() -> PathBuf {
    std::env::temp_dir().join(format!("ragwortplank-try-{}", std::process::id()))
}

/// Starts a group and waits until its declaration is in force at every node.
///
/// # Errors
///
/// Fails when a process does not start or the declaration is not accepted.
pub async fn start(folder: &Path) -> anyhow::Result<DemoGroup> {
    let delay = Duration::from_millis(DELAY_MS);
    let plan = GroupPlan::new(3)?
        .service("prices", NODES, delay, &[])?
        .service("stock", NODES, delay, &["/prices"])?
        .service("quotes", NODES, delay, &["/stock"])?
        .service("payments", NODES, delay, &["/stock"])?;
    let folder = folder.to_owned();
    let group = tokio::task::spawn_blocking(move || ProcessGroup::start(&folder, plan)).await??;
    let declaration = DemoDeclaration::new(vec![
        DemoTeam::new("workshop", 2_000, 1_000)?,
        DemoTeam::new("hostel", 50, 50)?,
    ]);
    apply(&group, &declaration.text(&group.files.owners)).await?;
    wait::nodes_ready(&group).await?;
    Ok(DemoGroup {
        group,
        profiles: declaration.profiles(),
    })
}

/// Proposes a declaration as one owner, signs it as the other and waits until it is in force.
///
/// # Errors
///
/// Fails when the tool fails.
pub async fn apply(group: &ProcessGroup, text: &str) -> anyhow::Result<()> {
    wait::leader(group).await?;
    apply_with(group, text, group.operator_tool()).await
}

/// Like [`apply`], without contacting one of the control instances.
///
/// # Errors
///
/// Fails when the tool fails.
pub async fn apply_without_instance(
    group: &ProcessGroup,
    text: &str,
    left_out: usize,
) -> anyhow::Result<()> {
    let mut controls: Vec<_> = group.plan.controls.iter().map(|plan| plan.admin).collect();
    controls.remove(left_out);
    let tool = OperatorTool::new(&group.files, controls);
    apply_with(group, text, tool).await
}

async fn apply_with(group: &ProcessGroup, text: &str, tool: OperatorTool) -> anyhow::Result<()> {
    let file = group.files.folder().join("declaration.toml");
    fs::write(&file, text).context("writing the declaration")?;
    let keys = group.files.owner_keys();
    tokio::task::spawn_blocking(move || tool.apply(&file, &keys)).await?
}

/// Changes the duration of requests at all stub backend servers of a service.
///
/// # Errors
///
/// Fails when a stub backend server does not respond.
pub async fn set_delay(group: &ProcessGroup, service: &str, delay_ms: u64) -> anyhow::Result<()> {
    let nodes = group.plan.nodes.iter();
    for node in nodes.filter(|node| node.server.service == service) {
        send_command(node.server.listen, &format!("delay/{delay_ms}")).await?;
    }
    Ok(())
}

/// Sends a command to a stub backend server.
///
/// # Errors
///
/// Fails when it does not respond or rejects the command.
pub async fn send_command(address: std::net::SocketAddr, order: &str) -> anyhow::Result<()> {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{address}/.standin/{order}").parse()?;
    let response = client.get(uri).await?;
    anyhow::ensure!(
        response.status().is_success(),
        "{order}: {}",
        response.status()
    );
    Ok(())
}

/// Describes the addresses and keys of a running group, for manual use.
#[must_use]
pub fn describe(group: &ProcessGroup, profiles: &[CallerProfile]) -> String {
    let mut text = String::new();
    for control in &group.plan.controls {
        let _ = writeln!(text, "{:<14} admin https://{}", control.name, control.admin);
    }
    for node in &group.plan.nodes {
        let _ = writeln!(
            text,
            "{:<14} callers https://{} admin https://{} local http://{}",
            node.name, node.callers, node.admin, node.local
        );
    }
    for profile in profiles {
        let key = profile.key.as_deref().unwrap_or("none");
        let _ = writeln!(text, "{:<14} {:<10} key {key}", profile.path, profile.team);
    }
    let _ = writeln!(text, "{}", group.operator_tool().describe());
    let _ = writeln!(text, "Interrupt to stop.");
    text
}
