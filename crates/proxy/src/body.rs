//! Reading of HTTP bodies within a memory budget.

use std::fmt::Display;

use bytes::Bytes;
use derive_more::Error;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::memory_budget::BodyBuffer;
use crate::memory_budget::BodyTooLarge;

/// Why a body could not be read.
#[derive(Debug, derive_more::Display, Error)]
pub(crate) enum BodyError {
    /// It does not fit into the memory for it.
    #[display("{_0}")]
    TooLarge(BodyTooLarge),
    /// The connection broke, or the bytes are no body.
    #[display("{_0}")]
    Broken(#[error(not(source))] String),
}

/// Reads a whole body into `buffer`; `note_progress` is told the length of each chunk.
///
/// Trailers are left out.
pub(crate) async fn read_body<B>(
    mut body: B,
    mut buffer: BodyBuffer,
    note_progress: impl Fn(usize),
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error: Display> + Unpin,
{
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| BodyError::Broken(error.to_string()))?;
        if let Some(chunk) = frame.data_ref() {
            buffer.append(chunk).map_err(BodyError::TooLarge)?;
            note_progress(chunk.len());
        }
    }
    Ok(buffer.freeze())
}
