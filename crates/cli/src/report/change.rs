//! Outcomes of proposed changes, and signature files.

use model::change::ChangeStatus;
use model::change::OwnerSignature;
use model::hex;
use model::ids::ChangeHash;
use model::ids::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::exit::ExitKind;
use crate::report::PlanReport;

/// Outcome of proposing a change.
#[derive(Clone, Debug, Serialize)]
pub struct ChangeOutcome {
    /// Hash of the change in hexadecimal.
    pub hash: String,
    /// Version that the change is based on.
    pub base: ConfigVersion,
    /// Status of the change.
    pub status: ChangeStatus,
    /// Whether the change is in force at every live node.
    pub in_force: bool,
    /// Whether the command was asked to wait until the change is in force.
    pub waited: bool,
    /// Items that the change alters; after a conflict, the differences from the version
    /// now in force.
    pub plan: PlanReport,
}

impl ChangeOutcome {
    /// Returns the exit kind of a command with this outcome.
    #[must_use]
    pub fn exit_kind(&self) -> ExitKind {
        match &self.status {
            ChangeStatus::Accepted(_) if self.waited && !self.in_force => ExitKind::NotInForce,
            ChangeStatus::Accepted(_) => ExitKind::Done,
            ChangeStatus::Pending => ExitKind::Pending,
            ChangeStatus::Conflict { .. } => ExitKind::Conflict,
            ChangeStatus::Invalid(_) | ChangeStatus::Unknown => ExitKind::Failed,
        }
    }
}

/// Outcome of granting or withdrawing a key.
#[derive(Clone, Debug, Serialize)]
pub struct KeyOutcome {
    /// The key, if a new one was generated; it is shown only once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Digest of the key in hexadecimal; the other owner needs it to sign the same change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub digest: Option<String>,
    /// Outcome of the change.
    #[serde(flatten)]
    pub change: ChangeOutcome,
}

/// A signature file, written by `sign`; all values are in hexadecimal.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignatureFile {
    /// Hash of the change.
    pub hash: String,
    /// The owner's public key.
    pub owner: String,
    /// The signature.
    pub signature: String,
}

impl SignatureFile {
    /// Creates the file contents for the signature of a change.
    #[must_use]
    pub fn new(hash: &ChangeHash, signature: &OwnerSignature) -> Self {
        Self {
            hash: hex::encode(hash),
            owner: hex::encode(&signature.owner),
            signature: hex::encode(&signature.signature),
        }
    }

    /// Returns the signature, unless a value is not hexadecimal.
    #[must_use]
    pub fn signature(&self) -> Option<OwnerSignature> {
        Some(OwnerSignature {
            owner: hex::decode_32(&self.owner)?,
            signature: hex::decode(&self.signature)?,
        })
    }
}
