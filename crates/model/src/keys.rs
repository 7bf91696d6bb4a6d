//! Keys that callers show, and the digests that are kept of them.

use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;

use crate::ids::KeyDigest;

/// Prefix of every key, so that leaked ones are found by secret scanners.
pub const KEY_PREFIX: &str = "rwp_";

/// Random bytes in a key.
pub const KEY_RANDOM_BYTES: usize = 32;

/// Separates digests of keys from all other digests.
const DIGEST_CONTEXT: &str = "ragwortplank caller key digest v1";

/// Returns the digest under which a key is declared and looked up.
///
/// A key holds 256 random bits, so one fast hash is enough: there is nothing
/// to guess that a slow hash would protect.
#[must_use]
pub fn digest_key(key: &str) -> KeyDigest {
    blake3::derive_key(DIGEST_CONTEXT, key.as_bytes())
}

/// Writes random bytes as the text of a key: the prefix and base64url.
#[must_use]
pub fn encode_key(random: &[u8; KEY_RANDOM_BYTES]) -> String {
    format!("{KEY_PREFIX}{}", BASE64_URL_SAFE_NO_PAD.encode(random))
}
