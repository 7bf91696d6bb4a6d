//! Writes answers to a connection, as fast as its caller reads.

use std::collections::VecDeque;
use std::io;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::StatusCode;
use http::header;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

use crate::ingress::refusal::BufferedResponse;

/// Longest body that is copied behind its head, so that both leave together, in bytes.
const JOINED_BODY_BYTES: usize = 8 * 1024;
/// Bytes that are reserved for a head, so that most are written without growing.
const HEAD_RESERVE_BYTES: usize = 512;

/// Asks a caller for the body that it holds back.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Marks the answer to a request that wants the head alone.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeadOnly;

/// What is left to write of one answer.
#[derive(Debug, Default)]
pub(super) struct AnswerWriter {
    parts: VecDeque<Bytes>,
    /// Whether one of the parts ends an answer.
    has_answer: bool,
}

impl AnswerWriter {
    /// Returns whether everything is written.
    pub(super) fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns whether an answer has been written since the last call, and nothing is left.
    pub(super) fn take_finished_answer(&mut self) -> bool {
        self.is_empty() && std::mem::take(&mut self.has_answer)
    }

    /// Begins to write an answer; the one before it must be written.
    pub(super) fn begin(&mut self, answer: BufferedResponse, closes: bool) {
        self.has_answer = true;
        let (head, body) = answer.into_parts();
        let mut text = BytesMut::with_capacity(HEAD_RESERVE_BYTES);
        let is_head_only = head.extensions.get::<HeadOnly>().is_some();
        let announced = announced_bytes(&head.headers).filter(|_| is_head_only);
        let body_bytes = announced.unwrap_or(body.len() as u64);
        write_head(&mut text, head.status, &head.headers, body_bytes, closes);
        if is_head_only || has_no_body(head.status) {
            self.parts.push_back(text.freeze());
        } else if body.len() <= JOINED_BODY_BYTES {
            text.extend_from_slice(&body);
            self.parts.push_back(text.freeze());
        } else {
            self.parts.push_back(text.freeze());
            self.parts.push_back(body);
        }
    }

    /// Asks the caller for the body that it holds back, behind what is being written.
    pub(super) fn ask_for_body(&mut self) {
        self.parts.push_back(Bytes::from_static(CONTINUE));
    }

    /// Writes a part; may be cancelled, in which case nothing is lost.
    ///
    /// # Errors
    ///
    /// Fails when the connection does.
    pub(super) async fn write_part<W: AsyncWrite + Unpin>(&mut self, to: &mut W) -> io::Result<()> {
        let Some(part) = self.parts.front_mut() else {
            return Ok(());
        };
        if to.write_buf(part).await? == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        if !part.has_remaining() {
            self.parts.pop_front();
        }
        Ok(())
    }
}

/// Returns the length that the headers of an answer give for its body.
fn announced_bytes(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Returns whether answers of this status end with their head.
fn has_no_body(status: StatusCode) -> bool {
    let is_bare = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    status.is_informational() || is_bare
}

/// Writes a head; what it says of framing and of the connection comes from here alone.
fn write_head(
    text: &mut BytesMut,
    status: StatusCode,
    headers: &HeaderMap,
    body_bytes: u64,
    closes: bool,
) {
    text.extend_from_slice(b"HTTP/1.1 ");
    text.extend_from_slice(status.as_str().as_bytes());
    text.extend_from_slice(b" ");
    text.extend_from_slice(status.canonical_reason().unwrap_or_default().as_bytes());
    text.extend_from_slice(b"\r\n");
    let set_here = [
        header::CONNECTION,
        header::CONTENT_LENGTH,
        header::TRANSFER_ENCODING,
    ];
    let forwarded = headers.iter().filter(|(name, _)| !set_here.contains(name));
    for (name, value) in forwarded {
        write_line(text, name.as_str(), value.as_bytes());
    }
    if !has_no_body(status) {
        write_line(text, "content-length", body_bytes.to_string().as_bytes());
    }
    if closes {
        write_line(text, "connection", b"close");
    }
    text.extend_from_slice(b"\r\n");
}

fn write_line(text: &mut BytesMut, name: &str, value: &[u8]) {
    text.extend_from_slice(name.as_bytes());
    text.extend_from_slice(b": ");
    text.extend_from_slice(value);
    text.extend_from_slice(b"\r\n");
}
