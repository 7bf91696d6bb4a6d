//! Connections between the control instances.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use model::ids::InstanceId;
use replica::PeerLink;
use tarpc::client::Channel;
use tarpc::client::RpcError;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Receiver;
use tokio::sync::mpsc::Sender;
use tracing::debug;
use tracing::warn;

use crate::codec::MAX_FRAME_BYTES;
use crate::error::ConnectionError;
use crate::quic::QuicEndpoint;
use crate::role::PeerRole;
use crate::rpc::RpcChannel;
use crate::rpc::call_context;
use crate::rpc::is_connection_failure;
use crate::service::PeerControlClient;
use crate::service::PeerControlRequest;
use crate::service::PeerControlResponse;

/// Largest number of messages queued for one peer; further ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Largest number of messages in one call.
const MAX_BATCH_MESSAGES: usize = 64;
/// Bytes after which a batch takes no further message.
const FULL_BATCH_BYTES: usize = 1024 * 1024;
/// Largest message, in bytes: the last message of a batch may follow a nearly full batch, and
/// all of it must fit into one frame.
const MAX_MESSAGE_BYTES: usize = MAX_FRAME_BYTES - FULL_BATCH_BYTES - 64 * 1024;
/// Largest number of concurrent calls to one peer.
const MAX_CONCURRENT_CALLS: usize = 8;
/// Timeout for connecting to a peer, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Timeout for delivering a batch to a peer, in milliseconds.
const DELIVER_TIMEOUT_MS: u64 = 1_000;

/// Client of another control instance.
pub type PeerClient = PeerControlClient<Channel<PeerControlRequest, PeerControlResponse>>;

type PeerChannel = RpcChannel<PeerControlRequest, PeerControlResponse>;

/// Connections from this control instance to the others; clones share them.
#[derive(Clone, Debug)]
pub struct PeerMesh {
    own: InstanceId,
    endpoint: QuicEndpoint,
    peers: Arc<Mutex<BTreeMap<InstanceId, PeerEntry>>>,
}

#[derive(Debug)]
struct PeerEntry {
    channel: PeerChannel,
    queue: Sender<Vec<u8>>,
}

impl PeerMesh {
    /// Creates the mesh of instance `own`, without peers.
    #[must_use]
    pub fn new(own: InstanceId, endpoint: QuicEndpoint) -> Self {
        Self {
            own,
            endpoint,
            peers: Arc::default(),
        }
    }

    /// Adds a peer, or changes its address.
    ///
    /// Must be called within a tokio runtime, which runs the sending task.
    pub fn add(&self, peer: InstanceId, address: SocketAddr) {
        let mut peers = self.lock();
        let known = peers
            .get(&peer)
            .is_some_and(|entry| entry.channel.address() == address);
        if known || peer == self.own {
            return;
        }
        let channel = PeerChannel::new(self.endpoint.clone(), address, PeerRole::Control);
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let sender = PeerSender {
            own: self.own,
            peer,
            channel: channel.clone(),
            messages,
        };
        tokio::spawn(sender.run());
        peers.insert(peer, PeerEntry { channel, queue });
    }

    /// Removes a peer that left the group.
    pub fn remove(&self, peer: InstanceId) {
        self.lock().remove(&peer);
    }

    /// Returns the ids of the peers, in ascending order.
    #[must_use]
    pub fn peers(&self) -> Vec<InstanceId> {
        self.lock().keys().copied().collect()
    }

    /// Returns a client of a peer, connecting within `limit` if needed.
    ///
    /// # Errors
    ///
    /// Fails when the peer is unknown or cannot be reached.
    pub async fn client(
        &self,
        peer: InstanceId,
        limit: Duration,
    ) -> Result<PeerClient, ConnectionError> {
        let channel = self.lock().get(&peer).map(|entry| entry.channel.clone());
        let channel =
            channel.ok_or_else(|| ConnectionError::Lost(format!("instance {peer} is unknown")))?;
        channel.channel(limit).await.map(PeerClient::from)
    }

    /// Closes the connection to a peer if the error of a call shows that it is unusable.
    pub fn handle_call_failure(&self, peer: InstanceId, error: &RpcError) {
        if is_connection_failure(error)
            && let Some(entry) = self.lock().get(&peer)
        {
            entry.channel.reset();
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InstanceId, PeerEntry>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerLink for PeerMesh {
    fn send(&self, to: InstanceId, message: Vec<u8>) {
        if message.len() > MAX_MESSAGE_BYTES {
            warn!(event = "peer-message-too-long", to, bytes = message.len());
            return;
        }
        if let Some(entry) = self.lock().get(&to) {
            let sent = entry.queue.try_send(message);
            if sent.is_err() {
                debug!(event = "peer-queue-full", to);
            }
        }
    }
}

/// Sends the queued messages of one peer, in batches and in order.
struct PeerSender {
    own: InstanceId,
    peer: InstanceId,
    channel: PeerChannel,
    messages: Receiver<Vec<u8>>,
}

impl PeerSender {
    async fn run(mut self) {
        let mut calls = FuturesUnordered::new();
        loop {
            tokio::select! {
                Some(outcome) = calls.next() => self.handle_call_result(outcome),
                batch = next_batch(&mut self.messages), if calls.len() < MAX_CONCURRENT_CALLS => {
                    let Some(batch) = batch else { return };
                    if let Some(client) = self.connect().await {
                        calls.push(deliver(client, self.own, batch));
                    }
                }
            }
        }
    }

    /// Connects, or drops the queued messages: the replicated log resends those still needed.
    async fn connect(&mut self) -> Option<PeerClient> {
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        match self.channel.channel(limit).await {
            Ok(channel) => Some(PeerClient::from(channel)),
            Err(error) => {
                debug!(event = "peer-unreachable", peer = self.peer, %error);
                while self.messages.try_recv().is_ok() {}
                None
            }
        }
    }

    fn handle_call_result(&self, outcome: Result<(), RpcError>) {
        if let Err(error) = outcome {
            debug!(event = "peer-call-failed", peer = self.peer, %error);
            if is_connection_failure(&error) {
                self.channel.reset();
            }
        }
    }
}

/// Waits for a message and takes the messages queued behind it, up to the limits of a batch.
async fn next_batch(messages: &mut Receiver<Vec<u8>>) -> Option<Vec<Vec<u8>>> {
    let first = messages.recv().await?;
    let mut bytes = first.len();
    let mut batch = vec![first];
    while batch.len() < MAX_BATCH_MESSAGES && bytes < FULL_BATCH_BYTES {
        let Ok(message) = messages.try_recv() else {
            break;
        };
        bytes += message.len();
        batch.push(message);
    }
    Some(batch)
}

async fn deliver(client: PeerClient, own: InstanceId, batch: Vec<Vec<u8>>) -> Result<(), RpcError> {
    let limit = Duration::from_millis(DELIVER_TIMEOUT_MS);
    client.deliver(call_context(limit), own, batch).await
}
