//! Records backend servers that left, and tells the nodes beside them.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Clock;
use fleet::ControlMessage;
use fleet::ControlReply;
use fleet::DepartedServer;
use fleet::DepartureVersion;
use fleet::StoreEntry;
use link::LinkSender;
use replica::ReplicatedState;
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tracing::info;
use tracing::warn;

use crate::state::GroupState;

/// Timeout for replicating departures, in milliseconds; the node reports them again after it.
const RECORD_TIMEOUT_MS: u64 = 1_000;

/// Records the departures that one node reports.
#[derive(Debug, Default)]
pub(crate) struct DepartureRecorder {
    /// The proposal under way; at most one, however often the node reports.
    proposal: Option<JoinHandle<()>>,
}

impl DepartureRecorder {
    /// Replicates departures beside the node at `address`, and tells it once they are committed.
    pub(crate) fn record<C: Clock>(
        &mut self,
        state: &GroupState<C>,
        sender: &LinkSender<ControlMessage>,
        address: SocketAddr,
        servers: Vec<DepartedServer>,
    ) {
        let is_under_way = self
            .proposal
            .as_ref()
            .is_some_and(|proposal| !proposal.is_finished());
        if servers.is_empty() || is_under_way {
            return;
        }
        let (state, sender) = (state.clone(), sender.clone());
        self.proposal = Some(tokio::spawn(async move {
            if propose(&state, address, servers).await {
                send_list(&state, &sender, address, None);
            }
        }));
    }
}

/// Sends a node the departed servers beside it, unless it has them in version `known`.
///
/// The state applied here must be as new as when the node reported.
pub(crate) fn send_list<C: Clock>(
    state: &GroupState<C>,
    sender: &LinkSender<ControlMessage>,
    address: SocketAddr,
    known: Option<DepartureVersion>,
) {
    let Some(replica) = state.replica() else {
        return;
    };
    let list = replica.read(|store| {
        let departures = store.departures();
        (known != Some(departures.version(address))).then(|| departures.list(address))
    });
    if let Some(list) = list {
        sender.send(&ControlMessage::Reply(Box::new(ControlReply::Departures(
            list,
        ))));
    }
}

/// Replicates departures; returns whether they are committed.
async fn propose<C: Clock>(
    state: &GroupState<C>,
    address: SocketAddr,
    servers: Vec<DepartedServer>,
) -> bool {
    let Some(replica) = state.replica() else {
        return false;
    };
    let count = servers.len();
    let entry = match (StoreEntry::Departures { address, servers }).encode() {
        Ok(entry) => entry,
        Err(error) => {
            warn!(event = "departures-not-recorded", node = %address, %error);
            return false;
        }
    };
    let time_limit = Duration::from_millis(RECORD_TIMEOUT_MS);
    match timeout(time_limit, replica.propose(entry)).await {
        Ok(Ok(_)) => {
            info!(event = "departures-recorded", node = %address, servers = count);
            state.metrics.count("departures", "recorded");
            return true;
        }
        Ok(Err(error)) => info!(event = "departures-not-recorded", node = %address, %error),
        Err(_) => info!(event = "departures-not-recorded", node = %address, error = "timeout"),
    }
    state.metrics.count("departures", "not-recorded");
    false
}
