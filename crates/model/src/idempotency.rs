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
    /// The team of the caller's key.
    pub team: TeamName,
    /// The route.
    pub route: RouteName,
    /// The caller's `Idempotency-Key`, a UUID version 7.
    pub key: Uuid,
}

/// Claims the right to run a request for the first time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct IdempotencyClaim {
    /// The request.
    pub key: IdempotencyKey,
    /// Digest of method, path and body; reuse of the key with another digest is an error.
    pub request_digest: [u8; 32],
    /// The node that will run it.
    pub node: NodeId,
    /// Random number chosen by the node, by which a repeated claim is recognised.
    pub attempt: u64,
}

/// Response of a request that ran, stored for repeated requests.
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
    /// The request ran, and this is its response.
    Answered(StoredResponse),
    /// An earlier attempt has claimed the record and its outcome is not known.
    Pending,
    /// The request ran or may have run, and no response is stored.
    MayHaveRun,
    /// The key was used with another body.
    KeyReused,
    /// The key's timestamp lies outside the retention period of records.
    Expired,
}

/// Reports the end of a claimed attempt.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct IdempotencySettlement {
    /// The request.
    pub key: IdempotencyKey,
    /// The node that claimed it.
    pub node: NodeId,
    /// The attempt number of the claim.
    pub attempt: u64,
    /// Whether the request ran; if it did not, its record is freed.
    pub verdict: RunVerdict,
    /// Response to store, when it is small enough.
    pub response: Option<StoredResponse>,
}
