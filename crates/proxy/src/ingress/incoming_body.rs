//! Body of a request, whole or as it arrives on its connection.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;

use crate::body_decoder::BodyDecoder;
use crate::body_decoder::BodyFraming;
use crate::body_decoder::DecodedPart;
use crate::body_decoder::MalformedBody;

/// Pieces that are passed on before the reader of the body takes one.
const PIECES_AHEAD: usize = 2;

/// The connection ended within the body, or the bytes are no body.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the body broke off")]
pub(super) struct BodyCut;

/// A piece of a body, or its end.
#[derive(Debug)]
pub(super) enum BodyPart {
    Piece(Bytes),
    End,
}

/// Body of a request that is read from its connection.
#[derive(Debug)]
pub(super) enum IncomingBody {
    /// All of the body, which may be empty.
    Whole(Bytes),
    /// A body of which more may arrive.
    Arriving {
        parts: mpsc::Receiver<BodyPart>,
        /// Tells the connection that the body is wanted.
        wanted: Option<oneshot::Sender<()>>,
    },
    /// Nothing is left.
    Ended,
}

impl Body for IncomingBody {
    type Data = Bytes;
    type Error = BodyCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyCut>>> {
        let next = match &mut *self {
            Self::Ended => return Poll::Ready(None),
            Self::Whole(body) => BodyPart::Piece(std::mem::take(body)),
            Self::Arriving { parts, wanted } => {
                if let Some(wanted) = wanted.take() {
                    // A connection that has ended asks for nothing.
                    let _ = wanted.send(());
                }
                match ready!(parts.poll_recv(context)) {
                    Some(BodyPart::Piece(piece)) => {
                        return Poll::Ready(Some(Ok(Frame::data(piece))));
                    }
                    Some(BodyPart::End) => BodyPart::End,
                    None => return Poll::Ready(Some(Err(BodyCut))),
                }
            }
        };
        *self = Self::Ended;
        Poll::Ready(match next {
            BodyPart::Piece(body) if !body.is_empty() => Some(Ok(Frame::data(body))),
            BodyPart::Piece(_) | BodyPart::End => None,
        })
    }
}

/// What became of the input of a connection that a body is read from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FeedProgress {
    /// The body has ended.
    Ended,
    /// More input is needed.
    NeedsInput,
    /// The reader of the body has to take a piece first.
    NeedsRoom,
}

/// What has to be done for a body that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FeedEvent {
    /// Its caller waits to be asked for it.
    Wanted,
    /// There is room for more of it.
    Room,
}

/// The connection's end of a body that arrives.
#[derive(Debug)]
pub(super) struct BodyFeed {
    decoder: BodyDecoder,
    parts: mpsc::Sender<BodyPart>,
    wanted: Option<oneshot::Receiver<()>>,
}

impl BodyFeed {
    /// Creates both ends of a body; `asks` says whether the caller waits to be asked for it.
    pub(super) fn new(framing: BodyFraming, asks: bool) -> (Self, IncomingBody) {
        let (sender, receiver) = mpsc::channel(PIECES_AHEAD);
        let (wanted_sender, wanted) = oneshot::channel();
        let feed = Self {
            decoder: BodyDecoder::new(framing),
            parts: sender,
            wanted: asks.then_some(wanted),
        };
        let body = IncomingBody::Arriving {
            parts: receiver,
            wanted: asks.then_some(wanted_sender),
        };
        (feed, body)
    }

    /// Passes on what `input` has of the body; drops it if nobody reads the body any more.
    ///
    /// # Errors
    ///
    /// Fails if the input is malformed.
    pub(super) fn feed(&mut self, input: &mut BytesMut) -> Result<FeedProgress, MalformedBody> {
        loop {
            let room = match self.parts.try_reserve() {
                Ok(room) => Some(room),
                Err(TrySendError::Full(())) => return Ok(FeedProgress::NeedsRoom),
                Err(TrySendError::Closed(())) => None,
            };
            let part = match self.decoder.decode(input)? {
                DecodedPart::Incomplete => return Ok(FeedProgress::NeedsInput),
                DecodedPart::Piece(piece) => BodyPart::Piece(piece),
                DecodedPart::End => BodyPart::End,
            };
            let has_ended = matches!(part, BodyPart::End);
            if let Some(room) = room {
                room.send(part);
            }
            if has_ended {
                return Ok(FeedProgress::Ended);
            }
        }
    }

    /// Waits until something has to be done for the body; `needs_room` says whether its reader has
    /// to take a piece first.
    pub(super) async fn event(&mut self, needs_room: bool) -> FeedEvent {
        let Self { parts, wanted, .. } = self;
        tokio::select! {
            () = asked(wanted) => FeedEvent::Wanted,
            // Fails if nobody reads the body any more: then it is dropped as it arrives.
            _ = parts.reserve(), if needs_room => FeedEvent::Room,
        }
    }
}

/// Waits until a body is wanted that its caller holds back; never completes otherwise.
async fn asked(wanted: &mut Option<oneshot::Receiver<()>>) {
    let is_wanted = match wanted {
        Some(receiver) => receiver.await.is_ok(),
        None => false,
    };
    *wanted = None;
    if !is_wanted {
        std::future::pending::<()>().await;
    }
}
