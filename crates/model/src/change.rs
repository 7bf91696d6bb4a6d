//! A proposed change of the declaration, signed by both owners.

use ed25519_dalek::Signature;
use ed25519_dalek::Signer;
use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::ChangeHash;
use crate::ids::ConfigVersion;
use crate::ids::OwnerKey;

/// A complete new declaration that replaces the version it is based on.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ProposedChange {
    /// Version that the change is based on.
    pub base: ConfigVersion,
    /// TOML text of the new declaration.
    pub text: String,
}

impl ProposedChange {
    /// Returns the hash that identifies the change and that the owners sign.
    #[must_use]
    pub fn hash(&self) -> ChangeHash {
        let mut hasher = blake3::Hasher::new_derive_key("ragwortplank change v1");
        hasher.update(&self.base.to_le_bytes());
        hasher.update(self.text.as_bytes());
        *hasher.finalize().as_bytes()
    }
}

/// One owner's ed25519 signature over a [`ChangeHash`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OwnerSignature {
    /// The owner's public key.
    pub owner: OwnerKey,
    /// Signature, 64 bytes.
    pub signature: Vec<u8>,
}

impl OwnerSignature {
    /// Signs the hash of a change with an owner's private key.
    #[must_use]
    pub fn sign(key: &SigningKey, hash: &ChangeHash) -> Self {
        Self {
            owner: key.verifying_key().to_bytes(),
            signature: key.sign(hash).to_bytes().to_vec(),
        }
    }

    /// Returns whether this is a valid signature of `owner` over `hash`.
    ///
    /// Rejects weak keys and non-canonical signatures, which other libraries may
    /// accept, so that every instance reaches the same result.
    #[must_use]
    pub fn verifies(&self, hash: &ChangeHash) -> bool {
        let Ok(key) = VerifyingKey::from_bytes(&self.owner) else {
            return false;
        };
        let Ok(signature) = Signature::from_slice(&self.signature) else {
            return false;
        };
        key.verify_strict(hash, &signature).is_ok()
    }
}

/// Status of a proposed change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ChangeStatus {
    /// Signed by one owner; the other signature is missing.
    Pending,
    /// Signed by both owners and committed under this version.
    Accepted(ConfigVersion),
    /// Another change on the same base was accepted first.
    Conflict {
        /// Version in force when the change was rejected.
        current: ConfigVersion,
    },
    /// The text or a signature is not valid, with the reason.
    Invalid(String),
    /// No such change is known.
    Unknown,
}
