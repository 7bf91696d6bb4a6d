//! Connection to a backend server from which only so much is read without progress.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Bytes that may be read for one response besides those that its body allows.
///
/// Heads and informational responses, the framing of chunks, and what is read ahead of the body's
/// reader all come out of this.
const BASE_ALLOWANCE_BYTES: usize = 256 * 1024;
/// Bytes that may be read for each byte of the body; a chunk of one byte takes six.
const BYTES_PER_BODY_BYTE: usize = 8;

/// How many bytes may still be read for the response under way; clones share it.
///
/// Without it, a response without end that never yields a byte of its body would keep the node
/// busy until the deadline.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadAllowance {
    bytes: Arc<AtomicUsize>,
}

impl ReadAllowance {
    /// Begins a new response.
    pub(crate) fn begin_response(&self) {
        self.bytes.store(BASE_ALLOWANCE_BYTES, Ordering::Relaxed);
    }

    /// Allows more after a chunk of the body.
    pub(crate) fn note_progress(&self, chunk_bytes: usize) {
        let more = chunk_bytes.saturating_mul(BYTES_PER_BODY_BYTE);
        self.bytes.fetch_add(more, Ordering::Relaxed);
    }

    fn take(&self, bytes: usize) -> bool {
        let take = |left: usize| left.checked_sub(bytes);
        self.bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}

/// A connection that fails with [`io::ErrorKind::InvalidData`] once its allowance is used up.
#[derive(Debug)]
pub(crate) struct BoundedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
}

impl BoundedStream {
    pub(crate) const fn new(stream: TcpStream, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if self.allowance.take(buffer.filled().len() - before) {
            return Poll::Ready(Ok(()));
        }
        let error = io::Error::new(io::ErrorKind::InvalidData, "a response without end");
        Poll::Ready(Err(error))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
