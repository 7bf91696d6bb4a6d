//! Hexadecimal encoding of keys, digests and hashes.

use std::fmt::Write;

/// Encodes bytes as lower-case hexadecimal digits.
#[must_use]
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Decodes bytes from hexadecimal digits of either case.
#[must_use]
pub fn decode(text: &str) -> Option<Vec<u8>> {
    let (pairs, rest) = text.as_bytes().as_chunks::<2>();
    if !rest.is_empty() {
        return None;
    }
    let bytes = pairs
        .iter()
        .map(|[high, low]| Some((digit(*high)? << 4) | digit(*low)?));
    bytes.collect()
}

/// Decodes exactly 32 bytes from 64 hexadecimal digits of either case.
#[must_use]
pub fn decode_32(text: &str) -> Option<[u8; 32]> {
    decode(text)?.try_into().ok()
}

fn digit(letter: u8) -> Option<u8> {
    let digit = char::from(letter).to_digit(16)?;
    u8::try_from(digit).ok()
}
