//! A connection whose requests are read ahead of their answers.

use std::collections::VecDeque;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use clock::Clock;
use fleet::ProtocolAdapter;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::answer_queue::AnswerQueue;
use crate::answer_queue::RequestTicket;
use crate::ingress::OpenRequest;
use crate::ingress::answer_request;
use crate::ingress::answer_writer::AnswerWriter;
use crate::ingress::connection::MAX_HEAD_BUFFER_BYTES;
use crate::ingress::open_request;
use crate::ingress::refusal::BufferedResponse;
use crate::ingress::request_host;
use crate::ingress::request_parser::NotPlain;
use crate::ingress::request_parser::take_request;
use crate::ingress::request_path;
use crate::open_call::OpenCall;
use crate::state::ProxyState;

/// Free space that a read needs, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Longest wait for a caller that has sent ahead to read the last answer, in milliseconds; unread
/// requests would otherwise reset the connection under that answer.
const CLOSE_WAIT_MS: u64 = 500;

/// A request that has begun, and its place in the order of the answers.
type BegunRequest<C, A> = (RequestTicket, OpenRequest<C, A, Full<Bytes>>);

/// A request that has been read and may not begin yet.
struct WaitingRequest {
    request: Request<Full<Bytes>>,
    /// When it was read: its caller's time runs from then on.
    read_at: Instant,
}

/// A connection on which the HTTP library goes on.
pub(super) struct HandedOver {
    /// What has arrived and is not read.
    pub(super) input: BytesMut,
    pub(super) reader: OwnedReadHalf,
    pub(super) writer: OwnedWriteHalf,
}

/// Why nothing more is read from a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReadStop {
    /// The next request is one for the HTTP library.
    HandOver,
    /// The caller has left, or sent nothing for too long, or the node ends.
    Ended,
    /// The last answer has been written.
    Closed,
}

/// A connection and the requests that have begun on it.
struct PipelinedConnection<'a, C: Clock, A: ProtocolAdapter> {
    state: &'a ProxyState<C, A>,
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    input: BytesMut,
    queue: AnswerQueue<BufferedResponse>,
    /// The calls of the requests whose answers are not written, in order.
    calls: VecDeque<Arc<OpenCall<C, A>>>,
    output: AnswerWriter,
    waiting: Option<WaitingRequest>,
    /// Whether the next request is one for the HTTP library.
    must_hand_over: bool,
    /// Whether the connection closes once no request is under way.
    closes_when_idle: bool,
    /// Whether the caller has sent a request before the answer to the one before.
    sends_ahead: bool,
    idle_since: Instant,
}

/// Serves the requests on a connection until it ends, or until one comes that only the HTTP library
/// reads.
pub(super) async fn serve_pipelined<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    stream: TcpStream,
    head_timeout: Duration,
) -> Option<HandedOver> {
    let (reader, writer) = stream.into_split();
    let mut connection = PipelinedConnection {
        state,
        reader,
        writer,
        input: BytesMut::new(),
        queue: AnswerQueue::default(),
        calls: VecDeque::new(),
        output: AnswerWriter::default(),
        waiting: None,
        must_hand_over: false,
        closes_when_idle: false,
        sends_ahead: false,
        idle_since: state.now(),
    };
    let stop = match connection.run(head_timeout).await {
        Ok(stop) => stop,
        Err(error) => {
            tracing::debug!(event = "caller-link-ended", %error);
            ReadStop::Ended
        }
    };
    // Nothing more can be written, or everything is.
    connection.calls.iter().for_each(|call| call.finish());
    match stop {
        ReadStop::Ended => None,
        ReadStop::Closed => {
            connection.close().await;
            None
        }
        ReadStop::HandOver => Some(HandedOver {
            input: connection.input,
            reader: connection.reader,
            writer: connection.writer,
        }),
    }
}

impl<C: Clock, A: ProtocolAdapter> PipelinedConnection<'_, C, A> {
    async fn run(&mut self, head_timeout: Duration) -> io::Result<ReadStop> {
        let state = self.state;
        let mut running = FuturesUnordered::new();
        let mut closing = pin!(state.stop.connections_closing());
        let mut ending = pin!(state.stop.ending());
        let mut idle_timer = pin!(sleep(head_timeout));
        loop {
            while let Some((ticket, request)) = self.begin_next() {
                running.push(async move { (ticket, answer_request(state, request).await) });
            }
            self.write_next();
            if let Some(stop) = self.stop() {
                return Ok(stop);
            }
            if self.input.capacity() - self.input.len() < READ_BYTES {
                self.input.reserve(READ_BYTES);
            }
            tokio::select! {
                read = self.reader.read_buf(&mut self.input),
                    if self.input.len() < MAX_HEAD_BUFFER_BYTES =>
                {
                    if read? == 0 {
                        // Dropping what runs tells the backend servers that the caller has left.
                        return Ok(ReadStop::Ended);
                    }
                }
                Some((ticket, answer)) = running.next(), if !running.is_empty() => {
                    self.queue.answer(ticket, answer);
                }
                written = self.output.write_part(&mut self.writer), if !self.output.is_empty() => {
                    written?;
                    self.note_written();
                }
                () = &mut closing, if !self.closes_when_idle => self.closes_when_idle = true,
                () = &mut ending, if self.is_idle() => return Ok(ReadStop::Ended),
                () = &mut idle_timer, if self.is_idle() => {
                    let idle = state.now().saturating_duration_since(self.idle_since);
                    let left = head_timeout.saturating_sub(idle);
                    if left.is_zero() {
                        return Ok(ReadStop::Ended);
                    }
                    idle_timer.set(sleep(left));
                }
            }
        }
    }

    /// Begins the next request if it has arrived and may begin.
    fn begin_next(&mut self) -> Option<BegunRequest<C, A>> {
        if self.waiting.is_none() && !self.must_hand_over && !self.queue.is_closing() {
            match take_request(&mut self.input) {
                Ok(Some(request)) => {
                    self.waiting = Some(WaitingRequest {
                        request: request.map(Full::new),
                        read_at: self.state.now(),
                    });
                }
                Ok(None) => self.must_hand_over = self.input.len() >= MAX_HEAD_BUFFER_BYTES,
                Err(NotPlain) => self.must_hand_over = true,
            }
        }
        let waiting = self.waiting.as_ref()?;
        self.sends_ahead |= !self.queue.is_empty();
        let is_repeatable = is_repeatable(self.state, &waiting.request);
        if !self.queue.may_begin(is_repeatable) {
            return None;
        }
        let ticket = self.queue.begin(is_repeatable);
        if self.closes_when_idle {
            self.queue.close();
        }
        let WaitingRequest { request, read_at } = self.waiting.take()?;
        let request = open_request(self.state, request, read_at);
        self.calls.push_back(Arc::clone(&request.call));
        Some((ticket, request))
    }

    /// Begins to write the next answer, if it is there and the one before it is written.
    fn write_next(&mut self) {
        if !self.output.is_empty() {
            return;
        }
        if self.state.is_stopping() && !self.queue.is_empty() {
            self.queue.close();
        }
        if let Some(ready) = self.queue.pop_ready() {
            self.output.begin(ready.answer, ready.closes);
        }
    }

    fn note_written(&mut self) {
        if !self.output.is_empty() {
            return;
        }
        if let Some(call) = self.calls.pop_front() {
            call.finish();
        }
        if self.is_idle() {
            self.idle_since = self.state.now();
        }
    }

    /// Returns whether no request is under way.
    fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns why the connection is not read any more, if that is so.
    fn stop(&self) -> Option<ReadStop> {
        if !self.is_idle() {
            return None;
        }
        if self.queue.is_closing() {
            return Some(ReadStop::Closed);
        }
        if self.must_hand_over {
            return Some(ReadStop::HandOver);
        }
        // A request that has arrived in part is still read and answered.
        (self.closes_when_idle && self.input.is_empty()).then_some(ReadStop::Ended)
    }

    /// Closes the connection behind its last answer.
    async fn close(mut self) {
        if let Err(error) = self.writer.shutdown().await {
            tracing::debug!(event = "caller-link-ended", %error);
            return;
        }
        if !self.sends_ahead && self.input.is_empty() {
            return;
        }
        let wait = Duration::from_millis(CLOSE_WAIT_MS);
        let until_left = async {
            self.input.clear();
            while self
                .reader
                .read_buf(&mut self.input)
                .await
                .is_ok_and(|read| read > 0)
            {
                self.input.clear();
            }
        };
        tokio::select! {
            _ = timeout(wait, until_left) => {}
            () = self.state.stop.ending() => {}
        }
    }
}

/// Returns whether the operators let the request be repeated; what has no route may not be.
fn is_repeatable<C: Clock, A: ProtocolAdapter, B>(
    state: &ProxyState<C, A>,
    request: &Request<B>,
) -> bool {
    let Some((table, _)) = state.route_table() else {
        return false;
    };
    let host = request_host(request);
    let route = table.route(&host, request_path(request));
    route.is_some_and(|route| route.idempotent)
}
