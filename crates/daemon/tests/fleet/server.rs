//! A stand-in for a backend server: it announces itself, echoes ids and remembers what it ran.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;

use crate::http;

/// What the stand-in does with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServerMood {
    /// Runs it.
    Well,
    /// Says that it did not run it.
    Sheds,
    /// Runs it and closes the connection without an answer.
    LosesAnswers,
    /// Runs it and answers with the id of another request.
    AnswersOthers,
    /// Runs it and answers that it failed.
    Fails,
    /// Runs it and ends the answer early.
    BreaksOff,
}

/// A running stand-in; it ends with the test's process.
#[derive(Clone, Debug)]
pub(crate) struct StandinServer {
    pub(crate) name: String,
    address: SocketAddr,
    ran: Arc<Mutex<Vec<String>>>,
    mood: Arc<Mutex<ServerMood>>,
}

impl StandinServer {
    pub(crate) fn start(name: &str, address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let server = Self {
            name: name.to_owned(),
            address,
            ran: Arc::default(),
            mood: Arc::new(Mutex::new(ServerMood::Well)),
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

    /// Returns the heads of the requests that were run.
    pub(crate) fn ran(&self) -> Vec<String> {
        self.ran.lock().unwrap().clone()
    }

    pub(crate) fn set_mood(&self, mood: ServerMood) {
        *self.mood.lock().unwrap() = mood;
    }

    /// Announces itself at the node beside it; returns the status of the answer.
    pub(crate) fn announce(
        &self,
        node: SocketAddr,
        service: &str,
        phase: &str,
        number: u64,
    ) -> u16 {
        let body = format!(
            r#"{{"service":"{service}","address":"{}","zone":"a","version":"v1","slots":8,"phase":"{phase}","coldRemaining":0,"sequence":{number},"born":1}}"#,
            self.address
        );
        let start = format!("PUT /v1/instances/{}", self.name);
        let answer = http::send(node, &start, &[("Host", "node")], &body);
        answer.map_or(0, |answer| answer.status)
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
                if !self.answer(&mut stream, &head) {
                    return;
                }
            }
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(count) => received.extend_from_slice(&buffer[..count]),
            }
        }
    }

    /// Answers a request; returns whether the connection goes on.
    fn answer(&self, stream: &mut TcpStream, head: &str) -> bool {
        let mood = *self.mood.lock().unwrap();
        let id = header(head, "x-ragwortplank-request-id").unwrap_or_default();
        let expected = header(head, "x-ragwortplank-expect-instance");
        if expected.is_some_and(|expected| expected != self.name) {
            return stream
                .write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                .is_ok();
        }
        if mood == ServerMood::Sheds {
            let answer = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Ragwortplank-Request-Id: {id}\r\nX-Ragwortplank-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(answer.as_bytes()).is_ok();
        }
        self.ran.lock().unwrap().push(head.to_owned());
        let (id, length) = match mood {
            ServerMood::LosesAnswers => return false,
            ServerMood::AnswersOthers => ("of-another-request".to_owned(), 2),
            ServerMood::BreaksOff => (id, 100),
            ServerMood::Well | ServerMood::Sheds | ServerMood::Fails => (id, 2),
        };
        let status = match mood {
            ServerMood::Fails => "500 Internal Server Error",
            _ => "200 OK",
        };
        let answer = format!(
            "HTTP/1.1 {status}\r\nX-Ragwortplank-Request-Id: {id}\r\nX-Ragwortplank-Server-Stamp: {}\r\nContent-Length: {length}\r\n\r\nok",
            self.name
        );
        stream.write_all(answer.as_bytes()).is_ok() && mood != ServerMood::BreaksOff
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
