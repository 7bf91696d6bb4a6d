//! Sending half of a link, with the state that both halves share.

use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures::SinkExt;
use serde::Serialize;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

use crate::MESSAGE_TAG;
use crate::PING_TAG;
use crate::PONG_TAG;

/// Bytes that may be queued for a peer that does not read; the link is closed when more are.
const MAX_QUEUED_BYTES: usize = 24 * 1024 * 1024;
/// Bytes queued for a peer below which [`LinkSender::ready`] lets more be queued.
const READY_QUEUED_BYTES: usize = 1024 * 1024;
/// Most frames that are written with one flush.
const MAX_BATCH_FRAMES: usize = 256;

/// Result of [`LinkSender::probe`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkHealth {
    /// A frame was received recently.
    Active,
    /// Nothing was received for a while, so this probe sent a ping.
    PingSent,
    /// An earlier ping is unanswered, but has not timed out yet.
    PingUnanswered,
    /// Nothing was received since the ping; the link is now closed.
    TimedOut,
}

/// State that the two halves of a link share.
#[derive(Debug)]
pub(crate) struct LinkState {
    opened_at: Instant,
    /// When the last frame was received, in milliseconds after `opened_at`.
    last_received_ms: AtomicU64,
    /// Bytes queued and not yet flushed to the connection.
    queued_bytes: AtomicUsize,
    /// Wakes those that wait for the queue to shrink.
    flushed: Notify,
    is_ping_pending: AtomicBool,
    closed: CancellationToken,
}

impl LinkState {
    pub(crate) fn note_received(&self) {
        self.last_received_ms
            .store(self.age_ms(), Ordering::Relaxed);
        self.is_ping_pending.store(false, Ordering::Relaxed);
    }

    pub(crate) async fn closed(&self) {
        self.closed.cancelled().await;
    }

    pub(crate) fn close(&self) {
        self.closed.cancel();
    }

    fn age_ms(&self) -> u64 {
        u64::try_from(self.opened_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn since_received_ms(&self) -> u64 {
        self.age_ms()
            .saturating_sub(self.last_received_ms.load(Ordering::Relaxed))
    }
}

/// Queues encoded frames for the writer task.
#[derive(Clone, Debug)]
pub(crate) struct FrameSender {
    queue: UnboundedSender<Bytes>,
    state: Arc<LinkState>,
}

impl FrameSender {
    pub(crate) fn state(&self) -> &Arc<LinkState> {
        &self.state
    }

    pub(crate) fn send_pong(&self) {
        self.enqueue(Bytes::from_static(&[PONG_TAG]));
    }

    fn enqueue(&self, frame: Bytes) -> bool {
        if self.state.closed.is_cancelled() {
            return false;
        }
        let length = frame.len();
        let queued = self.state.queued_bytes.fetch_add(length, Ordering::Relaxed) + length;
        if queued > MAX_QUEUED_BYTES {
            tracing::warn!(event = "link-overrun", queued);
            self.state.close();
            return false;
        }
        self.queue.send(frame).is_ok()
    }
}

/// Sends messages of type `M`; clones share the link.
#[derive(Debug)]
pub struct LinkSender<M> {
    frame_sender: FrameSender,
    message_type: PhantomData<fn(M)>,
}

impl<M> Clone for LinkSender<M> {
    fn clone(&self) -> Self {
        Self {
            frame_sender: self.frame_sender.clone(),
            message_type: PhantomData,
        }
    }
}

impl<M: Serialize> LinkSender<M> {
    pub(crate) fn spawn(write_half: OwnedWriteHalf) -> Self {
        let (queue, receiver) = mpsc::unbounded_channel();
        let state = Arc::new(LinkState {
            opened_at: Instant::now(),
            last_received_ms: AtomicU64::new(0),
            queued_bytes: AtomicUsize::new(0),
            flushed: Notify::new(),
            is_ping_pending: AtomicBool::new(false),
            closed: CancellationToken::new(),
        });
        tokio::spawn(write_frames(write_half, receiver, Arc::clone(&state)));
        Self {
            frame_sender: FrameSender { queue, state },
            message_type: PhantomData,
        }
    }

    pub(crate) fn frame_sender(&self) -> FrameSender {
        self.frame_sender.clone()
    }

    /// Queues a message; returns `false` when the link is closed or the message cannot be encoded.
    pub fn send(&self, message: &M) -> bool {
        match postcard::to_extend(message, vec![MESSAGE_TAG]) {
            Ok(frame) => self.frame_sender.enqueue(frame.into()),
            Err(error) => {
                tracing::error!(event = "message-not-encoded", %error);
                false
            }
        }
    }

    /// Waits until little is queued; returns `false` when the link is closed.
    ///
    /// Whoever sends a long message in parts waits before each of them, so that the queue neither
    /// takes the memory of all messages under way nor overruns.
    pub async fn ready(&self) -> bool {
        let state = &self.frame_sender.state;
        loop {
            // Created before the check, so that no flush after it is missed.
            let flushed = state.flushed.notified();
            if self.is_closed() {
                return false;
            }
            if state.queued_bytes.load(Ordering::Relaxed) < READY_QUEUED_BYTES {
                return true;
            }
            tokio::select! {
                () = flushed => {}
                () = state.closed() => return false,
            }
        }
    }

    /// Pings the peer when nothing was received for `ping_after`, and closes the link when
    /// nothing was received for `close_after`.
    ///
    /// Must be called periodically; no timer runs on its own.
    #[must_use]
    pub fn probe(&self, ping_after: Duration, close_after: Duration) -> LinkHealth {
        let state = &self.frame_sender.state;
        let since_received = Duration::from_millis(state.since_received_ms());
        if since_received < ping_after {
            return LinkHealth::Active;
        }
        if !state.is_ping_pending.swap(true, Ordering::Relaxed) {
            // An idle link may carry no traffic for any time. Only the wait for the pong counts
            // towards the timeout, so the idle time before the ping is cut to `ping_after`.
            state.last_received_ms.store(
                state
                    .age_ms()
                    .saturating_sub(u64::try_from(ping_after.as_millis()).unwrap_or(0)),
                Ordering::Relaxed,
            );
            self.frame_sender.enqueue(Bytes::from_static(&[PING_TAG]));
            return LinkHealth::PingSent;
        }
        if since_received < close_after {
            return LinkHealth::PingUnanswered;
        }
        state.close();
        LinkHealth::TimedOut
    }

    /// Waits until all queued messages are written to the connection, or the link is closed.
    pub async fn flushed(&self) {
        let state = &self.frame_sender.state;
        loop {
            let flushed = state.flushed.notified();
            if state.queued_bytes.load(Ordering::Relaxed) == 0 {
                return;
            }
            tokio::select! {
                () = flushed => {}
                () = state.closed() => return,
            }
        }
    }

    /// Closes the link; queued messages may be lost.
    pub fn close(&self) {
        self.frame_sender.state.close();
    }

    /// Returns whether the link is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.frame_sender.state.closed.is_cancelled() || self.frame_sender.queue.is_closed()
    }
}

async fn write_frames(
    write_half: OwnedWriteHalf,
    mut queue: UnboundedReceiver<Bytes>,
    state: Arc<LinkState>,
) {
    let mut sink = FramedWrite::new(write_half, crate::frame_codec());
    let closed = state.closed.clone();
    let write_all = async {
        while let Some(first) = queue.recv().await {
            write_batch(&mut sink, first, &mut queue, &state).await?;
        }
        SinkExt::<Bytes>::close(&mut sink).await
    };
    tokio::select! {
        result = write_all => {
            if let Err(error) = result {
                tracing::debug!(event = "link-write-failed", %error);
            }
        }
        () = closed.cancelled() => {}
    }
    state.close();
}

async fn write_batch(
    sink: &mut FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
    first: Bytes,
    queue: &mut UnboundedReceiver<Bytes>,
    state: &LinkState,
) -> std::io::Result<()> {
    let mut length = first.len();
    sink.feed(first).await?;
    for _ in 1..MAX_BATCH_FRAMES {
        let Ok(next) = queue.try_recv() else {
            break;
        };
        length += next.len();
        sink.feed(next).await?;
    }
    SinkExt::<Bytes>::flush(sink).await?;
    state.queued_bytes.fetch_sub(length, Ordering::Relaxed);
    state.flushed.notify_waiters();
    Ok(())
}
