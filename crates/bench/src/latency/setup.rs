//! The group that is measured: four services in a chain, each with one node.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::demo;
use crate::group;
use crate::group::GroupPlan;
use crate::group::ProcessGroup;
use crate::group::TeamKey;
use crate::wait;

/// Services, each calling the next one.
pub(super) const SERVICES: [&str; 4] = ["first", "second", "third", "fourth"];
/// Team that all requests belong to.
const TEAM: &str = "workshop";
/// Rate and burst of the team, far above what the group can serve.
const TEAM_RATE: u32 = 100_000;
/// Deadline of a request, in milliseconds.
const WITHIN_MS: u32 = 10_000;

/// A started group whose declaration is in force.
pub struct LatencyGroup {
    /// The processes.
    pub processes: ProcessGroup,
    pub(super) key: TeamKey,
}

impl LatencyGroup {
    /// Starts a group with three control instances.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or the declaration is not accepted.
    pub async fn start(folder: &Path) -> anyhow::Result<Self> {
        let mut plan = GroupPlan::new(3)?;
        for (position, service) in SERVICES.iter().enumerate() {
            let next = SERVICES.get(position + 1).map(|next| format!("/{next}"));
            let calls: Vec<&str> = next.iter().map(String::as_str).collect();
            plan = plan.service(service, 1, Duration::ZERO, &calls)?;
        }
        let folder = folder.to_owned();
        let starting = tokio::task::spawn_blocking(move || ProcessGroup::start(&folder, plan));
        let processes = starting.await??;
        let key = group::create_team_key()?;
        demo::apply(&processes, &declaration(&processes.files.owners, &key)).await?;
        wait::nodes_ready(&processes).await?;
        Ok(Self { processes, key })
    }

    /// Returns the stub backend server of the last service, which makes no sub-calls.
    pub(super) fn leaf_server(&self) -> SocketAddr {
        self.processes.plan.nodes[SERVICES.len() - 1].server.listen
    }

    /// Returns a node that must forward calls to the last service to another node.
    pub(super) fn entry_node_for_last(&self) -> SocketAddr {
        self.processes.plan.nodes[0].callers
    }

    /// Returns a node that must forward calls to the first service to another node.
    pub(super) fn entry_node_for_chain(&self) -> SocketAddr {
        self.processes.plan.nodes[SERVICES.len() - 1].callers
    }
}

fn declaration(owners: &[String], key: &TeamKey) -> String {
    let mut text = format!("owners = {owners:?}\n");
    for service in SERVICES {
        let _ = writeln!(text, "[[service]]\nname = \"{service}\"");
    }
    let _ = writeln!(
        text,
        "[[class]]\nname = \"quote\"\nrefused = \"middle\"\nwithin-ms = {WITHIN_MS}\nshare-percent = 99"
    );
    for service in SERVICES {
        let _ = writeln!(
            text,
            "[[route]]\nname = \"{service}\"\nprefix = \"/{service}\"\nservice = \"{service}\"\n\
             class = \"quote\"\nidempotent = true"
        );
    }
    let _ = writeln!(
        text,
        "[[team]]\nname = \"{TEAM}\"\nrate = {TEAM_RATE}\nburst = {TEAM_RATE}"
    );
    let digest = &key.digest;
    let _ = writeln!(
        text,
        "[[key]]\nname = \"{TEAM}-0\"\nteam = \"{TEAM}\"\ndigest = \"{digest}\""
    );
    text
}
