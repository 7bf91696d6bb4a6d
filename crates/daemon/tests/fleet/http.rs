//! The smallest HTTP/1.1 caller that can see every byte of an answer.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Time after which a caller gives up.
const PATIENCE: Duration = Duration::from_secs(5);

/// An answer with its status, its head and its body.
#[derive(Clone, Debug)]
pub(crate) struct PlainAnswer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
}

/// Sends one request on a connection of its own.
pub(crate) fn send(
    to: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<PlainAnswer> {
    let mut stream = TcpStream::connect_timeout(&to, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    write!(stream, "{start} HTTP/1.1\r\nConnection: close\r\n")?;
    for (name, value) in headers {
        write!(stream, "{name}: {value}\r\n")?;
    }
    write!(stream, "Content-Length: {}\r\n\r\n{body}", body.len())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    let (head, body) = answer
        .split_once("\r\n\r\n")
        .ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    Ok(PlainAnswer {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        head: head.to_ascii_lowercase(),
        body: body.to_owned(),
    })
}
