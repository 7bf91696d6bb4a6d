//! Idempotency record of one request, and its key.

use model::idempotency::IdempotencyClaim;
use model::ids::NodeId;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;
use uuid::Variant;

use crate::scope::ScopeId;

/// Bytes kept of a request's digest: enough to tell the requests of one caller apart.
const BODY_DIGEST_BYTES: usize = 16;

/// Truncated digest of a request.
pub(crate) type BodyDigest = [u8; BODY_DIGEST_BYTES];

/// Key of a record; the caller's key is the first field, so that records sort by its timestamp.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub(crate) struct RecordKey {
    pub(crate) key: Uuid,
    pub(crate) scope: ScopeId,
}

impl RecordKey {
    /// Returns the timestamp of the caller's key, in milliseconds since the Unix epoch.
    pub(crate) fn timestamp_ms(&self) -> u64 {
        timestamp_ms(&self.key)
    }
}

/// Returns whether a caller's key is a UUID version 7.
pub(crate) fn is_version_7(key: &Uuid) -> bool {
    key.get_version_num() == 7 && key.get_variant() == Variant::RFC4122
}

/// Returns the timestamp of a UUID version 7, its first 48 bits.
pub(crate) fn timestamp_ms(key: &Uuid) -> u64 {
    u64::try_from(key.as_u128() >> 80).unwrap_or(u64::MAX)
}

/// Identity of one attempt by one node.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub(crate) node: NodeId,
    pub(crate) number: u64,
}

/// State of the last attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) enum RecordState {
    /// The attempt may still be running.
    Claimed,
    /// The attempt did not run. Remembered until the given time, so that a
    /// claim of the same attempt that arrives late does not claim the record
    /// again.
    Freed {
        /// Logged time at which the record is removed, in milliseconds.
        remembered_until_ms: u64,
    },
    /// The attempt ran or may have run; no answer is stored.
    MayHaveRun,
    /// The attempt ran, and its answer is stored.
    Answered {
        /// Sequence number of the stored answer.
        sequence: u64,
    },
}

/// Idempotency record of one request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct IdempotencyRecord {
    /// Digest of the request; `None` if the attempt ended before its claim arrived.
    pub(crate) body: Option<BodyDigest>,
    pub(crate) attempt: Attempt,
    pub(crate) state: RecordState,
}

impl IdempotencyRecord {
    pub(crate) fn claimed(claim: &IdempotencyClaim) -> Self {
        Self {
            body: Some(body_digest(claim)),
            attempt: Attempt {
                node: claim.node,
                number: claim.attempt,
            },
            state: RecordState::Claimed,
        }
    }
}

/// Returns the truncated digest of a claimed request.
pub(crate) fn body_digest(claim: &IdempotencyClaim) -> BodyDigest {
    let mut digest = BodyDigest::default();
    digest.copy_from_slice(&claim.request_digest[..BODY_DIGEST_BYTES]);
    digest
}
