//! Receiving half of a link.

use std::marker::PhantomData;

use futures::StreamExt;
use serde::de::DeserializeOwned;
use tokio::net::tcp::OwnedReadHalf;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;

use crate::MESSAGE_TAG;
use crate::PING_TAG;
use crate::sender::FrameSender;

/// Receives messages of type `M`; dropping it closes the link.
#[derive(Debug)]
pub struct LinkReceiver<M> {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    sender: FrameSender,
    message_type: PhantomData<fn() -> M>,
}

impl<M: DeserializeOwned> LinkReceiver<M> {
    pub(crate) fn new(read_half: OwnedReadHalf, sender: FrameSender) -> Self {
        Self {
            frames: FramedRead::new(read_half, crate::frame_codec()),
            sender,
            message_type: PhantomData,
        }
    }

    /// Waits for the next message; returns `None` once the link is closed or a frame is invalid.
    pub async fn next(&mut self) -> Option<M> {
        loop {
            let state = self.sender.state().clone();
            let frame = tokio::select! {
                frame = self.frames.next() => frame?,
                () = state.closed() => return None,
            };
            let frame = match frame {
                Ok(frame) => frame,
                Err(error) => {
                    tracing::debug!(event = "link-read-failed", %error);
                    return None;
                }
            };
            state.note_received();
            match frame.split_first() {
                Some((&MESSAGE_TAG, body)) => match postcard::from_bytes(body) {
                    Ok(message) => return Some(message),
                    Err(error) => {
                        tracing::warn!(event = "message-unreadable", %error);
                        return None;
                    }
                },
                Some((&PING_TAG, _)) => self.sender.send_pong(),
                // A pong, or a frame type of a later version.
                _ => {}
            }
        }
    }
}

impl<M> Drop for LinkReceiver<M> {
    fn drop(&mut self) {
        self.sender.state().close();
    }
}
