//! Sends the state of this instance's nodes to the other instances.

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
use crate::log::ControlLog;
use crate::registry::RegistryPosition;
use crate::rollout::LiveInstance;

/// Period of the batches to each peer, in milliseconds.
const SYNC_PERIOD_MS: u64 = 200;
/// Timeout for a peer to accept a batch, in milliseconds.
const SYNC_TIMEOUT_MS: u64 = 500;

/// State that one peer has acknowledged.
#[derive(Clone, Copy, Debug, Default)]
struct PeerSyncState {
    /// Position in this instance's registry that the peer has acknowledged.
    registry: Option<RegistryPosition>,
    /// Feed id in the peer's last acknowledgement; a new id means that the peer
    /// restarted and has none of the earlier batches.
    feed: Option<u64>,
    /// Position of the last crash report that the peer has acknowledged.
    crashes: u64,
}

/// Sends batches to the peers until the instance stops.
///
/// # Errors
///
/// Never fails; the supervisor requires a result.
pub async fn sync_peers<L: ControlLog, C: Clock>(core: ControlCore<L, C>) -> anyhow::Result<()> {
    // The state of a peer is `None` while a batch to it is in flight.
    let mut synced: BTreeMap<InstanceId, Option<PeerSyncState>> = BTreeMap::new();
    let mut tasks = JoinSet::new();
    let mut ticks = interval(Duration::from_millis(SYNC_PERIOD_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = core.stop.cancelled() => return Ok(()),
            Some(ended) = tasks.join_next() => {
                let (peer, state) = ended?;
                synced.insert(peer, Some(state));
            }
            _ = ticks.tick() => {
                for peer in core.mesh.peers() {
                    let state = synced.entry(peer).or_insert(Some(PeerSyncState::default()));
                    if let Some(state) = state.take() {
                        tasks.spawn(sync_peer(core.clone(), peer, state));
                    }
                }
            }
        }
    }
}

async fn sync_peer<L: ControlLog, C: Clock>(
    core: ControlCore<L, C>,
    peer: InstanceId,
    synced: PeerSyncState,
) -> (InstanceId, PeerSyncState) {
    // Must be read before the nodes; see `HubBatch::version`.
    let version = core.log.read(|state| state.config().version());
    let mut prepared = core
        .registry
        .batch_for_peer(core.config.address, synced.registry, version);
    let reports = core.crash_reports.reports_since(synced.crashes);
    prepared.batch.crashes = reports.reports;
    let Some(ack) = send_batch(&core, peer, prepared.batch).await else {
        return (peer, synced);
    };
    let same_feed = synced.feed.is_none_or(|feed| feed == ack.feed_id);
    if !ack.fully_applied || !same_feed {
        return (peer, PeerSyncState::default());
    }
    let synced = PeerSyncState {
        registry: Some(prepared.position),
        feed: Some(ack.feed_id),
        crashes: reports.cursor,
    };
    (peer, synced)
}

async fn send_batch<L: ControlLog, C: Clock>(
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
    /// Applies a peer's batch.
    #[must_use]
    pub fn apply_peer_batch(&self, batch: &NodeUpdateBatch) -> NodeUpdateAck {
        // The settings may be older than the peer's membership in the group.
        self.mesh.add(batch.sender, batch.address);
        let fully_applied = self.registry.apply_batch(batch);
        self.crash_reports.add_peer_reports(&batch.crashes);
        if fully_applied {
            let peer = LiveInstance {
                instance: batch.sender,
                incarnation: batch.feed_id,
            };
            self.rollout.record_peer_version(peer, batch.version);
        }
        NodeUpdateAck {
            feed_id: self.registry.feed_id(),
            fully_applied,
        }
    }
}
