//! Incremental hash of a set of items.

use serde::Serialize;

/// Incremental hash of a set: the sum of the hashes of its items.
///
/// The BLAKE3 hashes of the items are added word by word, so that adding and
/// removing an item are cheap and the order does not matter. It detects
/// replicas whose state has diverged through a fault; it gives no protection
/// against forged items.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct SetHash([u64; 4]);

impl SetHash {
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

    /// Updates `hasher` with the sum.
    pub(crate) fn hash_into(&self, hasher: &mut blake3::Hasher) {
        for word in self.0 {
            hasher.update(&word.to_le_bytes());
        }
    }
}

fn words(item: &impl Serialize) -> [u64; 4] {
    // Encoding into a growing vector fails only for types that postcard cannot
    // encode; all instances then hash the item as empty in the same way.
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
