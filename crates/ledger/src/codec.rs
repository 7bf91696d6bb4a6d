//! Encoding with a leading version, so that unknown forms are refused.

use derive_more::Display;
use derive_more::Error;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Why bytes could not be read or a value not be written.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CodecError {
    /// There are no bytes at all.
    #[display("no bytes")]
    Empty,
    /// The bytes have another version.
    #[display("version {found} is not supported, expected {expected}")]
    Version {
        /// Version found.
        found: u8,
        /// Version that this process reads.
        expected: u8,
    },
    /// The bytes do not hold the value.
    #[display("malformed: {_0}")]
    Malformed(#[error(not(source))] postcard::Error),
    /// Bytes are left over after the value.
    #[display("{_0} bytes are left over")]
    LeftOver(#[error(not(source))] usize),
    /// The contents do not match their digest.
    #[display("the contents do not match their digest")]
    Digest,
}

/// Writes a value after its version.
pub(crate) fn encode(version: u8, value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(value, vec![version]).map_err(CodecError::Malformed)
}

/// Reads a value of the version given, and nothing besides.
pub(crate) fn decode<T: DeserializeOwned>(expected: u8, bytes: &[u8]) -> Result<T, CodecError> {
    let (&found, rest) = bytes.split_first().ok_or(CodecError::Empty)?;
    if found != expected {
        return Err(CodecError::Version { found, expected });
    }
    let (value, left) = postcard::take_from_bytes(rest).map_err(CodecError::Malformed)?;
    if left.is_empty() {
        return Ok(value);
    }
    Err(CodecError::LeftOver(left.len()))
}

/// Writes a value after its version, followed by a digest of all bytes.
pub(crate) fn encode_sealed(version: u8, value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    let mut bytes = encode(version, value)?;
    let digest = blake3::hash(&bytes);
    bytes.extend_from_slice(digest.as_bytes());
    Ok(bytes)
}

/// Reads what [`encode_sealed`] wrote, and refuses bytes that changed since.
pub(crate) fn decode_sealed<T: DeserializeOwned>(
    expected: u8,
    bytes: &[u8],
) -> Result<T, CodecError> {
    let &found = bytes.first().ok_or(CodecError::Empty)?;
    if found != expected {
        return Err(CodecError::Version { found, expected });
    }
    let (contents, digest) = bytes
        .split_last_chunk::<{ blake3::OUT_LEN }>()
        .ok_or(CodecError::Digest)?;
    if blake3::hash(contents).as_bytes() != digest {
        return Err(CodecError::Digest);
    }
    decode(expected, contents)
}
