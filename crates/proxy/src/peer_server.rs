//! Server for calls that other nodes send to the local backend server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use fleet::CallHead;
use fleet::FailureReason;
use fleet::NodeMessage;
use fleet::ProtocolAdapter;
use fleet::RefusalReason;
use link::LinkReceiver;
use link::LinkSender;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::local_server::UNAVAILABLE_RETRY_AFTER;
use crate::memory_budget::BodyBuffer;
use crate::open_call::OpenCall;
use crate::peers::BODY_CHUNK_BYTES;
use crate::peers::send_chunk;
use crate::retry::AttemptOutcome;
use crate::state::ProxyState;

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// Retry-after delay when a request body does not fit into the memory for bodies.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Number of listed calls from which on the ended ones are removed before the next starts.
const CLEANUP_CALLS: usize = 256;

/// Time beyond the deadline of a call after which its answer is given up, in milliseconds. A node
/// that reads has cancelled the call before.
const ANSWER_GRACE_MS: u64 = 500;

/// Accepts links from other nodes on `listener` and serves their calls, until links close.
///
/// From then on connects are refused, so that other nodes know that their calls have not run.
pub(crate) async fn serve<C: Clock, A: ProtocolAdapter>(
    state: ProxyState<C, A>,
    listener: TcpListener,
) {
    loop {
        let (stream, peer) = tokio::select! {
            accepted = link::accept(&listener, "links") => accepted,
            () = state.stop.links_closing() => return,
        };
        let link = serve_link(state.clone(), stream, peer);
        state.stop.links.spawn(link);
    }
}

async fn serve_link<C: Clock, A: ProtocolAdapter>(
    state: ProxyState<C, A>,
    stream: TcpStream,
    peer: SocketAddr,
) {
    match link::open(stream) {
        Ok((sender, receiver)) => {
            let session = PeerSession {
                state,
                sender,
                running: HashMap::new(),
                incomplete: HashMap::new(),
            };
            session.run(receiver).await;
        }
        Err(error) => tracing::debug!(event = "link-not-opened", %peer, %error),
    }
}

/// A link from another node, with the calls received on it.
struct PeerSession<C, A> {
    state: ProxyState<C, A>,
    sender: LinkSender<NodeMessage>,
    running: HashMap<u64, AbortHandle>,
    /// Calls whose body has not been received completely.
    incomplete: HashMap<u64, (CallHead, BodyBuffer)>,
}

impl<C: Clock, A: ProtocolAdapter> PeerSession<C, A> {
    async fn run(mut self, mut receiver: LinkReceiver<NodeMessage>) {
        let (state, sender) = (self.state.clone(), self.sender.clone());
        let (stop, pace_sender) = (&state.stop, self.sender.clone());
        let unflushed = stop.unflushed_links.token();
        // Calls that arrive while any node reads its answers slowly are still refused.
        let flush = async move {
            stop.links_closing().await;
            sender.flushed().await;
            drop(unflushed);
            stop.links_flushed().await;
            sender.flushed().await;
        };
        let is_open = tokio::select! {
            () = self.receive(&mut receiver) => false,
            () = stop.finishing() => true,
            never = state.server.send_paces(pace_sender) => match never {},
        };
        if is_open {
            self.refuse_incomplete();
            tokio::select! {
                () = self.receive(&mut receiver) => {}
                () = flush => {}
            }
        }
        for call in self.running.into_values() {
            call.abort();
        }
    }

    async fn receive(&mut self, receiver: &mut LinkReceiver<NodeMessage>) {
        while let Some(message) = receiver.next().await {
            self.handle_message(message);
        }
    }

    fn handle_message(&mut self, message: NodeMessage) {
        match message {
            NodeMessage::Call {
                id,
                head,
                body,
                last,
            } => {
                if last {
                    self.start_call(id, *head, body);
                } else if !self.state.stop.takes_calls(self.state.now()) {
                    self.refuse(id, RefusalReason::Draining, UNAVAILABLE_RETRY_AFTER);
                } else {
                    let buffer = self.state.request_memory.buffer(MAX_BODY_BYTES);
                    self.incomplete.insert(id, (*head, buffer));
                    self.append_body(id, &body, last);
                }
            }
            NodeMessage::Data { id, body, last } => self.append_body(id, &body, last),
            NodeMessage::Cancel { id } => {
                self.incomplete.remove(&id);
                if let Some(call) = self.running.remove(&id) {
                    call.abort();
                }
            }
            NodeMessage::Response { .. }
            | NodeMessage::Refused { .. }
            | NodeMessage::Failed { .. }
            | NodeMessage::Pace { .. } => tracing::warn!(event = "message-unexpected"),
        }
    }

    fn append_body(&mut self, id: u64, chunk: &[u8], last: bool) {
        let Some((_, buffer)) = self.incomplete.get_mut(&id) else {
            return;
        };
        if let Err(error) = buffer.append(chunk) {
            tracing::info!(event = "body-given-up", id, %error);
            self.incomplete.remove(&id);
            self.refuse(id, RefusalReason::Overloaded, NO_MEMORY_RETRY_AFTER);
            return;
        }
        if last && let Some((head, buffer)) = self.incomplete.remove(&id) {
            self.start_call(id, head, buffer.freeze());
        }
    }

    /// Refuses the calls whose body is under way, since none of them will start any more.
    fn refuse_incomplete(&mut self) {
        for (id, _) in std::mem::take(&mut self.incomplete) {
            self.refuse(id, RefusalReason::Draining, UNAVAILABLE_RETRY_AFTER);
        }
    }

    /// Refuses a call that was not started.
    fn refuse(&self, id: u64, cause: RefusalReason, retry_after: Duration) {
        self.sender.send(&NodeMessage::Refused {
            id,
            cause,
            retry_after,
            load: self.state.server.load(self.state.now()),
        });
    }

    fn start_call(&mut self, id: u64, mut head: CallHead, body: Bytes) {
        let now = self.state.now();
        if !self.state.stop.takes_calls(now) {
            self.refuse(id, RefusalReason::Draining, UNAVAILABLE_RETRY_AFTER);
            return;
        }
        let answer_until = now + head.time_left + Duration::from_millis(ANSWER_GRACE_MS);
        let deadline = self.state.stop.limit_deadline(now + head.time_left);
        head.time_left = deadline.saturating_duration_since(now);
        if self.running.len() >= CLEANUP_CALLS {
            self.running.retain(|_, call| !call.is_finished());
        }
        let (state, sender) = (self.state.clone(), self.sender.clone());
        let call = OpenCall::new(state.clone(), head.attempt.clone(), now);
        call.set_route(&head.route);
        let calls = self.state.stop.calls.clone();
        let call = calls.spawn(async move {
            let progress = call.progress();
            let outcome = tokio::select! {
                biased;
                outcome = state.server.run_call(&state, &head, body, progress) => outcome,
                () = state.stop.ending() => stopping_outcome(progress.may_have_run()),
            };
            let load = state.server.load(state.now());
            let limit = answer_until.saturating_duration_since(state.now());
            let sending = send_outcome(&sender, id, outcome, load);
            if timeout(limit, sending).await.is_err() {
                // Part of the answer was sent, so the other node has to learn that the rest is not.
                tracing::warn!(event = "answer-given-up", id, reason = "not read");
                sender.close();
            }
            call.finish();
        });
        self.running.insert(id, call.abort_handle());
    }
}

/// Returns the outcome of a call that this node gives up since it stops.
const fn stopping_outcome(may_have_run: bool) -> AttemptOutcome {
    if may_have_run {
        let cause = FailureReason::Timeout;
        return AttemptOutcome::Failed { cause };
    }
    AttemptOutcome::Refused {
        cause: RefusalReason::Draining,
        retry_after: UNAVAILABLE_RETRY_AFTER,
    }
}

async fn send_outcome(
    sender: &LinkSender<NodeMessage>,
    id: u64,
    outcome: AttemptOutcome,
    load: model::context::ServerLoad,
) {
    match outcome {
        AttemptOutcome::Answered { head, mut body } => {
            let first = body.split_to(body.len().min(BODY_CHUNK_BYTES));
            let mut sent = sender.send(&NodeMessage::Response {
                id,
                head,
                body: first,
                last: body.is_empty(),
                load,
            });
            while sent && !body.is_empty() {
                sent = sender.ready().await && send_chunk(sender, id, &mut body);
            }
        }
        AttemptOutcome::Refused { cause, retry_after } => {
            sender.send(&NodeMessage::Refused {
                id,
                cause,
                retry_after,
                load,
            });
        }
        AttemptOutcome::Failed { cause } => {
            sender.send(&NodeMessage::Failed { id, cause, load });
        }
    }
}
