//! Framed TCP connections between processes that share no keys, so without encryption.
//!
//! Messages that are queued together share one write. [`LinkSender::probe`] detects peers that
//! stopped responding.

mod accept;
mod receiver;
mod sender;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;

pub use crate::accept::accept;
pub use crate::receiver::LinkReceiver;
pub use crate::sender::LinkHealth;
pub use crate::sender::LinkSender;

/// Largest frame that is sent or accepted, in bytes.
const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// First byte of a frame, which tells the type of the rest.
const MESSAGE_TAG: u8 = 0;
const PING_TAG: u8 = 1;
const PONG_TAG: u8 = 2;

/// Opens a TCP connection, for which it may take as long as `limit`.
///
/// # Errors
///
/// Fails when the connection is refused or times out.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Splits a connection into a sender of `Out` messages and a receiver of `In` messages.
///
/// Must be called within a tokio runtime, since it spawns the task that writes to the connection.
///
/// # Errors
///
/// Fails when `TCP_NODELAY` cannot be set.
pub fn open<Out, In>(stream: TcpStream) -> io::Result<(LinkSender<Out>, LinkReceiver<In>)>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    stream.set_nodelay(true)?;
    let (read_half, write_half) = stream.into_split();
    let sender = LinkSender::spawn(write_half);
    let receiver = LinkReceiver::new(read_half, sender.frame_sender());
    Ok((sender, receiver))
}

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
