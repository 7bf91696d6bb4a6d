//! Links to other nodes, through which calls are sent to their backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use fleet::AnswerHead;
use fleet::CallHead;
use fleet::FailCause;
use fleet::LinkMessage;
use fleet::RefuseCause;
use link::LinkHealth;
use link::LinkReceiver;
use link::LinkSender;
use model::context::ServerLoad;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::retry::AttemptOutcome;
use crate::state::lock;

/// Largest chunk of a body in one message, in bytes.
pub(crate) const PIECE_BYTES: usize = 64 * 1024;
/// Timeout to connect to another node, in milliseconds.
const CONNECT_MS: u64 = 400;
/// Time without data from a node with calls in flight after which it is pinged, in milliseconds.
const ASK_MS: u64 = 120;
/// Time without data from such a node after which its link is closed, in milliseconds.
const GIVE_UP_MS: u64 = 900;
/// Retry-after delay when a node cannot be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(300);
/// Time beyond the deadline in which the other node may still report how the call ended, in
/// milliseconds.
const OVERTIME_MS: u64 = 30;

/// Outcome of a call to another node, and the load of its backend server if it was reported.
pub(crate) type PeerEnd = (AttemptOutcome, Option<ServerLoad>);

/// A call in flight.
#[derive(Debug)]
struct WaitingCall {
    answer: oneshot::Sender<PeerEnd>,
    /// Response whose body has not been received completely.
    partial: Option<(AnswerHead, BytesMut, ServerLoad)>,
}

/// A link to another node, with the calls in flight on it.
#[derive(Clone, Debug)]
struct NodeLink {
    sender: LinkSender<LinkMessage>,
    waiting: Arc<Mutex<HashMap<u64, WaitingCall>>>,
}

/// The current link to a node, and the lock that allows one task at a time to connect.
#[derive(Clone, Debug, Default)]
struct NodePeer {
    link: Arc<Mutex<Option<NodeLink>>>,
    connecting: Arc<tokio::sync::Mutex<()>>,
}

/// Links to other nodes, by address.
#[derive(Debug, Default)]
pub(crate) struct PeerLinks {
    peers: Mutex<HashMap<SocketAddr, NodePeer>>,
    next: AtomicU64,
}

impl PeerLinks {
    /// Sends a call to the node at `address` and waits for its outcome.
    ///
    /// When the returned future is dropped, the call is cancelled at the other node.
    pub(crate) async fn call(&self, address: SocketAddr, head: &CallHead, body: Bytes) -> PeerEnd {
        let Some(link) = self.link(address).await else {
            return (unreachable(), None);
        };
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let (answer, waiter) = oneshot::channel();
        let call = WaitingCall {
            answer,
            partial: None,
        };
        lock(&link.waiting).insert(id, call);
        let _guard = CallGuard { link: &link, id };
        if !send_call(&link.sender, id, head, body) {
            return (unreachable(), None);
        }
        let limit = head.time_left + Duration::from_millis(OVERTIME_MS);
        match timeout(limit, waiter).await {
            Ok(Ok(end)) => end,
            Ok(Err(_)) => (failed(FailCause::LinkLost), None),
            Err(_) => (failed(FailCause::Timeout), None),
        }
    }

    /// Pings nodes that have calls in flight but sent nothing for a while; must be called about
    /// every 50 ms.
    ///
    /// Returns the nodes that have not replied to the ping of an earlier probe. Their calls go on,
    /// but new ones should go to other nodes: if the node is down, a call sent to it counts as one
    /// that may have run.
    pub(crate) fn probe(&self) -> Vec<SocketAddr> {
        let peers: Vec<(SocketAddr, NodePeer)> = lock(&self.peers)
            .iter()
            .map(|(address, peer)| (*address, peer.clone()))
            .collect();
        let mut owing = Vec::new();
        for (address, peer) in peers {
            let link = lock(&peer.link).clone();
            let Some(link) = link else {
                continue;
            };
            if lock(&link.waiting).is_empty() {
                continue;
            }
            let ask = Duration::from_millis(ASK_MS);
            let give_up = Duration::from_millis(GIVE_UP_MS);
            match link.sender.probe(ask, give_up) {
                LinkHealth::Active | LinkHealth::PingSent => {}
                LinkHealth::PingUnanswered => owing.push(address),
                LinkHealth::TimedOut => {
                    owing.push(address);
                    let calls = lock(&link.waiting).len();
                    tracing::info!(event = "node-silent", peer = %address, calls);
                }
            }
        }
        owing
    }

    async fn link(&self, address: SocketAddr) -> Option<NodeLink> {
        let peer = lock(&self.peers).entry(address).or_default().clone();
        if let Some(link) = peer.open_link() {
            return Some(link);
        }
        let limit = Duration::from_millis(CONNECT_MS);
        let turn = timeout(limit, peer.connecting.lock()).await.ok()?;
        if let Some(link) = peer.open_link() {
            return Some(link);
        }
        let opened = link::connect(address, limit).await;
        let opened = opened.and_then(link::open::<LinkMessage, LinkMessage>);
        let link = match opened {
            Ok((sender, receiver)) => {
                let link = NodeLink {
                    sender,
                    waiting: Arc::default(),
                };
                tokio::spawn(receive(link.clone(), receiver));
                tracing::info!(event = "node-connected", peer = %address);
                link
            }
            Err(error) => {
                tracing::info!(event = "node-unreachable", peer = %address, %error);
                return None;
            }
        };
        *lock(&peer.link) = Some(link.clone());
        drop(turn);
        Some(link)
    }
}

impl NodePeer {
    fn open_link(&self) -> Option<NodeLink> {
        let link = lock(&self.link);
        link.as_ref()
            .filter(|link| !link.sender.is_closed())
            .cloned()
    }
}

/// Cancels a call at the other node when dropped before its outcome is known.
struct CallGuard<'a> {
    link: &'a NodeLink,
    id: u64,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if lock(&self.link.waiting).remove(&self.id).is_some() {
            self.link.sender.send(&LinkMessage::Cancel { id: self.id });
        }
    }
}

async fn receive(link: NodeLink, mut receiver: LinkReceiver<LinkMessage>) {
    while let Some(message) = receiver.next().await {
        link.take(message);
    }
    tracing::info!(event = "node-link-lost", calls = lock(&link.waiting).len());
    // Dropping the channels tells the waiting tasks that their calls may have run.
    lock(&link.waiting).clear();
}

impl NodeLink {
    fn take(&self, message: LinkMessage) {
        match message {
            LinkMessage::Answer {
                id,
                head,
                body,
                last,
                load,
            } => {
                if last {
                    let end = AttemptOutcome::Answered { head, body };
                    self.end(id, (end, Some(load)));
                } else if let Some(call) = lock(&self.waiting).get_mut(&id) {
                    call.partial = Some((head, BytesMut::from(&body[..]), load));
                }
            }
            LinkMessage::Data { id, body, last } => self.extend(id, &body, last),
            LinkMessage::Refused {
                id,
                cause,
                retry_after,
                load,
            } => {
                let end = AttemptOutcome::Refused { cause, retry_after };
                self.end(id, (end, Some(load)));
            }
            LinkMessage::Failed { id, cause, load } => {
                self.end(id, (failed(cause), Some(load)));
            }
            LinkMessage::Call { .. } | LinkMessage::Cancel { .. } => {
                tracing::warn!(event = "message-unexpected");
            }
        }
    }

    fn extend(&self, id: u64, piece: &[u8], last: bool) {
        let mut waiting = lock(&self.waiting);
        let Some(call) = waiting.get_mut(&id) else {
            return;
        };
        if let Some((_, body, _)) = &mut call.partial {
            body.extend_from_slice(piece);
        }
        if !last {
            return;
        }
        let partial = call.partial.take();
        drop(waiting);
        if let Some((head, body, load)) = partial {
            let body = body.freeze();
            self.end(id, (AttemptOutcome::Answered { head, body }, Some(load)));
        }
    }

    fn end(&self, id: u64, end: PeerEnd) {
        if let Some(call) = lock(&self.waiting).remove(&id) {
            // Sending fails when the waiting task was cancelled meanwhile.
            let _ = call.answer.send(end);
        }
    }
}

fn send_call(sender: &LinkSender<LinkMessage>, id: u64, head: &CallHead, mut body: Bytes) -> bool {
    let first = body.split_to(body.len().min(PIECE_BYTES));
    let mut sent = sender.send(&LinkMessage::Call {
        id,
        head: Box::new(head.clone()),
        body: first,
        last: body.is_empty(),
    });
    while sent && !body.is_empty() {
        sent = send_piece(sender, id, &mut body);
    }
    sent
}

/// Sends the next chunk of a body; returns whether the link was still open.
pub(crate) fn send_piece(sender: &LinkSender<LinkMessage>, id: u64, rest: &mut Bytes) -> bool {
    let body = rest.split_to(rest.len().min(PIECE_BYTES));
    let last = rest.is_empty();
    sender.send(&LinkMessage::Data { id, body, last })
}

const fn unreachable() -> AttemptOutcome {
    AttemptOutcome::Refused {
        cause: RefuseCause::ConnectFailed,
        retry_after: UNREACHABLE_RETRY,
    }
}

const fn failed(cause: FailCause) -> AttemptOutcome {
    AttemptOutcome::Failed { cause }
}
