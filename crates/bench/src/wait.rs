//! Waits until a group reaches a condition, instead of for a fixed time.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::bail;
use cli::client::AdminRequest;
use model::admin::ControlStatus;
use model::admin::NodeStatus;
use model::admin::StatusReport;
use model::exchange::ServerState;

use crate::group::ProcessGroup;

/// Time after which a wait fails, in seconds.
const TIMEOUT_S: u64 = 60;
/// Interval between two polls, in milliseconds.
const POLL_INTERVAL_MS: u64 = 50;

/// Calls `poll` repeatedly until it returns a value.
///
/// # Errors
///
/// Fails with the last error of `poll` when the condition is not met in time.
pub async fn until<T, F>(what: &str, poll: impl Fn() -> F) -> anyhow::Result<T>
where
    F: Future<Output = anyhow::Result<T>>,
{
    let end = Instant::now() + Duration::from_secs(TIMEOUT_S);
    loop {
        match poll().await {
            Ok(value) => return Ok(value),
            Err(error) if Instant::now() >= end => bail!("waiting for {what}: {error:#}"),
            Err(_) => tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await,
        }
    }
}

/// Waits until a control instance leads, and returns its position.
///
/// # Errors
///
/// Fails when none does in time.
pub async fn leader(group: &ProcessGroup) -> anyhow::Result<usize> {
    leader_among(group, |_| true).await
}

/// Waits until another control instance than `left_out` leads, and returns its position.
///
/// # Errors
///
/// Fails when none does in time.
pub async fn other_leader(group: &ProcessGroup, left_out: usize) -> anyhow::Result<usize> {
    leader_among(group, |position| position != left_out).await
}

async fn leader_among(
    group: &ProcessGroup,
    is_candidate: impl Fn(usize) -> bool,
) -> anyhow::Result<usize> {
    until("a leader", async || {
        for position in (0..group.plan.controls.len()).filter(|position| is_candidate(*position)) {
            let status = control_status(group, position).await;
            if status.is_ok_and(|status| status.role == "leader") {
                return Ok(position);
            }
        }
        bail!("no control instance leads")
    })
    .await
}

/// Waits until every node holds a lease and its backend server is ready.
///
/// # Errors
///
/// Fails when one does not in time.
pub async fn nodes_ready(group: &ProcessGroup) -> anyhow::Result<()> {
    for position in 0..group.plan.nodes.len() {
        until("a ready node", async || {
            let status = node_status(group, position).await?;
            let ready = status.member.state == ServerState::Ready && status.lease_left_ms > 0;
            if ready && status.applied > 0 {
                return Ok(());
            }
            bail!("{} is not ready: {status:?}", status.process)
        })
        .await?;
    }
    Ok(())
}

/// Returns the status of a control instance.
///
/// # Errors
///
/// Fails when it does not respond.
pub async fn control_status(
    group: &ProcessGroup,
    position: usize,
) -> anyhow::Result<ControlStatus> {
    let address = group.plan.controls[position].admin;
    match status(group, address).await? {
        StatusReport::Control(status) => Ok(status),
        StatusReport::Node(_) => bail!("{address} is a node"),
    }
}

/// Returns the status of a node.
///
/// # Errors
///
/// Fails when it does not respond.
pub async fn node_status(group: &ProcessGroup, position: usize) -> anyhow::Result<NodeStatus> {
    let address = group.plan.nodes[position].admin;
    match status(group, address).await? {
        StatusReport::Node(status) => Ok(status),
        StatusReport::Control(_) => bail!("{address} is a control instance"),
    }
}

async fn status(group: &ProcessGroup, address: SocketAddr) -> anyhow::Result<StatusReport> {
    let request = AdminRequest::get("/status");
    Ok(group
        .admin_client()?
        .send_to_any_role(address, &request)
        .await?)
}
