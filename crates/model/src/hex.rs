//! Hexadecimal text of keys, digests and hashes.

use std::fmt::Write;

/// Writes bytes as lower-case hexadecimal digits.
#[must_use]
pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Reads exactly 32 bytes from 64 hexadecimal digits of either case.
#[must_use]
pub fn decode_32(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 {
        return None;
    }
    let mut bytes = [0; 32];
    for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        *byte = (digit(pair[0])? << 4) | digit(pair[1])?;
    }
    Some(bytes)
}

fn digit(letter: u8) -> Option<u8> {
    let digit = char::from(letter).to_digit(16)?;
    u8::try_from(digit).ok()
}
