//! One record and its key.

use std::sync::Arc;

use model::ids::NodeId;
use model::ids::RouteName;
use model::ids::TeamName;
use model::once::OnceClaim;
use model::once::OnceKey;
use model::once::StoredAnswer;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;
use uuid::Variant;

/// Key of a record; the caller's key comes first, so that order is by its time stamp.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub(crate) struct RecordKey {
    pub(crate) key: Uuid,
    pub(crate) team: TeamName,
    pub(crate) route: RouteName,
}

impl RecordKey {
    pub(crate) fn new(key: &OnceKey) -> Self {
        Self {
            key: key.key,
            team: Arc::clone(&key.team),
            route: Arc::clone(&key.route),
        }
    }

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
    /// It ran; `order` counts stored answers up.
    Answered {
        /// The answer.
        answer: Box<StoredAnswer>,
        /// Position in the order in which answers are dropped.
        order: u64,
    },
}

/// The record of a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct OnceRecord {
    /// Digest of the request; none when only the end of the attempt was seen.
    pub(crate) body: Option<[u8; 32]>,
    pub(crate) attempt: Attempt,
    pub(crate) state: RecordState,
}

impl OnceRecord {
    pub(crate) fn claimed(claim: &OnceClaim) -> Self {
        Self {
            body: Some(claim.body),
            attempt: Attempt {
                node: claim.node,
                number: claim.attempt,
            },
            state: RecordState::Claimed,
        }
    }
}

/// Returns the bytes that an answer counts for.
pub(crate) fn answer_bytes(answer: &StoredAnswer) -> usize {
    let content_type = answer.content_type.as_ref().map_or(0, String::len);
    answer.body.len() + content_type
}
