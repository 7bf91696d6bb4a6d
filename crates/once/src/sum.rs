//! Digest of a set that is kept up to date as its items come and go.

use serde::Serialize;

/// Sum of the digests of all items of a set.
///
/// Each item counts with its BLAKE3 digest, added up word by word, so that
/// adding and removing are cheap and order does not matter. It finds states
/// that drifted apart by a fault; it is no proof against forged items.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct SetSum([u64; 4]);

impl SetSum {
    pub(crate) fn add(&mut self, item: &impl Serialize) {
        for (word, part) in self.0.iter_mut().zip(words(item)) {
            *word = word.wrapping_add(part);
        }
    }

    pub(crate) fn remove(&mut self, item: &impl Serialize) {
        for (word, part) in self.0.iter_mut().zip(words(item)) {
            *word = word.wrapping_sub(part);
        }
    }

    /// Feeds the sum to a hasher.
    pub(crate) fn hash_into(&self, hasher: &mut blake3::Hasher) {
        for word in self.0 {
            hasher.update(&word.to_le_bytes());
        }
    }
}

fn words(item: &impl Serialize) -> [u64; 4] {
    // Encoding into a growing vector fails only for types that postcard has
    // no encoding for; then all instances count the item as empty alike.
    let encoded = postcard::to_stdvec(item).unwrap_or_default();
    let digest = blake3::hash(&encoded);
    let mut words = [0; 4];
    for (word, bytes) in words.iter_mut().zip(digest.as_bytes().chunks_exact(8)) {
        let mut part = [0; 8];
        part.copy_from_slice(bytes);
        *word = u64::from_le_bytes(part);
    }
    words
}
