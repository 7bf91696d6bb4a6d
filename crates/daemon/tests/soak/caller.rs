//! Callers: they use a connection for as long as the node keeps it open, and record what comes.

use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::history::RequestOutcome;
use crate::history::RequestRecord;
use crate::history::SoakHistory;
use crate::http;
use crate::http::HttpConnection;
use crate::http::HttpMessage;
use crate::http::ReadState;
use crate::http::is_timeout;
use crate::random::SeededRandom;

/// What a caller says that it waits, and how much longer it does.
const DEADLINE_MS: u64 = 7_000;
const PATIENCE: Duration = Duration::from_millis(DEADLINE_MS + 2_000);
/// Time after which a caller connects again.
const RECONNECT_MS: (u64, u64) = (50, 300);

/// How a caller goes about it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum CallerHabit {
    /// Sends one request after another on an open connection.
    Steady,
    /// Pauses for seconds on an open connection.
    Pausing,
    /// Opens a connection for each request.
    Fresh,
}

/// A caller of one node.
#[derive(Debug)]
pub(crate) struct SoakCaller {
    pub(crate) name: String,
    pub(crate) node: u8,
    pub(crate) address: SocketAddr,
    pub(crate) habit: CallerHabit,
    pub(crate) random: SeededRandom,
    pub(crate) history: Arc<SoakHistory>,
    pub(crate) is_over: Arc<AtomicBool>,
}

/// A request before it is sent.
#[derive(Debug)]
struct PlannedRequest {
    id: String,
    is_unsafe: bool,
    /// Size of the answer.
    size: usize,
    bytes: Vec<u8>,
    /// Where the second piece begins, and the pause before it.
    second_piece: Option<(usize, Duration)>,
}

impl SoakCaller {
    /// Sends requests until the soak is over.
    pub(crate) fn run(mut self) {
        let mut count = 0;
        while !self.is_over() {
            if let Ok(mut connection) = HttpConnection::connect(self.address) {
                while self.stays_open(&connection) && self.exchange(&mut connection, count) {
                    count += 1;
                }
                count += 1;
            }
            let (low, high) = RECONNECT_MS;
            thread::sleep(self.random.millis(low, high));
        }
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Pauses on the open connection; returns whether to send on it.
    fn stays_open(&mut self, connection: &HttpConnection) -> bool {
        let pause = match self.habit {
            CallerHabit::Steady => self.random.millis(10, 250),
            CallerHabit::Pausing => self.random.millis(300, 6_000),
            CallerHabit::Fresh => Duration::ZERO,
        };
        let end = Instant::now() + pause;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match connection.wait(left.min(Duration::from_millis(200))) {
                ReadState::Nothing if self.is_over() => return false,
                ReadState::Nothing if left.is_zero() => return true,
                ReadState::Nothing => {}
                ReadState::Closed => return false,
                ReadState::Bytes => {
                    let fault = format!("MIXED: {} got bytes unasked", self.name);
                    self.history.faults().push(fault);
                    return false;
                }
            }
        }
    }

    /// Sends a request and records what comes; returns whether the connection stays open.
    fn exchange(&mut self, connection: &mut HttpConnection, count: u64) -> bool {
        let request = self.plan(count);
        if Self::send(connection, &request).is_err() {
            // The node had closed the connection before the last byte.
            return false;
        }
        let sent = Instant::now();
        let answer = connection.read(sent + PATIENCE);
        let ended = Instant::now();
        let stays = self.habit != CallerHabit::Fresh
            && answer
                .as_ref()
                .is_ok_and(|answer| answer.header("connection") != Some("close"));
        let outcome = match answer {
            Ok(answer) => self.judge(&request, &answer),
            Err(error) if is_timeout(&error) => RequestOutcome::Silent,
            Err(error) => RequestOutcome::Cut {
                is_reset: error.kind() == ErrorKind::ConnectionReset,
                detail: format!("{}, {} bytes", error.kind(), connection.partial_bytes()),
            },
        };
        self.history.requests().push(RequestRecord {
            id: request.id,
            node: self.node,
            is_unsafe: request.is_unsafe,
            sent,
            ended,
            outcome,
        });
        stays
    }

    fn plan(&mut self, count: u64) -> PlannedRequest {
        let id = format!("{}-{count}", self.name);
        let is_unsafe = self.random.chance(60);
        let work = match self.habit {
            CallerHabit::Pausing => self.random.between(100, 3_000),
            _ if self.random.chance(8) => self.random.between(500, 4_000),
            _ => self.random.between(0, 150),
        };
        let size = if self.random.chance(4) {
            300_000
        } else {
            self.random.between(1, 400)
        };
        let size = usize::try_from(size).unwrap_or(0);
        let length = usize::try_from(self.random.between(1, 4_000)).unwrap_or(0);
        let (line, body) = if is_unsafe {
            (
                format!("POST /orders/{work}/{size}"),
                http::body_of(&id, length),
            )
        } else {
            (format!("GET /stock/{work}/{size}"), Vec::new())
        };
        let head = format!(
            "{line} HTTP/1.1\r\nHost: soak\r\nX-Ragwortplank-Request-Id: {id}\r\nX-Ragwortplank-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer key-1\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let bytes = [head.as_bytes(), &body].concat();
        let length = u64::try_from(bytes.len()).unwrap_or(0);
        let second_piece = self.random.chance(20).then(|| {
            let at = usize::try_from(self.random.between(1, length)).unwrap_or(0);
            (at, self.random.millis(20, 1_500))
        });
        PlannedRequest {
            id,
            is_unsafe,
            size,
            bytes,
            second_piece,
        }
    }

    /// Sends a request, the last byte on a connection that the node has not closed.
    fn send(connection: &mut HttpConnection, request: &PlannedRequest) -> io::Result<()> {
        let (at, pause) = request.second_piece.unwrap_or_default();
        let (first, second) = request.bytes.split_at(at);
        connection.send(first)?;
        // An answer to the first piece is read after the second.
        if !first.is_empty() && connection.wait(pause) == ReadState::Bytes {
            thread::sleep(pause);
        }
        if connection.wait(Duration::ZERO) == ReadState::Closed {
            return Err(ErrorKind::BrokenPipe.into());
        }
        connection.send(second)
    }

    /// Checks an answer against its request.
    fn judge(&self, request: &PlannedRequest, answer: &HttpMessage) -> RequestOutcome {
        let status = answer.status();
        let stamp = answer.header("x-ragwortplank-server-stamp");
        let id = answer.header("x-ragwortplank-request-id");
        let is_success = (200..300).contains(&status);
        let is_whole = answer.body == http::body_of(&request.id, request.size);
        let is_foreign = id.is_some_and(|id| id != request.id);
        if is_foreign || (is_success && !(is_whole && stamp.is_some() && id.is_some())) {
            let fault = format!("MIXED: {} got {}", request.id, answer.head);
            self.history.faults().push(fault);
        }
        if (300..500).contains(&status) && !matches!(status, 408 | 421 | 429) {
            let fault = format!("DENIED: {} got {status}", request.id);
            self.history.faults().push(fault);
        }
        RequestOutcome::Answered {
            status,
            is_stamped: stamp.is_some(),
        }
    }
}
