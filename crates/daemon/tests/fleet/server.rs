//! Fake backend server: announces itself, echoes request ids and records the requests it ran.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;

/// How the fake server handles a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServerBehaviour {
    /// Runs it and responds.
    Normal,
    /// Does not run it, and says so in the response.
    Sheds,
    /// Runs it and closes the connection without a response.
    DropsResponse,
    /// Runs it and responds with the id of another request.
    WrongRequestId,
    /// Runs it and responds with status 500.
    RespondsWithError,
    /// Runs it and closes the connection in the middle of the response.
    TruncatesResponse,
    /// Begins to run it, and responds once the behaviour is another one.
    Holds,
    /// Runs it and responds with a body of this many bytes.
    RespondsAtLength(usize),
    /// Runs it and responds with a load header that states this pace.
    ReportsPace(u32),
}

/// A running fake server; it ends with the test process.
#[derive(Clone, Debug)]
pub(crate) struct FakeServer {
    pub(crate) name: String,
    address: SocketAddr,
    /// Heads of the requests that were run, and when they arrived.
    executed: Arc<Mutex<Vec<(String, Instant)>>>,
    behaviour: Arc<(Mutex<ServerBehaviour>, Condvar)>,
    /// Open connections while it runs; `None` after a crash.
    connections: Arc<Mutex<Option<Vec<TcpStream>>>>,
}

/// Part of the path of a request that crashes a server once it begins to run it.
pub(crate) const CRASHING_PATH: &str = "/crash-server";

impl FakeServer {
    pub(crate) fn start(name: &str, address: SocketAddr) -> Self {
        let server = Self {
            name: name.to_owned(),
            address,
            executed: Arc::default(),
            behaviour: Arc::new((Mutex::new(ServerBehaviour::Normal), Condvar::new())),
            connections: Arc::default(),
        };
        server.listen();
        server
    }

    /// Accepts connections, also again after a crash.
    pub(crate) fn listen(&self) {
        let listener = TcpListener::bind(self.address).unwrap();
        *self.connections.lock().unwrap() = Some(Vec::new());
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Some(connections) = &mut *server.connections.lock().unwrap() else {
                    return;
                };
                let connection = stream.try_clone().unwrap();
                connections.push(stream.try_clone().unwrap());
                let server = server.clone();
                thread::spawn(move || {
                    server.serve(stream);
                    // The copies keep it open otherwise; the other end may have closed it.
                    let _ = connection.shutdown(Shutdown::Both);
                });
            }
        });
    }

    /// Closes all connections and the listener, as a process that ends.
    fn crash(&self) {
        let connections = self.connections.lock().unwrap().take();
        for connection in connections.into_iter().flatten() {
            let _ = connection.shutdown(Shutdown::Both);
        }
        // Wakes the listener, which then ends.
        let _ = TcpStream::connect(self.address);
    }

    /// Returns whether it has crashed and does not listen yet.
    pub(crate) fn has_crashed(&self) -> bool {
        self.connections.lock().unwrap().is_none()
    }

    /// Returns the heads of the requests that were run.
    pub(crate) fn executed(&self) -> Vec<String> {
        let executed = self.executed.lock().unwrap();
        executed.iter().map(|(head, _)| head.clone()).collect()
    }

    /// Returns whether a request with this id was run, or has begun to.
    pub(crate) fn has_run(&self, id: &str) -> bool {
        self.arrival_of(id).is_some()
    }

    /// Returns when the last request that was run arrived.
    pub(crate) fn last_arrival(&self) -> Option<Instant> {
        let executed = self.executed.lock().unwrap();
        executed.last().map(|(_, arrived)| *arrived)
    }

    /// Returns the time that the node gave this server for a request.
    pub(crate) fn time_given(&self, id: &str) -> Option<Duration> {
        let left = header(&self.arrival_of(id)?.0, "x-ragwortplank-deadline-ms")?;
        left.parse().ok().map(Duration::from_millis)
    }

    /// Returns what is left of that time.
    pub(crate) fn time_left(&self, id: &str) -> Option<Duration> {
        let (_, arrived) = self.arrival_of(id)?;
        Some(self.time_given(id)?.saturating_sub(arrived.elapsed()))
    }

    fn arrival_of(&self, id: &str) -> Option<(String, Instant)> {
        let executed = self.executed.lock().unwrap();
        let is_wanted = |(head, _): &&(String, Instant)| {
            header(head, "x-ragwortplank-request-id").is_some_and(|it| it == id)
        };
        executed.iter().find(is_wanted).cloned()
    }

    pub(crate) fn set_behaviour(&self, behaviour: ServerBehaviour) {
        let (current, changed) = &*self.behaviour;
        *current.lock().unwrap() = behaviour;
        changed.notify_all();
    }

    /// Announces itself to its node; returns the status of the response.
    pub(crate) fn announce(
        &self,
        node: SocketAddr,
        service: &str,
        phase: &str,
        sequence: u64,
    ) -> u16 {
        self.send_announcement(node, service, phase, (1, sequence))
    }

    /// Announces its `start`-th start, without a leave of the one before; returns the status of
    /// the response.
    pub(crate) fn announce_start(&self, node: SocketAddr, service: &str, start: u64) -> u16 {
        self.send_announcement(node, service, "ready", (start, 1))
    }

    fn send_announcement(
        &self,
        node: SocketAddr,
        service: &str,
        phase: &str,
        (start, sequence): (u64, u64),
    ) -> u16 {
        let body = format!(
            r#"{{"service":"{service}","address":"{}","zone":"a","version":"v1","slots":8,"phase":"{phase}","coldRemaining":0,"sequence":{sequence},"born":{start}}}"#,
            self.address
        );
        let method_and_path = format!("PUT /v1/instances/{}", self.name);
        let response = http::send(node, &method_and_path, &[("Host", "node")], &body);
        response.map_or(0, |response| response.status)
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut received = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            while let Some(end) = find(&received, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
                let length = header(&head, "content-length").and_then(|text| text.parse().ok());
                let whole = end + 4 + length.unwrap_or(0);
                if received.len() < whole {
                    break;
                }
                received.drain(..whole);
                if !self.respond(&mut stream, &head) {
                    return;
                }
            }
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(count) => received.extend_from_slice(&buffer[..count]),
            }
        }
    }

    /// Responds to a request; returns whether the connection stays open.
    fn respond(&self, stream: &mut TcpStream, head: &str) -> bool {
        let mut behaviour = *self.behaviour.0.lock().unwrap();
        let id = header(head, "x-ragwortplank-request-id").unwrap_or_default();
        let expected = header(head, "x-ragwortplank-expect-instance");
        if expected.is_some_and(|expected| expected != self.name) {
            return stream
                .write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                .is_ok();
        }
        if behaviour == ServerBehaviour::Sheds {
            let response = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Ragwortplank-Request-Id: {id}\r\nX-Ragwortplank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(response.as_bytes()).is_ok();
        }
        let arrival = (head.to_owned(), Instant::now());
        self.executed.lock().unwrap().push(arrival);
        if head.contains(CRASHING_PATH) {
            self.crash();
            return false;
        }
        if behaviour == ServerBehaviour::Holds {
            behaviour = self.await_release();
        }
        let (id, length) = match behaviour {
            ServerBehaviour::DropsResponse => return false,
            ServerBehaviour::WrongRequestId => ("of-another-request".to_owned(), 2),
            ServerBehaviour::TruncatesResponse => (id, 100),
            ServerBehaviour::RespondsAtLength(length) => (id, length),
            ServerBehaviour::Normal
            | ServerBehaviour::Holds
            | ServerBehaviour::Sheds
            | ServerBehaviour::ReportsPace(_)
            | ServerBehaviour::RespondsWithError => (id, 2),
        };
        let status = match behaviour {
            ServerBehaviour::RespondsWithError => "500 Internal Server Error",
            _ => "200 OK",
        };
        let load = match behaviour {
            ServerBehaviour::ReportsPace(percent) => {
                format!("X-Ragwortplank-Instance-Load: 1, 0, 8, {percent}\r\n")
            }
            _ => String::new(),
        };
        let response = format!(
            "HTTP/1.1 {status}\r\nX-Ragwortplank-Request-Id: {id}\r\nX-Ragwortplank-Server-Stamp: {}\r\n{load}Content-Length: {length}\r\n\r\n{}",
            self.name,
            match behaviour {
                ServerBehaviour::RespondsAtLength(length) => "x".repeat(length),
                _ => "ok".to_owned(),
            }
        );
        stream.write_all(response.as_bytes()).is_ok()
            && behaviour != ServerBehaviour::TruncatesResponse
    }

    /// Waits until requests are no longer held; returns how to go on.
    fn await_release(&self) -> ServerBehaviour {
        let (current, changed) = &*self.behaviour;
        let held = |behaviour: &mut ServerBehaviour| *behaviour == ServerBehaviour::Holds;
        *changed.wait_while(current.lock().unwrap(), held).unwrap()
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let found = lines.find(|(key, _)| key.trim() == name)?;
    Some(found.1.trim().to_owned())
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|part| part == wanted)
}
