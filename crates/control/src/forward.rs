//! Forwards token demands to the instances that own the teams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use futures::future::join_all;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use model::ids::InstanceId;
use model::ids::NodeId;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tracing::debug;
use wire::peer::PeerMesh;
use wire::rpc::call_context;
use wire::service::NodeDemands;
use wire::service::NodeGrants;

use crate::core::ControlCore;
use crate::log::ControlLog;

/// Queue capacity for each owner; further demands are dropped, and the nodes repeat them.
const QUEUED_DEMANDS_MAX: usize = 4_096;
/// Maximum number of queue entries in one call.
const BATCH_DEMANDS_MAX: usize = 512;
/// Timeout for a call to an owner, in milliseconds; exchanges wait no longer.
const OWNER_TIMEOUT_MS: u64 = 150;
/// Delay before an owner is called again after a failed call, in milliseconds.
const OWNER_RETRY_DELAY_MS: u64 = 300;

/// Queues demands for each owner while an earlier call to it is in flight.
#[derive(Debug)]
pub struct DemandForwarder {
    mesh: PeerMesh,
    queues: Arc<Mutex<BTreeMap<InstanceId, mpsc::Sender<PendingDemands>>>>,
}

/// Demands of a node with the channel for their grants.
#[derive(Debug)]
struct PendingDemands {
    demands: NodeDemands,
    reply: oneshot::Sender<Vec<TokenGrant>>,
}

impl DemandForwarder {
    /// Creates a forwarder that uses the connections of `mesh`.
    #[must_use]
    pub fn new(mesh: PeerMesh) -> Self {
        Self {
            mesh,
            queues: Arc::default(),
        }
    }

    /// Requests grants from the other instances that own a node's demanded teams.
    ///
    /// Demands without a timely reply are left out; the node repeats them.
    pub async fn request_grants<L: ControlLog, C: Clock>(
        &self,
        core: &ControlCore<L, C>,
        node: NodeId,
        demands: &[TokenDemand],
    ) -> Vec<TokenGrant> {
        let mut owners: BTreeMap<InstanceId, Vec<TokenDemand>> = BTreeMap::new();
        core.log.read(|state| {
            for demand in demands {
                let owner = state.team_owners().owner(&demand.team);
                if let Some(owner) = owner.filter(|owner| owner.instance != core.instance) {
                    let demands = owners.entry(owner.instance).or_default();
                    demands.push(demand.clone());
                }
            }
        });
        if owners.is_empty() {
            return Vec::new();
        }
        let limit = Duration::from_millis(OWNER_TIMEOUT_MS);
        let receivers = owners
            .into_iter()
            .filter_map(|(owner, demands)| self.enqueue(owner, NodeDemands { node, demands }));
        let replies = join_all(receivers.map(|reply| timeout(limit, reply))).await;
        let granted = replies.into_iter().filter_map(|reply| reply.ok()?.ok());
        granted.flatten().collect()
    }

    fn enqueue(
        &self,
        owner: InstanceId,
        demands: NodeDemands,
    ) -> Option<oneshot::Receiver<Vec<TokenGrant>>> {
        let (reply, receiver) = oneshot::channel();
        let pending = PendingDemands { demands, reply };
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(owner).or_insert_with(|| {
            let (queue, pending) = mpsc::channel(QUEUED_DEMANDS_MAX);
            tokio::spawn(forward_demands(self.mesh.clone(), owner, pending));
            queue
        });
        queue.try_send(pending).ok().map(|()| receiver)
    }
}

/// Sends the queued demands to one owner, one call at a time.
///
/// Demands that arrive shortly after a failed call are dropped, so that a lost
/// owner does not delay the exchanges.
async fn forward_demands(
    mesh: PeerMesh,
    owner: InstanceId,
    mut queue: mpsc::Receiver<PendingDemands>,
) {
    let mut pending = Vec::new();
    let mut resume = Instant::now();
    while queue.recv_many(&mut pending, BATCH_DEMANDS_MAX).await > 0 {
        if Instant::now() < resume {
            pending.clear();
            continue;
        }
        let demands = pending.iter().map(|entry| entry.demands.clone()).collect();
        let Some(replied) = call_owner(&mesh, owner, demands).await else {
            resume = Instant::now() + Duration::from_millis(OWNER_RETRY_DELAY_MS);
            pending.clear();
            continue;
        };
        // The owner returns the grants in the order of the demands.
        for (entry, granted) in pending.drain(..).zip(replied) {
            let _ = entry.reply.send(granted.grants);
        }
    }
}

/// Returns an owner's grants, or none when the call failed.
async fn call_owner(
    mesh: &PeerMesh,
    owner: InstanceId,
    demands: Vec<NodeDemands>,
) -> Option<Vec<NodeGrants>> {
    let limit = Duration::from_millis(OWNER_TIMEOUT_MS);
    let client = match mesh.client(owner, limit).await {
        Ok(client) => client,
        Err(error) => {
            debug!(event = "owner-unreachable", owner, %error);
            return None;
        }
    };
    match client.grant(call_context(limit), demands).await {
        Ok(reply) => reply.ok(),
        Err(error) => {
            debug!(event = "owner-unanswered", owner, %error);
            mesh.handle_call_failure(owner, &error);
            None
        }
    }
}
