//! Where a proposed change stands.

use model::change::ChangeStatus;
use model::change::OwnerSignature;
use model::hex;
use model::ids::ChangeHash;
use model::ids::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::exit::ExitKind;
use crate::report::PlanReport;

/// Outcome of a proposal.
#[derive(Clone, Debug, Serialize)]
pub struct ChangeOutcome {
    /// Hash of the change in hexadecimal.
    pub hash: String,
    /// Version that it is based on.
    pub base: ConfigVersion,
    /// Where it stands.
    pub status: ChangeStatus,
    /// Whether it is in force at every live node.
    pub in_force: bool,
    /// Whether it was to be waited for until it is in force.
    pub waited: bool,
    /// What it changes; after a conflict, what now differs from the version in force.
    pub plan: PlanReport,
}

impl ChangeOutcome {
    /// Returns how a command ends that has this outcome.
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
    /// The key, when one was made; it is shown once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Digest of the key in hexadecimal, with which the other owner signs the same change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub digest: Option<String>,
    /// Outcome of the change.
    #[serde(flatten)]
    pub change: ChangeOutcome,
}

/// A signature in a file, made without a connection; all values in hexadecimal.
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
    /// Writes a signature over a hash.
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
