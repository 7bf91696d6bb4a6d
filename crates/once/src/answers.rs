//! Stored answers, returned when a request is sent again.

use std::collections::BTreeMap;

use model::idempotency::StoredResponse;
use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;

use crate::record::RecordKey;
use crate::set_hash::SetHash;

/// A stored answer; kept encoded, since most are never requested again.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct EncodedAnswer {
    key: RecordKey,
    /// Size of body and content type, in bytes.
    content_bytes: u32,
    #[serde(serialize_with = "as_bytes")]
    encoded: Box<[u8]>,
}

/// All stored answers, oldest first; the oldest are dropped first.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct AnswerStore {
    next_sequence: u64,
    answers: BTreeMap<u64, EncodedAnswer>,
    #[serde(skip)]
    total_bytes: usize,
    #[serde(skip)]
    hash: SetHash,
}

impl AnswerStore {
    /// Stores an answer and returns its sequence number.
    pub(crate) fn insert(&mut self, key: RecordKey, answer: &StoredResponse) -> Option<u64> {
        let sequence = self.next_sequence;
        let stored = EncodedAnswer {
            key,
            content_bytes: u32::try_from(content_bytes(answer)).ok()?,
            encoded: postcard::to_stdvec(answer).ok()?.into_boxed_slice(),
        };
        self.next_sequence += 1;
        self.add_to_totals(sequence, &stored);
        self.answers.insert(sequence, stored);
        Some(sequence)
    }

    /// Returns a stored answer.
    pub(crate) fn get(&self, sequence: u64) -> Option<StoredResponse> {
        let stored = self.answers.get(&sequence)?;
        postcard::from_bytes(&stored.encoded).ok()
    }

    /// Removes an answer.
    pub(crate) fn remove(&mut self, sequence: u64) {
        if let Some(stored) = self.answers.remove(&sequence) {
            self.total_bytes -= stored.content_bytes as usize;
            self.hash.remove(&(sequence, &stored));
        }
    }

    /// Removes the oldest answer and returns the key of its record.
    pub(crate) fn pop_oldest(&mut self) -> Option<RecordKey> {
        let (&sequence, stored) = self.answers.first_key_value()?;
        let key = stored.key;
        self.remove(sequence);
        Some(key)
    }

    /// Returns the size of all bodies and content types, in bytes.
    pub(crate) fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Recomputes size and hash, which a snapshot does not contain.
    pub(crate) fn rebuild_totals(&mut self) {
        for (sequence, stored) in std::mem::take(&mut self.answers) {
            self.add_to_totals(sequence, &stored);
            self.answers.insert(sequence, stored);
        }
    }

    /// Updates `hasher` with the stored answers.
    pub(crate) fn hash_into(&self, hasher: &mut blake3::Hasher) {
        hasher.update(&self.next_sequence.to_le_bytes());
        self.hash.hash_into(hasher);
    }

    fn add_to_totals(&mut self, sequence: u64, stored: &EncodedAnswer) {
        self.total_bytes += stored.content_bytes as usize;
        self.hash.add(&(sequence, stored));
    }
}

/// Returns the size of an answer's body and content type, in bytes.
pub(crate) fn content_bytes(answer: &StoredResponse) -> usize {
    let content_type = answer.content_type.as_ref().map_or(0, String::len);
    answer.body.len() + content_type
}

/// Serializes as one byte string, which deserializes like any sequence.
fn as_bytes<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}
