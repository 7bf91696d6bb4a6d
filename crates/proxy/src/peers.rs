//! Links to other nodes, through which calls are sent to their backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use fleet::CallHead;
use fleet::FailureReason;
use fleet::NodeMessage;
use fleet::RefusalReason;
use fleet::ResponseHead;
use link::LinkHealth;
use link::LinkReceiver;
use link::LinkSender;
use model::context::ServerLoad;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::local_server::MAX_RESPONSE_BYTES;
use crate::memory_budget::BodyBuffer;
use crate::memory_budget::BodyTooLarge;
use crate::memory_budget::MemoryBudget;
use crate::open_call::CallProgress;
use crate::reported_paces::ReportedPaces;
use crate::retry::AttemptOutcome;
use crate::state::lock;

/// Largest chunk of a body in one message, in bytes.
pub(crate) const BODY_CHUNK_BYTES: usize = 64 * 1024;
/// Timeout to connect to another node, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Time without data from a node with calls in flight after which it is pinged, in milliseconds.
const PING_AFTER_MS: u64 = 120;
/// Time without data from such a node after which its link is closed, in milliseconds.
const CLOSE_AFTER_MS: u64 = 900;
/// Retry-after delay when a node cannot be reached.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Time beyond the deadline in which the other node may still report how the call ended, in
/// milliseconds.
const DEADLINE_GRACE_MS: u64 = 30;

/// Outcome of a call to another node, and the load of its backend server if it was reported.
pub(crate) type PeerOutcome = (AttemptOutcome, Option<ServerLoad>);

/// A call in flight.
#[derive(Debug)]
struct PendingCall {
    outcome: oneshot::Sender<PeerOutcome>,
    /// Response whose body has not been received completely.
    incomplete: Option<(ResponseHead, BodyBuffer, ServerLoad)>,
}

/// A link to another node, with the calls in flight on it.
#[derive(Clone, Debug)]
struct PeerLink {
    sender: LinkSender<NodeMessage>,
    pending: Arc<Mutex<HashMap<u64, PendingCall>>>,
    answer_memory: MemoryBudget,
    address: SocketAddr,
    paces: ReportedPaces,
}

/// The current link to a node, and the lock that allows one task at a time to connect.
#[derive(Clone, Debug, Default)]
struct Peer {
    link: Arc<Mutex<Option<PeerLink>>>,
    connect_lock: Arc<tokio::sync::Mutex<()>>,
}

/// Links to other nodes, by address.
#[derive(Debug)]
pub(crate) struct PeerPool {
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    next_id: AtomicU64,
    answer_memory: MemoryBudget,
    /// Paces that the other nodes sent.
    pub(crate) paces: ReportedPaces,
}

impl PeerPool {
    pub(crate) fn new(answer_memory: MemoryBudget) -> Self {
        Self {
            peers: Mutex::default(),
            next_id: AtomicU64::new(0),
            answer_memory,
            paces: ReportedPaces::default(),
        }
    }

    /// Sends a call to the node at `address` and waits for its outcome.
    ///
    /// When the returned future is dropped, the call is cancelled at the other node.
    pub(crate) async fn send_call(
        &self,
        address: SocketAddr,
        head: &CallHead,
        body: Bytes,
        progress: &CallProgress,
    ) -> PeerOutcome {
        let Some(link) = self.link_to(address).await else {
            return (unreachable_outcome(), None);
        };
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (outcome, waiter) = oneshot::channel();
        let call = PendingCall {
            outcome,
            incomplete: None,
        };
        lock(&link.pending).insert(id, call);
        let _guard = CancelOnDrop { link: &link, id };
        progress.begin_send();
        let exchange = async {
            if send_call_messages(&link.sender, id, head, body).await {
                let outcome = waiter.await;
                outcome.unwrap_or_else(|_| (failed_outcome(FailureReason::LinkLost), None))
            } else {
                (unreachable_outcome(), None)
            }
        };
        let limit = head.time_left + Duration::from_millis(DEADLINE_GRACE_MS);
        let outcome = timeout(limit, exchange).await;
        outcome.unwrap_or_else(|_| (failed_outcome(FailureReason::Timeout), None))
    }

    /// Pings nodes that have calls in flight but sent nothing for a while; must be called about
    /// every 50 ms.
    ///
    /// Returns the nodes that have not replied to the ping of an earlier probe. Their calls go on,
    /// but new ones should go to other nodes: if the node is down, a call sent to it counts as one
    /// that may have run.
    pub(crate) fn probe(&self) -> Vec<SocketAddr> {
        let peers: Vec<(SocketAddr, Peer)> = lock(&self.peers)
            .iter()
            .map(|(address, peer)| (*address, peer.clone()))
            .collect();
        let mut unresponsive = Vec::new();
        for (address, peer) in peers {
            let link = lock(&peer.link).clone();
            let Some(link) = link else {
                continue;
            };
            if lock(&link.pending).is_empty() {
                continue;
            }
            let ping_after = Duration::from_millis(PING_AFTER_MS);
            let close_after = Duration::from_millis(CLOSE_AFTER_MS);
            match link.sender.probe(ping_after, close_after) {
                LinkHealth::Active | LinkHealth::PingSent => {}
                LinkHealth::PingUnanswered => unresponsive.push(address),
                LinkHealth::TimedOut => {
                    unresponsive.push(address);
                    let calls = lock(&link.pending).len();
                    tracing::info!(event = "node-silent", peer = %address, calls);
                }
            }
        }
        unresponsive
    }

    async fn link_to(&self, address: SocketAddr) -> Option<PeerLink> {
        let peer = lock(&self.peers).entry(address).or_default().clone();
        if let Some(link) = peer.open_link() {
            return Some(link);
        }
        let limit = Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connect_guard = timeout(limit, peer.connect_lock.lock()).await.ok()?;
        if let Some(link) = peer.open_link() {
            return Some(link);
        }
        let opened = link::connect(address, limit).await;
        let opened = opened.and_then(link::open::<NodeMessage, NodeMessage>);
        let link = match opened {
            Ok((sender, receiver)) => {
                let link = PeerLink {
                    sender,
                    pending: Arc::default(),
                    answer_memory: self.answer_memory.clone(),
                    address,
                    paces: self.paces.clone(),
                };
                tokio::spawn(receive_messages(link.clone(), receiver));
                tracing::info!(event = "node-connected", peer = %address);
                link
            }
            Err(error) => {
                tracing::info!(event = "node-unreachable", peer = %address, %error);
                return None;
            }
        };
        *lock(&peer.link) = Some(link.clone());
        drop(connect_guard);
        Some(link)
    }
}

impl Peer {
    fn open_link(&self) -> Option<PeerLink> {
        let link = lock(&self.link);
        link.as_ref()
            .filter(|link| !link.sender.is_closed())
            .cloned()
    }
}

/// Cancels a call at the other node when dropped before its outcome is known.
struct CancelOnDrop<'a> {
    link: &'a PeerLink,
    id: u64,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if lock(&self.link.pending).remove(&self.id).is_some() {
            self.link.sender.send(&NodeMessage::Cancel { id: self.id });
        }
    }
}

async fn receive_messages(link: PeerLink, mut receiver: LinkReceiver<NodeMessage>) {
    while let Some(message) = receiver.next().await {
        link.handle_message(message);
    }
    tracing::info!(event = "node-link-lost", calls = lock(&link.pending).len());
    // Dropping the channels tells the waiting tasks that their calls may have run.
    lock(&link.pending).clear();
}

impl PeerLink {
    fn handle_message(&self, message: NodeMessage) {
        match message {
            NodeMessage::Response {
                id,
                head,
                body,
                last,
                load,
            } => {
                let mut buffer = self.answer_memory.buffer(MAX_RESPONSE_BYTES);
                if let Err(error) = buffer.append(&body) {
                    self.give_up(id, error);
                } else if last {
                    let body = buffer.freeze();
                    self.complete(id, (AttemptOutcome::Answered { head, body }, Some(load)));
                } else if let Some(call) = lock(&self.pending).get_mut(&id) {
                    call.incomplete = Some((head, buffer, load));
                }
            }
            NodeMessage::Data { id, body, last } => self.append_body(id, &body, last),
            NodeMessage::Refused {
                id,
                cause,
                retry_after,
                load,
            } => {
                let outcome = AttemptOutcome::Refused { cause, retry_after };
                self.complete(id, (outcome, Some(load)));
            }
            NodeMessage::Failed { id, cause, load } => {
                self.complete(id, (failed_outcome(cause), Some(load)));
            }
            NodeMessage::Pace { pace } => self.paces.add(self.address, pace),
            NodeMessage::Call { .. } | NodeMessage::Cancel { .. } => {
                tracing::warn!(event = "message-unexpected");
            }
        }
    }

    fn append_body(&self, id: u64, chunk: &[u8], last: bool) {
        let mut pending = lock(&self.pending);
        let Some(call) = pending.get_mut(&id) else {
            return;
        };
        let Some((_, buffer, _)) = &mut call.incomplete else {
            return;
        };
        if let Err(error) = buffer.append(chunk) {
            drop(pending);
            self.give_up(id, error);
            return;
        }
        if !last {
            return;
        }
        let incomplete = call.incomplete.take();
        drop(pending);
        if let Some((head, buffer, load)) = incomplete {
            let body = buffer.freeze();
            self.complete(id, (AttemptOutcome::Answered { head, body }, Some(load)));
        }
    }

    /// Ends a call whose answer does not fit, here and at the other node.
    fn give_up(&self, id: u64, error: BodyTooLarge) {
        tracing::info!(event = "answer-given-up", id, %error);
        self.complete(id, (failed_outcome(FailureReason::BadResponse), None));
        self.sender.send(&NodeMessage::Cancel { id });
    }

    fn complete(&self, id: u64, outcome: PeerOutcome) {
        if let Some(call) = lock(&self.pending).remove(&id) {
            // Sending fails when the waiting task was cancelled meanwhile.
            let _ = call.outcome.send(outcome);
        }
    }
}

async fn send_call_messages(
    sender: &LinkSender<NodeMessage>,
    id: u64,
    head: &CallHead,
    mut body: Bytes,
) -> bool {
    let first = body.split_to(body.len().min(BODY_CHUNK_BYTES));
    let mut sent = sender.send(&NodeMessage::Call {
        id,
        head: Box::new(head.clone()),
        body: first,
        last: body.is_empty(),
    });
    while sent && !body.is_empty() {
        sent = sender.ready().await && send_chunk(sender, id, &mut body);
    }
    sent
}

/// Sends the next chunk of a body; returns whether the link was still open.
pub(crate) fn send_chunk(sender: &LinkSender<NodeMessage>, id: u64, rest: &mut Bytes) -> bool {
    let body = rest.split_to(rest.len().min(BODY_CHUNK_BYTES));
    let last = rest.is_empty();
    sender.send(&NodeMessage::Data { id, body, last })
}

const fn unreachable_outcome() -> AttemptOutcome {
    AttemptOutcome::Refused {
        cause: RefusalReason::ConnectFailed,
        retry_after: UNREACHABLE_RETRY_AFTER,
    }
}

const fn failed_outcome(cause: FailureReason) -> AttemptOutcome {
    AttemptOutcome::Failed { cause }
}
