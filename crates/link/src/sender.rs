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
const QUEUED_BYTES: usize = 24 * 1024 * 1024;
/// Most frames that are written with one flush.
const BATCH_FRAMES: usize = 256;

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
    opened: Instant,
    heard_ms: AtomicU64,
    queued: AtomicUsize,
    asked: AtomicBool,
    closed: CancellationToken,
}

impl LinkState {
    pub(crate) fn heard(&self) {
        self.heard_ms.store(self.age_ms(), Ordering::Relaxed);
        self.asked.store(false, Ordering::Relaxed);
    }

    pub(crate) async fn closed(&self) {
        self.closed.cancelled().await;
    }

    pub(crate) fn close(&self) {
        self.closed.cancel();
    }

    fn age_ms(&self) -> u64 {
        u64::try_from(self.opened.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn silent_ms(&self) -> u64 {
        self.age_ms()
            .saturating_sub(self.heard_ms.load(Ordering::Relaxed))
    }
}

/// Queues encoded frames for the writer task.
#[derive(Clone, Debug)]
pub(crate) struct RawSender {
    frames: UnboundedSender<Bytes>,
    state: Arc<LinkState>,
}

impl RawSender {
    pub(crate) fn state(&self) -> &Arc<LinkState> {
        &self.state
    }

    pub(crate) fn pong(&self) {
        self.push(Bytes::from_static(&[PONG_TAG]));
    }

    fn push(&self, frame: Bytes) -> bool {
        if self.state.closed.is_cancelled() {
            return false;
        }
        let length = frame.len();
        let queued = self.state.queued.fetch_add(length, Ordering::Relaxed) + length;
        if queued > QUEUED_BYTES {
            tracing::warn!(event = "link-overrun", queued);
            self.state.close();
            return false;
        }
        self.frames.send(frame).is_ok()
    }
}

/// Sends messages of type `M`; clones share the link.
#[derive(Debug)]
pub struct LinkSender<M> {
    raw: RawSender,
    message: PhantomData<fn(M)>,
}

impl<M> Clone for LinkSender<M> {
    fn clone(&self) -> Self {
        Self {
            raw: self.raw.clone(),
            message: PhantomData,
        }
    }
}

impl<M: Serialize> LinkSender<M> {
    pub(crate) fn start(write: OwnedWriteHalf) -> Self {
        let (frames, queue) = mpsc::unbounded_channel();
        let state = Arc::new(LinkState {
            opened: Instant::now(),
            heard_ms: AtomicU64::new(0),
            queued: AtomicUsize::new(0),
            asked: AtomicBool::new(false),
            closed: CancellationToken::new(),
        });
        tokio::spawn(write_frames(write, queue, Arc::clone(&state)));
        Self {
            raw: RawSender { frames, state },
            message: PhantomData,
        }
    }

    pub(crate) fn raw(&self) -> RawSender {
        self.raw.clone()
    }

    /// Queues a message; returns `false` when the link is closed or the message cannot be encoded.
    pub fn send(&self, message: &M) -> bool {
        match postcard::to_extend(message, vec![MESSAGE_TAG]) {
            Ok(frame) => self.raw.push(frame.into()),
            Err(error) => {
                tracing::error!(event = "message-not-encoded", %error);
                false
            }
        }
    }

    /// Pings the peer when nothing was received for `ask_after`, and closes the link when
    /// nothing was received for `give_up_after`.
    ///
    /// Must be called periodically; no timer runs on its own.
    #[must_use]
    pub fn probe(&self, ask_after: Duration, give_up_after: Duration) -> LinkHealth {
        let state = &self.raw.state;
        let silent = Duration::from_millis(state.silent_ms());
        if silent < ask_after {
            return LinkHealth::Active;
        }
        if !state.asked.swap(true, Ordering::Relaxed) {
            // An idle link may carry no traffic for any time. Only the wait for the pong counts
            // towards the timeout, so the idle time before the ping is cut to `ask_after`.
            state.heard_ms.store(
                state
                    .age_ms()
                    .saturating_sub(u64::try_from(ask_after.as_millis()).unwrap_or(0)),
                Ordering::Relaxed,
            );
            self.raw.push(Bytes::from_static(&[PING_TAG]));
            return LinkHealth::PingSent;
        }
        if silent < give_up_after {
            return LinkHealth::PingUnanswered;
        }
        state.close();
        LinkHealth::TimedOut
    }

    /// Closes the link; queued messages may be lost.
    pub fn close(&self) {
        self.raw.state.close();
    }

    /// Returns whether the link is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.raw.state.closed.is_cancelled() || self.raw.frames.is_closed()
    }
}

async fn write_frames(
    write: OwnedWriteHalf,
    mut queue: UnboundedReceiver<Bytes>,
    state: Arc<LinkState>,
) {
    let mut sink = FramedWrite::new(write, crate::codec());
    let closed = state.closed.clone();
    let written = async {
        while let Some(first) = queue.recv().await {
            write_batch(&mut sink, first, &mut queue, &state).await?;
        }
        SinkExt::<Bytes>::close(&mut sink).await
    };
    tokio::select! {
        result = written => {
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
    for _ in 1..BATCH_FRAMES {
        let Ok(next) = queue.try_recv() else {
            break;
        };
        length += next.len();
        sink.feed(next).await?;
    }
    SinkExt::<Bytes>::flush(sink).await?;
    state.queued.fetch_sub(length, Ordering::Relaxed);
    Ok(())
}
