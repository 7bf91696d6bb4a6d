//! Takes the body of a request out of what a connection has received; no I/O.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use httparse::Status;

/// Longest line with the size of a chunk and its extensions, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 1024;
/// Largest trailer section, in bytes, and the number of its lines.
const MAX_TRAILER_BYTES: usize = 8 * 1024;
const MAX_TRAILERS: usize = 32;
/// End of a line.
const LINE_END: &[u8] = b"\r\n";

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// The body has this length, in bytes.
    Length(u64),
    /// The body comes in chunks, the last of which is empty.
    Chunked,
}

/// The input is no body of the framing that its head has announced.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("the body is malformed")]
pub struct MalformedBody;

/// What the next part of the input is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DecodedPart {
    /// A piece of the body, which is not empty.
    Piece(Bytes),
    /// The end of the body; what follows in the input belongs to the next request.
    End,
    /// Not known until more has arrived.
    Incomplete,
}

/// Where a body in chunks is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ChunkPosition {
    SizeLine,
    /// Within a chunk of which these bytes are left.
    Data(u64),
    /// Behind the data of a chunk.
    DataEnd,
    Trailers,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyPosition {
    Length(u64),
    Chunked(ChunkPosition),
}

/// Decodes one body; trailers are left out.
#[derive(Clone, Copy, Debug)]
pub struct BodyDecoder {
    position: BodyPosition,
}

impl BodyDecoder {
    /// Creates a decoder at the start of a body.
    #[must_use]
    pub const fn new(framing: BodyFraming) -> Self {
        let position = match framing {
            BodyFraming::Length(length) => BodyPosition::Length(length),
            BodyFraming::Chunked => BodyPosition::Chunked(ChunkPosition::SizeLine),
        };
        Self { position }
    }

    /// Takes the next part of the body out of `input`.
    ///
    /// # Errors
    ///
    /// Fails if the input is malformed; nothing on the connection can be read any more then.
    pub fn decode(&mut self, input: &mut BytesMut) -> Result<DecodedPart, MalformedBody> {
        match &mut self.position {
            BodyPosition::Length(0) => Ok(DecodedPart::End),
            BodyPosition::Length(left) => Ok(take_piece(input, left)),
            BodyPosition::Chunked(position) => decode_chunks(position, input),
        }
    }
}

fn decode_chunks(
    position: &mut ChunkPosition,
    input: &mut BytesMut,
) -> Result<DecodedPart, MalformedBody> {
    loop {
        match position {
            ChunkPosition::SizeLine => match take_size(input)? {
                None => return Ok(DecodedPart::Incomplete),
                Some(0) => *position = ChunkPosition::Trailers,
                Some(size) => *position = ChunkPosition::Data(size),
            },
            ChunkPosition::Data(0) => *position = ChunkPosition::DataEnd,
            ChunkPosition::Data(left) => return Ok(take_piece(input, left)),
            ChunkPosition::DataEnd => {
                if input.len() < LINE_END.len() {
                    return Ok(DecodedPart::Incomplete);
                }
                if !input.starts_with(LINE_END) {
                    return Err(MalformedBody);
                }
                input.advance(LINE_END.len());
                *position = ChunkPosition::SizeLine;
            }
            ChunkPosition::Trailers => {
                let is_whole = take_trailers(input)?;
                return Ok(if is_whole {
                    DecodedPart::End
                } else {
                    DecodedPart::Incomplete
                });
            }
        }
    }
}

/// Takes what has arrived of the `left` bytes.
fn take_piece(input: &mut BytesMut, left: &mut u64) -> DecodedPart {
    if input.is_empty() {
        return DecodedPart::Incomplete;
    }
    let length = usize::try_from(*left)
        .unwrap_or(usize::MAX)
        .min(input.len());
    *left -= length as u64;
    DecodedPart::Piece(input.split_to(length).freeze())
}

/// Takes the line with the size of the next chunk; `None` if it has not arrived whole.
fn take_size(input: &mut BytesMut) -> Result<Option<u64>, MalformedBody> {
    match httparse::parse_chunk_size(input) {
        Ok(Status::Complete((line_bytes, size))) => {
            input.advance(line_bytes);
            Ok(Some(size))
        }
        Ok(Status::Partial) if input.len() <= MAX_SIZE_LINE_BYTES => Ok(None),
        Ok(Status::Partial) | Err(_) => Err(MalformedBody),
    }
}

/// Takes the trailers with the empty line behind them; returns whether they have arrived whole.
fn take_trailers(input: &mut BytesMut) -> Result<bool, MalformedBody> {
    let mut trailers = [httparse::EMPTY_HEADER; MAX_TRAILERS];
    match httparse::parse_headers(input, &mut trailers) {
        Ok(Status::Complete((section_bytes, _))) => {
            input.advance(section_bytes);
            Ok(true)
        }
        Ok(Status::Partial) if input.len() <= MAX_TRAILER_BYTES => Ok(false),
        Ok(Status::Partial) | Err(_) => Err(MalformedBody),
    }
}
