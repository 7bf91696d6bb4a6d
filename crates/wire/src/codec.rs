//! Frames of a QUIC stream: a length prefix and one message in postcard encoding.

use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_serde::Deserializer;
use tokio_serde::Serializer;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame, in bytes; a longer one breaks the connection.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Postcard codec that receives messages of type `In` and sends those of type `Out`.
#[derive(Debug)]
pub struct PostcardCodec<In, Out> {
    marker: PhantomData<fn(Out) -> In>,
}

impl<In, Out> Default for PostcardCodec<In, Out> {
    fn default() -> Self {
        Self {
            marker: PhantomData,
        }
    }
}

impl<In, Out: Serialize> Serializer<Out> for PostcardCodec<In, Out> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, message: &Out) -> io::Result<Bytes> {
        let encoded = postcard::to_stdvec(message).map_err(io::Error::other)?;
        Ok(Bytes::from(encoded))
    }
}

impl<In: DeserializeOwned, Out> Deserializer<In> for PostcardCodec<In, Out> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, frame: &BytesMut) -> io::Result<In> {
        let (message, rest) = postcard::take_from_bytes(frame)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        if rest.is_empty() {
            return Ok(message);
        }
        let reason = format!("{} bytes after the message", rest.len());
        Err(io::Error::new(io::ErrorKind::InvalidData, reason))
    }
}

/// Returns the length-delimited codec, which limits the frame size in both directions.
#[must_use]
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
