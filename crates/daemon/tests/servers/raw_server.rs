//! Backend server whose answers a test writes byte by byte; records which requests it ran.

use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;

use crate::http::find;

/// A request as the backend server received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    /// Position on its connection, counted from 1.
    pub(crate) position: usize,
    /// The id, and that of the first request on the connection.
    pub(crate) id: String,
    pub(crate) first_id: String,
}

/// Handles a request; returns whether the connection stays open.
type AnswerScript = dyn Fn(&RawServer, &mut TcpStream, &ReceivedRequest) -> bool + Send + Sync;

/// What a server has seen.
#[derive(Debug, Default)]
struct ServerRecord {
    executed: HashMap<String, usize>,
    opened: usize,
    closed: usize,
    late_faults: usize,
    closed_silent: bool,
}

/// A running server; it ends with the test process.
#[derive(Clone)]
pub(crate) struct RawServer {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    record: Arc<Mutex<ServerRecord>>,
    script: Arc<Mutex<Arc<AnswerScript>>>,
    is_deaf: Arc<AtomicBool>,
}

impl RawServer {
    pub(crate) fn start(name: &str, address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let server = Self {
            name: name.to_owned(),
            address,
            record: Arc::default(),
            script: Arc::new(Mutex::new(Arc::new(Self::answer_soundly))),
            is_deaf: Arc::default(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Replaces the script; connections begin to count their requests anew.
    pub(crate) fn set_script(
        &self,
        script: impl Fn(&Self, &mut TcpStream, &ReceivedRequest) -> bool + Send + Sync + 'static,
    ) {
        *self.script.lock().unwrap() = Arc::new(script);
    }

    /// From now on, nothing is read from new connections, which stay open.
    pub(crate) fn stop_reading(&self) {
        self.is_deaf.store(true, Ordering::Relaxed);
    }

    /// Answers nothing on this connection any more, and waits until the node closes it.
    pub(crate) fn fall_silent(&self, stream: &mut TcpStream) -> bool {
        let mut buffer = [0; 4096];
        while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
        self.record.lock().unwrap().closed_silent = true;
        false
    }

    /// Returns whether the node has closed a connection on which this server had fallen silent.
    pub(crate) fn has_closed_silent(&self) -> bool {
        self.record.lock().unwrap().closed_silent
    }

    /// Runs the request and answers it.
    pub(crate) fn answer_soundly(&self, stream: &mut TcpStream, request: &ReceivedRequest) -> bool {
        self.execute(request);
        stream.write_all(&self.answer(&request.id, b"ok")).is_ok()
    }

    /// Returns a whole answer.
    pub(crate) fn answer(&self, id: &str, body: &[u8]) -> Vec<u8> {
        let mut answer = format!(
            "HTTP/1.1 200 OK\r\nX-Ragwortplank-Request-Id: {id}\r\nX-Ragwortplank-Server-Stamp: {}\r\nContent-Length: {}\r\n\r\n",
            self.name,
            body.len()
        )
        .into_bytes();
        answer.extend_from_slice(body);
        answer
    }

    /// Records that the request began to run.
    pub(crate) fn execute(&self, request: &ReceivedRequest) {
        let mut record = self.record.lock().unwrap();
        *record.executed.entry(request.id.clone()).or_default() += 1;
    }

    /// Returns how often the request began to run.
    pub(crate) fn executions(&self, id: &str) -> usize {
        let record = self.record.lock().unwrap();
        record.executed.get(id).copied().unwrap_or_default()
    }

    /// Counts a fault on a kept connection.
    pub(crate) fn count_late_fault(&self) {
        self.record.lock().unwrap().late_faults += 1;
    }

    pub(crate) fn late_faults(&self) -> usize {
        self.record.lock().unwrap().late_faults
    }

    /// Returns how many connections were opened, and how many of them have ended.
    pub(crate) fn connections(&self) -> (usize, usize) {
        let record = self.record.lock().unwrap();
        (record.opened, record.closed)
    }

    fn serve(&self, mut stream: TcpStream) {
        self.record.lock().unwrap().opened += 1;
        while self.is_deaf.load(Ordering::Relaxed) {
            thread::park();
        }
        self.serve_requests(&mut stream);
        self.record.lock().unwrap().closed += 1;
    }

    fn serve_requests(&self, stream: &mut TcpStream) {
        let mut script = Arc::clone(&self.script.lock().unwrap());
        let mut request = ReceivedRequest {
            position: 0,
            id: String::new(),
            first_id: String::new(),
        };
        let mut received = Vec::new();
        while let Some(id) = receive_request(stream, &mut received) {
            let current = Arc::clone(&self.script.lock().unwrap());
            if !Arc::ptr_eq(&current, &script) {
                request.position = 0;
                script = current;
            }
            request.position += 1;
            if request.position == 1 {
                request.first_id.clone_from(&id);
            }
            request.id = id;
            if !script(self, stream, &request) {
                return;
            }
        }
    }
}

/// Receives a request and returns its id; `None` when the connection has ended.
fn receive_request(stream: &mut TcpStream, received: &mut Vec<u8>) -> Option<String> {
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = find(received, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
            let length = header(&head, "content-length").and_then(|text| text.parse().ok());
            let whole = end + 4 + length.unwrap_or(0);
            if received.len() >= whole {
                received.drain(..whole);
                return Some(header(&head, "x-ragwortplank-request-id").unwrap_or_default());
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
        }
    }
}

fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let found = lines.find(|(key, _)| key.trim() == name)?;
    Some(found.1.trim().to_owned())
}
