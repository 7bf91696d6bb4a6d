//! The group of processes that `try` runs: four services, three of them in a chain.

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

use crate::group::GroupPlan;
use crate::group::ProcessGroup;
use crate::group::TeamKey;
use crate::load::CallerProfile;
use crate::wait;

/// Nodes of each service.
const NODES: usize = 2;
/// Time that a request takes at each stand-in, in milliseconds.
const DELAY_MS: u64 = 2;

/// A started group with the requests that callers send to it.
pub struct TrialSetup {
    /// The group.
    pub group: ProcessGroup,
    /// Kinds of requests.
    pub profiles: Vec<CallerProfile>,
}

/// Returns a new folder below the system's temporary one.
#[must_use]
pub fn default_folder() -> PathBuf {
    std::env::temp_dir().join(format!("ragwortplank-try-{}", std::process::id()))
}

/// Starts a group and waits until its declaration is in force at every node.
///
/// # Errors
///
/// Fails when a process does not start or the declaration is not accepted.
pub async fn start(folder: &Path) -> anyhow::Result<TrialSetup> {
    let delay = Duration::from_millis(DELAY_MS);
    let plan = GroupPlan::new(3)?
        .service("prices", NODES, delay, &[])?
        .service("stock", NODES, delay, &["/prices"])?
        .service("quotes", NODES, delay, &["/stock"])?
        .service("payments", NODES, delay, &["/stock"])?;
    let folder = folder.to_owned();
    let group = tokio::task::spawn_blocking(move || ProcessGroup::start(&folder, plan)).await??;
    let keys = TeamKeys::make()?;
    let text = declaration(&group.files.owners, &keys);
    apply(&group, &text).await?;
    wait::nodes_ready(&group).await?;
    Ok(TrialSetup {
        group,
        profiles: profiles(&keys),
    })
}

/// Proposes a declaration as one owner, signs it as the other and waits until it is in force.
///
/// # Errors
///
/// Fails when the tool fails.
pub async fn apply(group: &ProcessGroup, text: &str) -> anyhow::Result<()> {
    wait::leader(group).await?;
    let file = group.files.folder().join("declaration.toml");
    fs::write(&file, text).context("writing the declaration")?;
    let tool = group.tool();
    let keys = group.files.owner_keys();
    tokio::task::spawn_blocking(move || tool.apply(&file, &keys)).await?
}

/// Changes the time that requests take at all stand-ins of a service.
///
/// # Errors
///
/// Fails when a stand-in does not answer.
pub async fn slow_down(group: &ProcessGroup, service: &str, delay_ms: u64) -> anyhow::Result<()> {
    let nodes = group.plan.nodes.iter();
    for node in nodes.filter(|node| node.server.service == service) {
        steer(node.server.listen, &format!("delay/{delay_ms}")).await?;
    }
    Ok(())
}

/// Gives an order to a stand-in.
///
/// # Errors
///
/// Fails when it does not answer.
pub async fn steer(address: std::net::SocketAddr, order: &str) -> anyhow::Result<()> {
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

/// Describes a running group for somebody who wants to talk to it.
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
    let _ = writeln!(text, "{}", group.tool().describe());
    let _ = writeln!(text, "Interrupt to stop.");
    text
}

/// Keys of the two teams.
struct TeamKeys {
    workshop: TeamKey,
    hostel: TeamKey,
}

impl TeamKeys {
    fn make() -> anyhow::Result<Self> {
        Ok(Self {
            workshop: crate::group::make_team_key()?,
            hostel: crate::group::make_team_key()?,
        })
    }
}

fn declaration(owners: &[String], keys: &TeamKeys) -> String {
    format!(
        r#"owners = {owners:?}

[[service]]
name = "quotes"
[[service]]
name = "stock"
[[service]]
name = "prices"
[[service]]
name = "payments"

[[class]]
name = "payment"
refused = "last"
within-ms = 2000
share-percent = 99
[[class]]
name = "quote"
refused = "middle"
within-ms = 1000
share-percent = 99
[[class]]
name = "status"
refused = "first"
within-ms = 500
share-percent = 99

[[route]]
name = "quotes"
prefix = "/quotes"
service = "quotes"
class = "quote"
idempotent = true
[[route]]
name = "payments"
prefix = "/payments"
service = "payments"
class = "payment"
once = true
[[route]]
name = "stock"
prefix = "/stock"
service = "stock"
class = "quote"
idempotent = true
[[route]]
name = "prices"
prefix = "/prices"
service = "prices"
class = "quote"
idempotent = true
[[route]]
name = "status"
prefix = "/status"
service = "prices"
class = "status"
open = true
idempotent = true

[[team]]
name = "workshop"
rate = 2000
burst = 1000
[[team]]
name = "hostel"
rate = 50
burst = 50

[[key]]
name = "workshop-1"
team = "workshop"
digest = "{}"
[[key]]
name = "hostel-1"
team = "hostel"
digest = "{}"
"#,
        keys.workshop.digest, keys.hostel.digest
    )
}

fn profiles(keys: &TeamKeys) -> Vec<CallerProfile> {
    let profile = |team: &str, key: Option<&TeamKey>, path: &str, service: &str| CallerProfile {
        team: team.to_owned(),
        key: key.map(|key| key.key.clone()),
        class: path.trim_start_matches('/').to_owned(),
        path: path.to_owned(),
        service: service.to_owned(),
        once: path == "/payments",
    };
    vec![
        profile("workshop", Some(&keys.workshop), "/quotes", "quotes"),
        profile("workshop", Some(&keys.workshop), "/payments", "payments"),
        profile("hostel", Some(&keys.hostel), "/quotes", "quotes"),
        profile("none", None, "/status", "prices"),
    ]
}
