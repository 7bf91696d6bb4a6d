//! Paces that other nodes sent of the backend servers beside them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use clock::Clock;
use fleet::ProtocolAdapter;
use model::context::ServerPace;
use tokio::sync::Notify;

use crate::state::ProxyState;
use crate::state::lock;

/// The latest pace from each node that has not been applied yet; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportedPaces {
    latest: Arc<Mutex<HashMap<SocketAddr, ServerPace>>>,
    added: Arc<Notify>,
}

impl ReportedPaces {
    /// Adds a pace that the node at `address` sent.
    pub(crate) fn add(&self, address: SocketAddr, pace: ServerPace) {
        lock(&self.latest).insert(address, pace);
        self.added.notify_one();
    }

    /// Waits for paces and takes them.
    async fn take(&self) -> HashMap<SocketAddr, ServerPace> {
        self.added.notified().await;
        std::mem::take(&mut *lock(&self.latest))
    }
}

/// Applies the paces that other nodes send; never returns.
pub(crate) async fn apply_paces<C: Clock, A: ProtocolAdapter>(state: ProxyState<C, A>) {
    loop {
        for (address, pace) in state.peers.paces.take().await {
            let is_known = state.nodes().record_pace(address, pace, state.now());
            let detail = if is_known { "received" } else { "unknown-node" };
            state.metrics.count("pace", detail);
        }
    }
}
