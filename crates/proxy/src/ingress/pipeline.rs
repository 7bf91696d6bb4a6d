//! A connection whose requests are read ahead of their answers, bodies as they arrive.

use std::collections::VecDeque;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::BytesMut;
use clock::Clock;
use fleet::ProtocolAdapter;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use http::Method;
use http::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::answer_queue::AnswerQueue;
use crate::answer_queue::RequestTicket;
use crate::arrival_times::ArrivalTimes;
use crate::body_decoder::BodyFraming;
use crate::ingress::OpenRequest;
use crate::ingress::answer_request;
use crate::ingress::answer_writer::AnswerWriter;
use crate::ingress::answer_writer::HeadOnly;
use crate::ingress::connection::MAX_HEAD_BUFFER_BYTES;
use crate::ingress::incoming_body::BodyFeed;
use crate::ingress::incoming_body::FeedEvent;
use crate::ingress::incoming_body::FeedProgress;
use crate::ingress::incoming_body::IncomingBody;
use crate::ingress::open_request;
use crate::ingress::refusal::BufferedResponse;
use crate::ingress::request_host;
use crate::ingress::request_parser::NotPlain;
use crate::ingress::request_parser::RequestHead;
use crate::ingress::request_parser::take_head;
use crate::ingress::request_path;
use crate::open_call::OpenCall;
use crate::state::ProxyState;

/// Free space that a read needs, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// Free space that a read of a body needs, in bytes, and what is read ahead of its reader.
const BODY_READ_BYTES: usize = 16 * 1024;
/// Largest buffer that a connection without a request keeps, in bytes.
const IDLE_BUFFER_BYTES: usize = 2 * READ_BYTES;
/// Interval between two looks for a caller that has left while nothing is read, in milliseconds.
const LEAVE_CHECK_MS: u64 = 100;
/// Longest wait for a caller that has sent ahead to read the last answer, in milliseconds; unread
/// requests would otherwise reset the connection under that answer.
const CLOSE_WAIT_MS: u64 = 500;

/// A request that has begun, and its place in the order of the answers.
type BegunRequest<C, A> = (RequestTicket, OpenRequest<C, A, IncomingBody>);

/// A request whose head has been read and that may not begin yet; its body is in the input.
struct WaitingRequest {
    head: RequestHead,
    /// When its head arrived: its caller's time runs from then on.
    read_at: Instant,
}

/// The body of a request that has begun before all of it arrived.
struct ArrivingBody {
    ticket: RequestTicket,
    feed: BodyFeed,
    /// Whether its reader has to take a piece before more is passed on.
    needs_room: bool,
}

/// A connection whose last request the HTTP library serves.
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
    /// The body that the input begins with.
    arriving: Option<ArrivingBody>,
    arrivals: ArrivalTimes,
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
        arriving: None,
        arrivals: ArrivalTimes::default(),
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
            self.feed_body();
            while let Some((ticket, request)) = self.begin_next() {
                running.push(async move { (ticket, answer_begun(state, request).await) });
                self.feed_body();
            }
            self.write_next();
            if let Some(stop) = self.stop() {
                return Ok(stop);
            }
            let may_read = self.prepare_input();
            tokio::select! {
                read = read_more(&mut self.reader, &mut self.input, may_read) => {
                    let bytes = read?;
                    if bytes == 0 {
                        // Dropping what runs tells the backend servers that the caller has left.
                        return Ok(ReadStop::Ended);
                    }
                    self.arrivals.note(bytes, state.now());
                }
                event = body_event(&mut self.arriving) => {
                    if event == FeedEvent::Wanted {
                        self.output.ask_for_body();
                    }
                }
                Some((ticket, answer)) = running.next(), if !running.is_empty() => {
                    self.queue.answer(ticket, answer);
                    self.give_up_body(ticket);
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

    /// Makes room for a read; returns whether anything more may be read now.
    fn prepare_input(&mut self) -> bool {
        let (room_bytes, max_bytes) = match &self.arriving {
            Some(arriving) if arriving.needs_room => (READ_BYTES, BODY_READ_BYTES),
            Some(_) => (BODY_READ_BYTES, MAX_HEAD_BUFFER_BYTES),
            None => (READ_BYTES, MAX_HEAD_BUFFER_BYTES),
        };
        if self.is_idle() && self.input.is_empty() && self.input.capacity() > IDLE_BUFFER_BYTES {
            self.input = BytesMut::new();
        }
        if self.input.capacity() - self.input.len() < room_bytes {
            self.input.reserve(room_bytes);
        }
        self.input.len() < max_bytes
    }

    /// Reads the head of the next request if it has arrived and nothing comes before it.
    fn read_head(&mut self) {
        let has_next = self.waiting.is_some() || self.arriving.is_some();
        if has_next || self.must_hand_over || self.queue.is_closing() {
            return;
        }
        match take_head(&mut self.input) {
            Ok(Some(head)) => {
                let arrived_at = self.arrivals.of_used(self.input.len());
                let read_at = arrived_at.unwrap_or_else(|| self.state.now());
                self.waiting = Some(WaitingRequest { head, read_at });
            }
            Ok(None) => self.must_hand_over = self.input.len() >= MAX_HEAD_BUFFER_BYTES,
            Err(NotPlain) => self.must_hand_over = true,
        }
    }

    /// Begins the next request if its head has arrived and it may begin.
    fn begin_next(&mut self) -> Option<BegunRequest<C, A>> {
        self.read_head();
        let head = &self.waiting.as_ref()?.head;
        self.sends_ahead |= !self.queue.is_empty();
        let is_repeatable = is_repeatable(self.state, &head.request);
        // The caller is asked for its body before anything else is answered.
        let may_join = self.queue.is_empty() || !head.expects_continue;
        if !may_join || !self.queue.may_begin(is_repeatable) {
            return None;
        }
        let ticket = self.queue.begin(is_repeatable);
        let WaitingRequest { head, read_at } = self.waiting.take()?;
        if self.closes_when_idle || head.closes {
            self.queue.close();
        }
        let body = self.take_body(ticket, &head);
        let request = open_request(self.state, head.request.map(|()| body), read_at);
        self.calls.push_back(Arc::clone(&request.call));
        Some((ticket, request))
    }

    /// Returns the body that the input begins with, whole if it is there.
    fn take_body(&mut self, ticket: RequestTicket, head: &RequestHead) -> IncomingBody {
        if let BodyFraming::Length(length) = head.framing
            && let Ok(length) = usize::try_from(length)
            && length <= self.input.len()
        {
            return IncomingBody::Whole(self.input.split_to(length).freeze());
        }
        let (feed, body) = BodyFeed::new(head.framing, head.expects_continue);
        self.arriving = Some(ArrivingBody {
            ticket,
            feed,
            needs_room: false,
        });
        body
    }

    /// Passes on what has arrived of a body.
    fn feed_body(&mut self) {
        let Some(arriving) = &mut self.arriving else {
            return;
        };
        match arriving.feed.feed(&mut self.input) {
            Ok(FeedProgress::NeedsInput) => arriving.needs_room = false,
            Ok(FeedProgress::NeedsRoom) => arriving.needs_room = true,
            Ok(FeedProgress::Ended) => self.arriving = None,
            Err(error) => {
                tracing::debug!(event = "body-broken", %error);
                self.cut_body();
            }
        }
        // A body takes many reads: those that are used up do not count for the next request.
        self.arrivals.of_used(self.input.len());
    }

    /// Gives up the body of a request that has been answered, unless all of it has arrived.
    fn give_up_body(&mut self, ticket: RequestTicket) {
        self.feed_body();
        let arriving = self.arriving.as_ref();
        if arriving.is_some_and(|arriving| arriving.ticket == ticket) {
            self.cut_body();
        }
    }

    /// Reads no more of a body: its answer closes the connection, and says so.
    fn cut_body(&mut self) {
        self.arriving = None;
        self.input.clear();
        self.sends_ahead = true;
        self.queue.close();
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
        if !self.output.take_finished_answer() {
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

/// Answers a request that has begun.
async fn answer_begun<C: Clock, A: ProtocolAdapter>(
    state: &ProxyState<C, A>,
    open: OpenRequest<C, A, IncomingBody>,
) -> BufferedResponse {
    let is_head_only = *open.request.method() == Method::HEAD;
    let mut answer = answer_request(state, open).await;
    if is_head_only {
        answer.extensions_mut().insert(HeadOnly);
    }
    answer
}

/// Reads more of a connection, or only watches it; returns the number of bytes, 0 once the caller
/// has left.
async fn read_more(
    reader: &mut OwnedReadHalf,
    input: &mut BytesMut,
    may_read: bool,
) -> io::Result<usize> {
    if may_read {
        return reader.read_buf(input).await;
    }
    loop {
        sleep(Duration::from_millis(LEAVE_CHECK_MS)).await;
        if reader.ready(Interest::READABLE).await?.is_read_closed() {
            return Ok(0);
        }
    }
}

/// Waits until something has to be done for the body that arrives.
async fn body_event(arriving: &mut Option<ArrivingBody>) -> FeedEvent {
    match arriving {
        Some(arriving) => arriving.feed.event(arriving.needs_room).await,
        None => std::future::pending().await,
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
