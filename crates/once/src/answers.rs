//! Answers kept for re-sends.

use std::collections::BTreeMap;

use model::idempotency::StoredResponse;
use serde::Deserialize;
use serde::Serialize;
use serde::Serializer;

use crate::record::RecordKey;
use crate::sum::SetSum;

/// A kept answer, encoded, since most are never asked for.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct KeptAnswer {
    key: RecordKey,
    /// Bytes of body and content type.
    content_bytes: u32,
    #[serde(serialize_with = "as_bytes")]
    encoded: Box<[u8]>,
}

/// All kept answers, in the order in which they are dropped.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct AnswerStore {
    next_order: u64,
    kept: BTreeMap<u64, KeptAnswer>,
    #[serde(skip)]
    total_bytes: usize,
    #[serde(skip)]
    sum: SetSum,
}

impl AnswerStore {
    /// Keeps an answer and returns its place in the order.
    pub(crate) fn keep(&mut self, key: RecordKey, answer: &StoredResponse) -> Option<u64> {
        let order = self.next_order;
        let kept = KeptAnswer {
            key,
            content_bytes: u32::try_from(content_bytes(answer)).ok()?,
            encoded: postcard::to_stdvec(answer).ok()?.into_boxed_slice(),
        };
        self.next_order += 1;
        self.count(order, &kept);
        self.kept.insert(order, kept);
        Some(order)
    }

    /// Returns a kept answer.
    pub(crate) fn get(&self, order: u64) -> Option<StoredResponse> {
        let kept = self.kept.get(&order)?;
        postcard::from_bytes(&kept.encoded).ok()
    }

    /// Drops an answer.
    pub(crate) fn remove(&mut self, order: u64) {
        if let Some(kept) = self.kept.remove(&order) {
            self.total_bytes -= kept.content_bytes as usize;
            self.sum.remove(&(order, &kept));
        }
    }

    /// Drops the oldest answer and returns its record.
    pub(crate) fn pop_oldest(&mut self) -> Option<RecordKey> {
        let (&order, kept) = self.kept.first_key_value()?;
        let key = kept.key;
        self.remove(order);
        Some(key)
    }

    /// Returns the bytes of all bodies and content types.
    pub(crate) fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Counts what a snapshot brought.
    pub(crate) fn recount(&mut self) {
        for (order, kept) in std::mem::take(&mut self.kept) {
            self.count(order, &kept);
            self.kept.insert(order, kept);
        }
    }

    /// Feeds what is kept to a hasher.
    pub(crate) fn hash_into(&self, hasher: &mut blake3::Hasher) {
        hasher.update(&self.next_order.to_le_bytes());
        self.sum.hash_into(hasher);
    }

    fn count(&mut self, order: u64, kept: &KeptAnswer) {
        self.total_bytes += kept.content_bytes as usize;
        self.sum.add(&(order, kept));
    }
}

/// Returns the bytes that an answer counts for.
pub(crate) fn content_bytes(answer: &StoredResponse) -> usize {
    let content_type = answer.content_type.as_ref().map_or(0, String::len);
    answer.body.len() + content_type
}

/// Writes bytes in one piece; they are read back as any sequence is.
fn as_bytes<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}
