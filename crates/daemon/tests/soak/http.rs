//! HTTP/1.1 over blocking sockets, for callers, fake backend servers and the operator.

use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Timeout to connect; also the shortest timeout of a read, since zero would mean none.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_TIMEOUT_MIN: Duration = Duration::from_millis(1);

/// A whole message; the head is in lower case.
#[derive(Clone, Debug)]
pub(crate) struct HttpMessage {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

impl HttpMessage {
    pub(crate) fn status(&self) -> u16 {
        let status = self.head.split(' ').nth(1);
        status.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let (_, value) = lines.find(|(key, _)| key.trim() == name)?;
    Some(value.trim())
}

/// What can be read from a connection at the moment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReadState {
    Nothing,
    Bytes,
    Closed,
}

/// A connection with the bytes that were read ahead.
#[derive(Debug)]
pub(crate) struct HttpConnection {
    stream: TcpStream,
    received: Vec<u8>,
}

impl HttpConnection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        // On failure small writes are only delayed.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            received: Vec::new(),
        }
    }

    pub(crate) fn connect(to: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&to, CONNECT_TIMEOUT).map(Self::new)
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Returns the number of bytes that belong to a message that is not whole yet.
    pub(crate) fn partial_bytes(&self) -> usize {
        self.received.len()
    }

    /// Waits up to `time` for bytes or for the end of the connection.
    pub(crate) fn wait(&self, time: Duration) -> ReadState {
        if self.set_timeout(time).is_err() {
            return ReadState::Closed;
        }
        match self.stream.peek(&mut [0]) {
            Ok(0) => ReadState::Closed,
            Ok(_) => ReadState::Bytes,
            Err(error) if is_timeout(&error) => ReadState::Nothing,
            Err(_) => ReadState::Closed,
        }
    }

    /// Reads a whole message, or fails at `until`.
    pub(crate) fn read(&mut self, until: Instant) -> io::Result<HttpMessage> {
        let mut buffer = [0; 16 * 1024];
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(message);
            }
            self.set_timeout(until.saturating_duration_since(Instant::now()))?;
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => self.received.extend_from_slice(&buffer[..count]),
                Err(error) if is_timeout(&error) && Instant::now() < until => {}
                Err(error) => return Err(error),
            }
        }
    }

    fn take_message(&mut self) -> io::Result<Option<HttpMessage>> {
        let mut parts = self.received.windows(4);
        let Some(end) = parts.position(|part| part == b"\r\n\r\n") else {
            return Ok(None);
        };
        let head = String::from_utf8_lossy(&self.received[..end]).to_ascii_lowercase();
        let length = header(&head, "content-length").map_or(Ok(0), str::parse);
        let length: usize = length.map_err(|_| ErrorKind::InvalidData)?;
        let whole = end + 4 + length;
        if self.received.len() < whole {
            return Ok(None);
        }
        let body = self.received[end + 4..whole].to_vec();
        self.received.drain(..whole);
        Ok(Some(HttpMessage { head, body }))
    }

    fn set_timeout(&self, time: Duration) -> io::Result<()> {
        let time = time.max(READ_TIMEOUT_MIN);
        self.stream.set_read_timeout(Some(time))
    }
}

pub(crate) fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// Sends one request on a new connection and reads the response.
pub(crate) fn call(
    to: SocketAddr,
    line: &str,
    body: &str,
    time: Duration,
) -> io::Result<HttpMessage> {
    let mut connection = HttpConnection::connect(to)?;
    let length = body.len();
    let request = format!(
        "{line} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    connection.send(request.as_bytes())?;
    connection.read(Instant::now() + time)
}

/// Returns the bytes that stand for the body of the request with this id.
pub(crate) fn body_of(id: &str, length: usize) -> Vec<u8> {
    id.bytes().cycle().take(length).collect()
}
