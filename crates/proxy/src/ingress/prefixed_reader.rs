//! A connection of which a part has been read already.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::BytesMut;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::ReadBuf;
use tokio::io::Take;

/// Most bytes of one read: fewer than the first buffer of the HTTP library holds.
///
/// The library doubles its buffer whenever a read has filled it, and keeps the largest one for as
/// long as the connection lasts.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Yields what was read before, and then the rest of the connection, in pieces that do not make
/// the HTTP library's buffer grow.
///
/// The memory of what was read before is freed once it is used up: there may be thousands of
/// connections, which last long after that.
#[derive(Debug)]
pub(super) struct PrefixedReader<R> {
    prefix: BytesMut,
    reader: Take<R>,
}

impl<R: AsyncRead + Unpin> PrefixedReader<R> {
    pub(super) fn new(prefix: BytesMut, reader: R) -> Self {
        Self {
            prefix,
            reader: reader.take(0),
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for PrefixedReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.prefix.is_empty() {
            // The limit is one of each read, and so never the end of the connection.
            self.reader.set_limit(MAX_READ_BYTES as u64);
            return Pin::new(&mut self.reader).poll_read(context, buffer);
        }
        let length = self
            .prefix
            .len()
            .min(buffer.remaining())
            .min(MAX_READ_BYTES);
        buffer.put_slice(&self.prefix[..length]);
        self.prefix.advance(length);
        if self.prefix.is_empty() {
            self.prefix = BytesMut::new();
        }
        Poll::Ready(Ok(()))
    }
}
