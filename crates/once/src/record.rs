//! One record and its key.

use model::idempotency::IdempotencyClaim;
use model::ids::NodeId;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;
use uuid::Variant;

use crate::scope::ScopeId;

/// Bytes kept of the digest of a request: enough to tell requests of one caller apart.
const BODY_BYTES: usize = 16;

/// What is kept of the digest of a request.
pub(crate) type BodyDigest = [u8; BODY_BYTES];

/// Key of a record; the caller's key comes first, so that order is by its time stamp.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub(crate) struct RecordKey {
    pub(crate) key: Uuid,
    pub(crate) scope: ScopeId,
}

impl RecordKey {
    /// Returns the time stamp of the caller's key, in milliseconds since the epoch.
    pub(crate) fn stamp_ms(&self) -> u64 {
        stamp_ms(&self.key)
    }
}

/// Returns whether a caller's key is a UUID version 7.
pub(crate) fn is_version_7(key: &Uuid) -> bool {
    key.get_version_num() == 7 && key.get_variant() == Variant::RFC4122
}

/// Returns the time stamp in a UUID version 7: its first 48 bits.
pub(crate) fn stamp_ms(key: &Uuid) -> u64 {
    u64::try_from(key.as_u128() >> 80).unwrap_or(u64::MAX)
}

/// One attempt by one node.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub(crate) node: NodeId,
    pub(crate) number: u64,
}

/// What is known of the last attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) enum RecordState {
    /// The attempt may be running.
    Claimed,
    /// It did not run; remembered until the time given, so that a claim
    /// delivered late does not take the record again.
    Freed {
        /// Logged time of the end of the memory, in milliseconds.
        until_ms: u64,
    },
    /// It ran or may have run; no answer is kept.
    MayHaveRun,
    /// It ran, and its answer is kept.
    Answered {
        /// Place of the answer in the order in which answers are dropped.
        order: u64,
    },
}

/// The record of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct OnceRecord {
    /// Digest of the request; none when only the end of the attempt was seen.
    pub(crate) body: Option<BodyDigest>,
    pub(crate) attempt: Attempt,
    pub(crate) state: RecordState,
}

impl OnceRecord {
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

/// Returns what is kept of the digest of a claimed request.
pub(crate) fn body_digest(claim: &IdempotencyClaim) -> BodyDigest {
    let mut digest = BodyDigest::default();
    digest.copy_from_slice(&claim.request_digest[..BODY_BYTES]);
    digest
}
