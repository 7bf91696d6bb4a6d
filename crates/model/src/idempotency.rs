//! Messages about requests that must run at most once.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::ids::NodeId;
use crate::ids::RouteName;
use crate::ids::TeamName;
use crate::verdict::RunVerdict;

/// Identity of a request that must run at most once.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct IdempotencyKey {
    /// The team whose key came with the request.
    pub team: TeamName,
    /// The route.
    pub route: RouteName,
    /// The caller's `Idempotency-Key`, a UUID version 7.
    pub key: Uuid,
}

/// Asks for the right to run a request for the first time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct IdempotencyClaim {
    /// The request.
    pub key: IdempotencyKey,
    /// Digest of method, path and body; one key with another body is an error.
    pub request_digest: [u8; 32],
    /// The node that will run it.
    pub node: NodeId,
    /// Number drawn by the node, so that a repeated claim is recognised.
    pub attempt: u64,
}

/// Answer of a request that ran, kept for its re-sends.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of `Content-Type`, if any.
    pub content_type: Option<String>,
    /// The body.
    pub body: Bytes,
}

/// Outcome of a claim.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The record is committed; the claiming node may run the request.
    Fresh,
    /// It ran, and this is its answer.
    Answered(StoredResponse),
    /// An earlier attempt holds the record and its outcome is not known.
    Pending,
    /// It ran or may have run and no answer is kept.
    MayHaveRun,
    /// The key was used with another body.
    KeyReused,
    /// The key's time stamp lies outside the window in which records are kept.
    Expired,
}

/// Ends an attempt that a claim allowed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct IdempotencySettlement {
    /// The request.
    pub key: IdempotencyKey,
    /// The node that claimed it.
    pub node: NodeId,
    /// The attempt number of the claim.
    pub attempt: u64,
    /// Whether it ran; a request that did not run frees its record.
    pub verdict: RunVerdict,
    /// Answer to keep, when it is small enough.
    pub response: Option<StoredResponse>,
}
