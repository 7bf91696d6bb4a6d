//! API keys of callers, and the digests under which they are stored.

use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;

use crate::ids::KeyDigest;

/// Prefix of every key, by which secret scanners find leaked keys.
pub const KEY_PREFIX: &str = "rwp_";

/// Random bytes in a key.
pub const KEY_RANDOM_BYTES: usize = 32;

/// Key derivation context that separates these digests from all others.
const DIGEST_CONTEXT: &str = "ragwortplank caller key digest v1";

/// Returns the digest under which a key is declared and looked up.
///
/// A key has 256 random bits and cannot be guessed, so a fast hash is enough;
/// a slow password hash would add no protection.
#[must_use]
pub fn digest_key(key: &str) -> KeyDigest {
    blake3::derive_key(DIGEST_CONTEXT, key.as_bytes())
}

/// Encodes random bytes as a key: the prefix followed by base64url.
#[must_use]
pub fn encode_key(random: &[u8; KEY_RANDOM_BYTES]) -> String {
    format!("{KEY_PREFIX}{}", BASE64_URL_SAFE_NO_PAD.encode(random))
}
