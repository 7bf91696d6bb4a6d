//! Calls that other nodes send to the backend server beside this one.

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;
use bytes::BytesMut;
use clock::Clock;
use fleet::CallHead;
use fleet::NodeMessage;
use fleet::ProtocolAdapter;
use link::LinkReceiver;
use link::LinkSender;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::fate::CallEnd;
use crate::peers::PIECE_BYTES;
use crate::peers::send_piece;
use crate::state::ProxyState;

/// Largest body of a call, in bytes.
const BODY_BYTES: usize = 64 * 1024 * 1024;
/// Calls after which the ones that have ended are swept from the list.
const SWEEP_CALLS: usize = 256;

/// Serves links until the listener fails.
pub(crate) async fn serve<C: Clock, D: ProtocolAdapter>(
    state: ProxyState<C, D>,
    listener: TcpListener,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                tokio::spawn(serve_link(state.clone(), stream, peer));
            }
            Err(error) => tracing::warn!(event = "accept-failed", listener = "links", %error),
        }
    }
}

async fn serve_link<C: Clock, D: ProtocolAdapter>(
    state: ProxyState<C, D>,
    stream: TcpStream,
    peer: SocketAddr,
) {
    match link::open(stream) {
        Ok((sender, receiver)) => {
            let session = InboundSession {
                state,
                sender,
                running: HashMap::new(),
                partial: HashMap::new(),
            };
            session.run(receiver).await;
        }
        Err(error) => tracing::debug!(event = "link-not-opened", %peer, %error),
    }
}

/// One link of another node with its calls.
struct InboundSession<C, D> {
    state: ProxyState<C, D>,
    sender: LinkSender<NodeMessage>,
    running: HashMap<u64, AbortHandle>,
    /// Calls whose body is not whole yet.
    partial: HashMap<u64, (CallHead, BytesMut)>,
}

impl<C: Clock, D: ProtocolAdapter> InboundSession<C, D> {
    async fn run(mut self, mut receiver: LinkReceiver<NodeMessage>) {
        while let Some(message) = receiver.next().await {
            self.take(message);
        }
        for call in self.running.into_values() {
            call.abort();
        }
    }

    fn take(&mut self, message: NodeMessage) {
        match message {
            NodeMessage::Call {
                id,
                head,
                body,
                last,
            } => {
                if last {
                    self.start(id, *head, body);
                } else {
                    let body = BytesMut::from(&body[..]);
                    self.partial.insert(id, (*head, body));
                }
            }
            NodeMessage::Data { id, body, last } => self.extend(id, &body, last),
            NodeMessage::Cancel { id } => {
                self.partial.remove(&id);
                if let Some(call) = self.running.remove(&id) {
                    call.abort();
                }
            }
            NodeMessage::Response { .. }
            | NodeMessage::Refused { .. }
            | NodeMessage::Failed { .. } => tracing::warn!(event = "message-unexpected"),
        }
    }

    fn extend(&mut self, id: u64, piece: &[u8], last: bool) {
        let Some((_, body)) = self.partial.get_mut(&id) else {
            return;
        };
        if body.len() + piece.len() > BODY_BYTES {
            tracing::warn!(event = "body-too-large", id);
            self.partial.remove(&id);
            return;
        }
        body.extend_from_slice(piece);
        if last && let Some((head, body)) = self.partial.remove(&id) {
            self.start(id, head, body.freeze());
        }
    }

    fn start(&mut self, id: u64, head: CallHead, body: Bytes) {
        if self.running.len() >= SWEEP_CALLS {
            self.running.retain(|_, call| !call.is_finished());
        }
        let (state, sender) = (self.state.clone(), self.sender.clone());
        let call = tokio::spawn(async move {
            let end = state.server.run(&state, &head, body).await;
            let load = state.server.load();
            report(&sender, id, end, load);
        });
        self.running.insert(id, call.abort_handle());
    }
}

fn report(
    sender: &LinkSender<NodeMessage>,
    id: u64,
    end: CallEnd,
    load: model::context::ServerLoad,
) {
    match end {
        CallEnd::Answered { head, mut body } => {
            let first = body.split_to(body.len().min(PIECE_BYTES));
            let mut sent = sender.send(&NodeMessage::Response {
                id,
                head,
                body: first,
                last: body.is_empty(),
                load,
            });
            while sent && !body.is_empty() {
                sent = send_piece(sender, id, &mut body);
            }
        }
        CallEnd::Refused { cause, retry_after } => {
            sender.send(&NodeMessage::Refused {
                id,
                cause,
                retry_after,
                load,
            });
        }
        CallEnd::Failed { cause } => {
            sender.send(&NodeMessage::Failed { id, cause, load });
        }
    }
}
