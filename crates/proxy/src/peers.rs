//! Links to other nodes, over which calls are sent to the backend servers beside them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
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

use crate::fate::CallEnd;
use crate::state::lock;

/// Largest piece of a body in one message, in bytes.
pub(crate) const PIECE_BYTES: usize = 64 * 1024;
/// Time to connect to another node, in milliseconds.
const CONNECT_MS: u64 = 400;
/// Silence of a node with calls under way after which it is asked for a sign, in milliseconds.
const ASK_MS: u64 = 120;
/// Silence after which its link is given up, in milliseconds.
const GIVE_UP_MS: u64 = 900;
/// Delay named when a node cannot be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_millis(300);
/// Time that a node is given beyond the deadline to say how the call ended, in milliseconds.
const OVERTIME_MS: u64 = 30;

/// How a call to another node ended, with the load that its answer told.
pub(crate) type PeerEnd = (CallEnd, Option<ServerLoad>);

/// A call that waits for its answer.
#[derive(Debug)]
struct WaitingCall {
    answer: oneshot::Sender<PeerEnd>,
    /// An answer of which more is to come.
    partial: Option<(ResponseHead, BytesMut, ServerLoad)>,
}

/// One link with the calls that are under way on it.
#[derive(Clone, Debug)]
struct NodeLink {
    sender: LinkSender<NodeMessage>,
    waiting: Arc<Mutex<HashMap<u64, WaitingCall>>>,
}

/// A node's link, and the turn to connect it.
#[derive(Clone, Debug, Default)]
struct NodePeer {
    link: Arc<Mutex<Option<NodeLink>>>,
    connecting: Arc<tokio::sync::Mutex<()>>,
}

/// Links to other nodes, by their address.
#[derive(Debug, Default)]
pub(crate) struct PeerLinks {
    peers: Mutex<HashMap<SocketAddr, NodePeer>>,
    next: AtomicU64,
}

impl PeerLinks {
    /// Sends a call to the node at `address` and waits for its end.
    ///
    /// When this is dropped, the other node is told that nobody waits any more.
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
            Ok(Err(_)) => (failed(FailureReason::LinkLost), None),
            Err(_) => (failed(FailureReason::Timeout), None),
        }
    }

    /// Asks silent nodes with calls under way for a sign; call it every 50 ms or so.
    ///
    /// Returns the nodes that have owed a sign since an earlier call of this. Their
    /// calls go on, but new ones are better sent elsewhere: none of them could be
    /// said not to have run.
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
                LinkHealth::Lively | LinkHealth::Asked => {}
                LinkHealth::Owing => owing.push(address),
                LinkHealth::Silent => {
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
        let opened = opened.and_then(link::open::<NodeMessage, NodeMessage>);
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

/// Ends a call at the other node when nobody waits for it any more.
struct CallGuard<'a> {
    link: &'a NodeLink,
    id: u64,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if lock(&self.link.waiting).remove(&self.id).is_some() {
            self.link.sender.send(&NodeMessage::Cancel { id: self.id });
        }
    }
}

async fn receive(link: NodeLink, mut receiver: LinkReceiver<NodeMessage>) {
    while let Some(message) = receiver.next().await {
        link.take(message);
    }
    tracing::info!(event = "node-link-lost", calls = lock(&link.waiting).len());
    // Those who wait learn from it that their calls may have run.
    lock(&link.waiting).clear();
}

impl NodeLink {
    fn take(&self, message: NodeMessage) {
        match message {
            NodeMessage::Response {
                id,
                head,
                body,
                last,
                load,
            } => {
                if last {
                    let end = CallEnd::Answered { head, body };
                    self.end(id, (end, Some(load)));
                } else if let Some(call) = lock(&self.waiting).get_mut(&id) {
                    call.partial = Some((head, BytesMut::from(&body[..]), load));
                }
            }
            NodeMessage::Data { id, body, last } => self.extend(id, &body, last),
            NodeMessage::Refused {
                id,
                cause,
                retry_after,
                load,
            } => {
                let end = CallEnd::Refused { cause, retry_after };
                self.end(id, (end, Some(load)));
            }
            NodeMessage::Failed { id, cause, load } => {
                self.end(id, (failed(cause), Some(load)));
            }
            NodeMessage::Call { .. } | NodeMessage::Cancel { .. } => {
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
            self.end(id, (CallEnd::Answered { head, body }, Some(load)));
        }
    }

    fn end(&self, id: u64, end: PeerEnd) {
        if let Some(call) = lock(&self.waiting).remove(&id) {
            // The caller may have given up meanwhile.
            let _ = call.answer.send(end);
        }
    }
}

fn send_call(sender: &LinkSender<NodeMessage>, id: u64, head: &CallHead, mut body: Bytes) -> bool {
    let first = body.split_to(body.len().min(PIECE_BYTES));
    let mut sent = sender.send(&NodeMessage::Call {
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

/// Sends the next piece of a body.
pub(crate) fn send_piece(sender: &LinkSender<NodeMessage>, id: u64, rest: &mut Bytes) -> bool {
    let body = rest.split_to(rest.len().min(PIECE_BYTES));
    let last = rest.is_empty();
    sender.send(&NodeMessage::Data { id, body, last })
}

const fn unreachable() -> CallEnd {
    CallEnd::Refused {
        cause: RefusalReason::ConnectFailed,
        retry_after: UNREACHABLE_RETRY,
    }
}

const fn failed(cause: FailureReason) -> CallEnd {
    CallEnd::Failed { cause }
}
