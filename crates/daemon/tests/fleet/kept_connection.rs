//! A client's connection that carries several requests, and the text of such a request.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::deployment::lacks_token;
use crate::http::HttpResponse;
use crate::wait::eventually;

/// Timeout to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// A connection that a client keeps open for several requests.
#[derive(Debug)]
pub(crate) struct KeptConnection {
    stream: TcpStream,
}

impl KeptConnection {
    pub(crate) fn open(to: SocketAddr) -> Self {
        Self::try_open(to).unwrap()
    }

    /// Opens a connection; fails when it is refused.
    pub(crate) fn try_open(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
        Ok(Self { stream })
    }

    /// Sends the first part of a request, or the rest of one.
    pub(crate) fn send_part(&mut self, part: &str) -> io::Result<()> {
        self.stream.write_all(part.as_bytes())
    }

    /// Sends a request of a caller, with a key of the team and no body.
    pub(crate) fn send(&mut self, method_and_path: &str, id: &str) -> io::Result<()> {
        self.send_part(&request_text(method_and_path, id))
    }

    /// Sends a request of a caller, again for as long as it is refused for lack of a token.
    pub(crate) fn send_until_served(&mut self, method_and_path: &str, id: &str) {
        eventually("a request gets a token", || {
            self.send(method_and_path, id).unwrap();
            let response = self.read_response().unwrap();
            let is_served = response.status == 200;
            assert!(is_served || lacks_token(&response), "{response:?}");
            is_served
        });
    }

    /// Returns whether the other side has sent something, or closed the connection.
    pub(crate) fn has_input(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Reads one response, however long that takes; fails when the connection ends before it.
    pub(crate) fn read_response(&mut self) -> io::Result<HttpResponse> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.stream.read_exact(&mut byte)?;
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body)?;
        let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
        Ok(HttpResponse {
            status: status.ok_or(io::ErrorKind::InvalidData)?,
            head,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

/// Returns the text of a caller's request that its team waits a minute for.
pub(crate) fn request_text(method_and_path: &str, id: &str) -> String {
    format!(
        "{method_and_path} HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Bearer key-1\r\nX-Ragwortplank-Deadline-Ms: 60000\r\nX-Ragwortplank-Request-Id: {id}\r\n\r\n"
    )
}
