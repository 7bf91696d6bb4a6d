//! Minimal HTTP/1.1 client that shows every byte of a response.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Timeout for connecting and for each read.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A received response; the head is in lower case.
#[derive(Clone, Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

/// Sends one request on a new connection.
pub(crate) fn send(
    to: SocketAddr,
    method_and_path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<HttpResponse> {
    let mut stream = TcpStream::connect_timeout(&to, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    write!(
        stream,
        "{method_and_path} HTTP/1.1\r\nConnection: close\r\n"
    )?;
    for (name, value) in headers {
        write!(stream, "{name}: {value}\r\n")?;
    }
    write!(stream, "Content-Length: {}\r\n\r\n{body}", body.len())?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    let (head, body) = response
        .split_once("\r\n\r\n")
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    Ok(HttpResponse {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        head: head.to_ascii_lowercase(),
        body: body.to_owned(),
    })
}
