//! Binary encoding with a leading version byte, so that unknown formats are rejected.

use derive_more::Display;
use derive_more::Error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Reason why a value could not be encoded or decoded.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CodecError {
    /// The input is empty.
    #[display("no bytes")]
    Empty,
    /// The input has another format version.
    #[display("version {found} is not supported, expected {expected}")]
    UnsupportedVersion {
        /// Version of the input.
        found: u8,
        /// Version that this process supports.
        expected: u8,
    },
    /// The value has no encoding, or the input is not an encoded value.
    #[display("malformed: {_0}")]
    Malformed(#[error(not(source))] postcard::Error),
    /// The given number of bytes follow the value.
    #[display("{_0} bytes are left over")]
    TrailingBytes(#[error(not(source))] usize),
    /// The digest does not match the contents.
    #[display("the contents do not match their digest")]
    DigestMismatch,
}

/// Encodes a value after a version byte.
pub(crate) fn encode(version: u8, value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(value, vec![version]).map_err(CodecError::Malformed)
}

/// Decodes a value of the expected version; the input must contain nothing else.
pub(crate) fn decode<T: DeserializeOwned>(expected: u8, bytes: &[u8]) -> Result<T, CodecError> {
    let (&found, rest) = bytes.split_first().ok_or(CodecError::Empty)?;
    if found != expected {
        return Err(CodecError::UnsupportedVersion { found, expected });
    }
    let (value, trailing) = postcard::take_from_bytes(rest).map_err(CodecError::Malformed)?;
    if trailing.is_empty() {
        return Ok(value);
    }
    Err(CodecError::TrailingBytes(trailing.len()))
}

/// Encodes a value after a version byte, and appends a digest of all bytes.
pub(crate) fn encode_with_digest(
    version: u8,
    value: &impl Serialize,
) -> Result<Vec<u8>, CodecError> {
    let mut bytes = encode(version, value)?;
    let digest = blake3::hash(&bytes);
    bytes.extend_from_slice(digest.as_bytes());
    Ok(bytes)
}

/// Decodes the output of [`encode_with_digest`] after a check of its digest.
pub(crate) fn decode_with_digest<T: DeserializeOwned>(
    expected: u8,
    bytes: &[u8],
) -> Result<T, CodecError> {
    let &found = bytes.first().ok_or(CodecError::Empty)?;
    if found != expected {
        return Err(CodecError::UnsupportedVersion { found, expected });
    }
    let (contents, digest) = bytes
        .split_last_chunk::<{ blake3::OUT_LEN }>()
        .ok_or(CodecError::DigestMismatch)?;
    if blake3::hash(contents).as_bytes() != digest {
        return Err(CodecError::DigestMismatch);
    }
    decode(expected, contents)
}
