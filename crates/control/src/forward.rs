//! Hands demands for tokens to the instances that own the teams.

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

/// Demands that wait for one owner; more are left for the nodes to repeat.
const QUEUE_DEMANDS: usize = 4_096;
/// Demands put into one call at most.
const BATCH_DEMANDS: usize = 512;
/// Time that an owner has to answer, in milliseconds; the exchange waits no longer.
const OWNER_TIMEOUT_MS: u64 = 150;
/// Time for which an owner that did not answer is not asked again, in milliseconds.
const OWNER_PAUSE_MS: u64 = 300;

/// Collects demands for each owner, while its call before is under way.
#[derive(Debug)]
pub struct GrantForwarder {
    mesh: PeerMesh,
    queues: Arc<Mutex<BTreeMap<InstanceId, mpsc::Sender<WaitingDemand>>>>,
}

/// Demands of a node together with who waits for the grants.
#[derive(Debug)]
struct WaitingDemand {
    demands: NodeDemands,
    answer: oneshot::Sender<Vec<TokenGrant>>,
}

impl GrantForwarder {
    /// Creates a forwarder over the connections of `mesh`.
    #[must_use]
    pub fn new(mesh: PeerMesh) -> Self {
        Self {
            mesh,
            queues: Arc::default(),
        }
    }

    /// Returns the grants of other instances for a node's demands.
    ///
    /// What is not answered in time is left out; the node repeats it.
    pub async fn grants<L: ControlLog, C: Clock>(
        &self,
        core: &ControlCore<L, C>,
        node: NodeId,
        demands: &[TokenDemand],
    ) -> Vec<TokenGrant> {
        let mut owners: BTreeMap<InstanceId, Vec<TokenDemand>> = BTreeMap::new();
        core.log.read(|state| {
            for demand in demands {
                let owner = state.owners().owner(&demand.team);
                if let Some(owner) = owner.filter(|owner| owner.instance != core.own) {
                    let demands = owners.entry(owner.instance).or_default();
                    demands.push(demand.clone());
                }
            }
        });
        if owners.is_empty() {
            return Vec::new();
        }
        let limit = Duration::from_millis(OWNER_TIMEOUT_MS);
        let asked = owners
            .into_iter()
            .filter_map(|(owner, demands)| self.ask(owner, NodeDemands { node, demands }));
        let answers = join_all(asked.map(|answer| timeout(limit, answer))).await;
        let answered = answers.into_iter().filter_map(|answer| answer.ok()?.ok());
        answered.flatten().collect()
    }

    fn ask(
        &self,
        owner: InstanceId,
        demands: NodeDemands,
    ) -> Option<oneshot::Receiver<Vec<TokenGrant>>> {
        let (answer, receiver) = oneshot::channel();
        let waiting = WaitingDemand { demands, answer };
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(owner).or_insert_with(|| {
            let (queue, waiting) = mpsc::channel(QUEUE_DEMANDS);
            tokio::spawn(forward(self.mesh.clone(), owner, waiting));
            queue
        });
        queue.try_send(waiting).ok().map(|()| receiver)
    }
}

/// Sends the collected demands to one owner, one call after the other.
///
/// Demands that arrive shortly after a call failed are left unanswered, so
/// that a lost owner does not hold up the exchanges.
async fn forward(mesh: PeerMesh, owner: InstanceId, mut queue: mpsc::Receiver<WaitingDemand>) {
    let mut waiting = Vec::new();
    let mut resume = Instant::now();
    while queue.recv_many(&mut waiting, BATCH_DEMANDS).await > 0 {
        if Instant::now() < resume {
            waiting.clear();
            continue;
        }
        let demands = waiting.iter().map(|entry| entry.demands.clone()).collect();
        let Some(answered) = call(&mesh, owner, demands).await else {
            resume = Instant::now() + Duration::from_millis(OWNER_PAUSE_MS);
            waiting.clear();
            continue;
        };
        // The owner answers in the order of the demands.
        for (entry, granted) in waiting.drain(..).zip(answered) {
            let _ = entry.answer.send(granted.grants);
        }
    }
}

/// Returns what an owner granted, or none when it did not answer.
async fn call(
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
        Ok(answer) => answer.ok(),
        Err(error) => {
            debug!(event = "owner-unanswered", owner, %error);
            mesh.handle_call_failure(owner, &error);
            None
        }
    }
}
