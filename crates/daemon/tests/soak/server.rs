//! Fake backend servers: they announce themselves, work for the asked time and record their runs.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::history::RunEnd;
use crate::history::RunRecord;
use crate::history::SoakHistory;
use crate::history::lock;
use crate::http;
use crate::http::HttpConnection;
use crate::http::HttpMessage;
use crate::http::ReadState;

/// Interval between two heartbeats, and timeout of one.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);
/// Time that a slow backend server adds to each request.
const EXTRA_WORK: Duration = Duration::from_millis(900);
/// Time for which a draining backend server goes on serving before it starts again.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Timeout of a read on a connection that is idle.
const IDLE_TIMEOUT: Duration = Duration::from_mins(10);

/// How a backend server handles requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServerMode {
    Normal,
    /// Works longer.
    Slow,
    /// Runs requests and closes their connections instead of responding.
    Drops,
    /// Runs nothing, and says so.
    Sheds,
}

/// One start of the backend server.
#[derive(Clone, Debug)]
struct ServerBoot {
    number: u64,
    sequence: u64,
    draining_since: Option<Instant>,
    mode: ServerMode,
    is_over: bool,
}

/// A running backend server; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct BackendServer {
    number: u8,
    service: &'static str,
    address: SocketAddr,
    /// Where its node takes announcements.
    node: SocketAddr,
    /// Requests that it runs at a time, as it says.
    slots: u64,
    boot: Arc<Mutex<ServerBoot>>,
    history: Arc<SoakHistory>,
}

impl BackendServer {
    pub(crate) fn start(
        number: u8,
        service: &'static str,
        address: SocketAddr,
        node: SocketAddr,
        slots: u64,
        history: Arc<SoakHistory>,
    ) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let boot = ServerBoot {
            number: 1,
            sequence: 0,
            draining_since: None,
            mode: ServerMode::Normal,
            is_over: false,
        };
        let server = Self {
            number,
            service,
            address,
            node,
            slots,
            boot: Arc::new(Mutex::new(boot)),
            history,
        };
        let (serving, announcing) = (server.clone(), server.clone());
        thread::spawn(move || serving.accept(&listener));
        thread::spawn(move || announcing.announce());
        server
    }

    pub(crate) fn set_mode(&self, mode: ServerMode) {
        lock(&self.boot).mode = mode;
    }

    /// Announces that it drains, goes on for a while and starts again under another id.
    pub(crate) fn drain(&self) {
        lock(&self.boot).draining_since = Some(Instant::now());
    }

    /// Ends the threads that accept connections and announce.
    pub(crate) fn stop(&self) {
        lock(&self.boot).is_over = true;
        // Wakes the thread that accepts connections.
        let _ = TcpStream::connect(self.address);
    }

    fn is_over(&self) -> bool {
        lock(&self.boot).is_over
    }

    fn id(&self) -> String {
        format!("i-{}-{}", self.number, lock(&self.boot).number)
    }

    fn announce(&self) {
        while !self.is_over() {
            let body = self.next_heartbeat();
            let line = format!("PUT /v1/instances/{}", self.id());
            // A heartbeat that is lost is followed by the next one.
            let _ = http::call(self.node, &line, &body, HEARTBEAT_INTERVAL);
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    fn next_heartbeat(&self) -> String {
        let mut boot = lock(&self.boot);
        let drained = boot
            .draining_since
            .is_some_and(|since| since.elapsed() > DRAIN_TIME);
        if drained {
            boot.number += 1;
            boot.draining_since = None;
        }
        boot.sequence += 1;
        let slots = self.slots;
        let phase = boot.draining_since.map_or("ready", |_| "draining");
        format!(
            r#"{{"service":"{}","address":"{}","zone":"a","version":"v1","slots":{slots},"phase":"{phase}","coldRemaining":0,"sequence":{},"born":{}}}"#,
            self.service, self.address, boot.sequence, boot.number
        )
    }

    fn accept(&self, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.is_over() {
                return;
            }
            let server = self.clone();
            thread::spawn(move || server.serve(HttpConnection::new(stream)));
        }
    }

    fn serve(&self, mut connection: HttpConnection) {
        while let Ok(request) = connection.read(Instant::now() + IDLE_TIMEOUT) {
            if !self.handle(&mut connection, &request) {
                return;
            }
        }
    }

    /// Handles a request; returns whether the connection stays open.
    fn handle(&self, connection: &mut HttpConnection, request: &HttpMessage) -> bool {
        let id = request.header("x-ragwortplank-request-id");
        let id = id.unwrap_or_default().to_owned();
        let own = self.id();
        let expected = request.header("x-ragwortplank-expect-instance");
        let mode = lock(&self.boot).mode;
        if expected.is_some_and(|expected| expected != own) {
            return respond(connection, "421 Misdirected Request", &id, "", &[]);
        }
        if mode == ServerMode::Sheds {
            let mark = "X-Ragwortplank-Not-Executed: 1\r\n";
            return respond(connection, "503 Service Unavailable", &id, mark, &[]);
        }
        self.run(connection, request, &id, mode)
    }

    fn run(
        &self,
        connection: &mut HttpConnection,
        request: &HttpMessage,
        id: &str,
        mode: ServerMode,
    ) -> bool {
        let (work, size) = parse_work(&request.head);
        let record = RunRecord {
            id: id.to_owned(),
            server: self.number,
            began: Instant::now(),
            end: None,
        };
        let mut runs = self.history.runs();
        let index = runs.len();
        runs.push(record);
        drop(runs);
        if request.body != http::body_of(id, request.body.len()) {
            let fault = format!("UNASKED: {id} ran with a changed body");
            self.history.faults().push(fault);
        }
        let work = if mode == ServerMode::Slow {
            work + EXTRA_WORK
        } else {
            work
        };
        let end = if !work.is_zero() && connection.wait(work) == ReadState::Closed {
            RunEnd::CutOff
        } else if mode == ServerMode::Drops {
            RunEnd::Dropped
        } else {
            RunEnd::Answered
        };
        self.history.runs()[index].end = Some((Instant::now(), end));
        let stamp = format!("X-Ragwortplank-Server-Stamp: {}\r\n", self.id());
        end == RunEnd::Answered
            && respond(connection, "200 OK", id, &stamp, &http::body_of(id, size))
    }
}

/// Reads the time to work and the size of the answer from the path, `/NAME/MILLISECONDS/BYTES`.
fn parse_work(head: &str) -> (Duration, usize) {
    let path = head.split(' ').nth(1).unwrap_or_default();
    let mut numbers = path
        .split('/')
        .skip(2)
        .map(|part| part.parse().unwrap_or(0));
    let work = Duration::from_millis(numbers.next().unwrap_or(0));
    let size = numbers.next().unwrap_or(0);
    (work, usize::try_from(size).unwrap_or(0))
}

fn respond(
    connection: &mut HttpConnection,
    status: &str,
    id: &str,
    headers: &str,
    body: &[u8],
) -> bool {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status}\r\nX-Ragwortplank-Request-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n"
    );
    connection.send(&[head.as_bytes(), body].concat()).is_ok()
}
