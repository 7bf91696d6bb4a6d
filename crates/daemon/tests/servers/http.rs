//! Minimal HTTP/1.1 client over raw bytes.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Timeout for connecting and for each read, long enough for a slow machine.
const TIMEOUT: Duration = Duration::from_mins(2);

/// A received response; the head is in lower case.
#[derive(Clone, Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

/// Opens a connection.
pub(crate) fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    Ok(stream)
}

/// Sends one request on a new connection.
pub(crate) fn send(
    to: SocketAddr,
    method_and_path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<HttpResponse> {
    let mut stream = connect(to)?;
    let mut request = format!("{method_and_path} HTTP/1.1\r\nConnection: close\r\n").into_bytes();
    for (name, value) in headers {
        request.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    request.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    stream.write_all(&request)?;
    stream.write_all(body)?;
    receive(&mut stream)
}

/// Receives the response on a connection that ends with it.
pub(crate) fn receive(stream: &mut TcpStream) -> io::Result<HttpResponse> {
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    let end = find(&response, b"\r\n\r\n").ok_or(io::ErrorKind::UnexpectedEof)?;
    let head = String::from_utf8_lossy(&response[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    Ok(HttpResponse {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        head,
        body: response[end + 4..].to_vec(),
    })
}

/// Returns the position of `wanted`.
pub(crate) fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|part| part == wanted)
}
