//! Framed connections between processes of a deployment that has no keys for them.
//!
//! Many messages share one write. A connection that went silent is found by [`LinkSender::probe`].

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

pub use crate::receiver::LinkReceiver;
pub use crate::sender::LinkHealth;
pub use crate::sender::LinkSender;

/// Largest frame, in bytes.
const FRAME_BYTES: usize = 16 * 1024 * 1024;

/// First byte of a frame: what the rest is.
const MESSAGE_TAG: u8 = 0;
const PING_TAG: u8 = 1;
const PONG_TAG: u8 = 2;

/// Connects within `limit`.
///
/// # Errors
///
/// Fails when the peer cannot be reached in time.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let connected = timeout(limit, TcpStream::connect(address)).await;
    connected.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

/// Splits a connection into its two directions; `Out` is sent, `In` received.
///
/// Must be called within a tokio runtime, which writes what is sent.
///
/// # Errors
///
/// Fails when the connection cannot be configured.
pub fn open<Out, In>(stream: TcpStream) -> io::Result<(LinkSender<Out>, LinkReceiver<In>)>
where
    Out: Serialize,
    In: DeserializeOwned,
{
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    let sender = LinkSender::start(write);
    let receiver = LinkReceiver::new(read, sender.raw());
    Ok((sender, receiver))
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_BYTES)
        .new_codec()
}
