//! Tells the other instances about the nodes that exchange with this one.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Clock;
use model::ids::InstanceId;
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tracing::debug;
use wire::rpc::call_context;
use wire::service::NodeUpdateAck;
use wire::service::NodeUpdateBatch;

use crate::core::ControlCore;
use crate::force::LiveInstance;
use crate::hub::HubPosition;
use crate::log::ControlLog;

/// Period of the batches to each peer, in milliseconds.
const SYNC_PERIOD_MS: u64 = 200;
/// Time that a peer has to take a batch over, in milliseconds.
const SYNC_TIMEOUT_MS: u64 = 500;

/// What one peer was told so far.
#[derive(Clone, Copy, Debug, Default)]
struct ToldState {
    /// What it knows of our nodes.
    hub: Option<HubPosition>,
    /// Its feed at its last answer; a new one knows nothing of what was told.
    feed: Option<u64>,
    /// Position of the last crash report that it knows.
    crashes: u64,
}

/// Sends batches to the peers until the instance stops.
///
/// # Errors
///
/// Never fails; the result fits the supervisor.
pub async fn sync_peers<L: ControlLog, C: Clock>(core: ControlCore<L, C>) -> anyhow::Result<()> {
    // A peer that is being told has no state here.
    let mut told: BTreeMap<InstanceId, Option<ToldState>> = BTreeMap::new();
    let mut tells = JoinSet::new();
    let mut ticks = interval(Duration::from_millis(SYNC_PERIOD_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = core.stop.cancelled() => return Ok(()),
            Some(ended) = tells.join_next() => {
                let (peer, state) = ended?;
                told.insert(peer, Some(state));
            }
            _ = ticks.tick() => {
                for peer in core.mesh.peers() {
                    let state = told.entry(peer).or_insert(Some(ToldState::default()));
                    if let Some(state) = state.take() {
                        tells.spawn(tell(core.clone(), peer, state));
                    }
                }
            }
        }
    }
}

async fn tell<L: ControlLog, C: Clock>(
    core: ControlCore<L, C>,
    peer: InstanceId,
    told: ToldState,
) -> (InstanceId, ToldState) {
    // Read before the nodes, as `NodeUpdateBatch::version` promises.
    let version = core.log.read(|state| state.config().version());
    let mut telling = core.hub.batch(core.names.address, told.hub, version);
    let reports = core.suspects.since(told.crashes);
    telling.batch.crashes = reports.reports;
    let Some(ack) = send(&core, peer, telling.batch).await else {
        return (peer, told);
    };
    let same_feed = told.feed.is_none_or(|feed| feed == ack.feed_id);
    if !ack.fully_applied || !same_feed {
        return (peer, ToldState::default());
    }
    let told = ToldState {
        hub: Some(telling.position),
        feed: Some(ack.feed_id),
        crashes: reports.cursor,
    };
    (peer, told)
}

async fn send<L: ControlLog, C: Clock>(
    core: &ControlCore<L, C>,
    peer: InstanceId,
    batch: NodeUpdateBatch,
) -> Option<NodeUpdateAck> {
    let limit = Duration::from_millis(SYNC_TIMEOUT_MS);
    let client = match core.mesh.client(peer, limit).await {
        Ok(client) => client,
        Err(error) => {
            debug!(event = "peer-unreachable", peer, %error);
            return None;
        }
    };
    match client.absorb(call_context(limit), batch).await {
        Ok(ack) => Some(ack),
        Err(error) => {
            debug!(event = "peer-unanswered", peer, %error);
            core.mesh.handle_call_failure(peer, &error);
            None
        }
    }
}

impl<L: ControlLog, C: Clock> ControlCore<L, C> {
    /// Takes over what a peer tells.
    #[must_use]
    pub fn absorb(&self, batch: &NodeUpdateBatch) -> NodeUpdateAck {
        // An instance that joined the group is not in older settings.
        self.mesh.add(batch.sender, batch.address);
        let fully_applied = self.hub.absorb(batch);
        self.suspects.absorb(&batch.crashes);
        if fully_applied {
            let peer = LiveInstance {
                instance: batch.sender,
                incarnation: batch.feed_id,
            };
            self.force.heard(peer, batch.version);
        }
        NodeUpdateAck {
            feed_id: self.hub.feed(),
            fully_applied,
        }
    }
}
