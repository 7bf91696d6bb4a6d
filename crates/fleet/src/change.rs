//! A change of the configuration, and the outcome of a log entry.

use bytes::Bytes;
use model::ids::ChangeHash;
use model::ids::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::FleetConfig;

/// A configuration change as stored in the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The configuration, decoded.
    pub config: FleetConfig,
    /// The operator's document, kept to be returned byte for byte.
    pub document: Bytes,
}

impl ConfigChange {
    /// Returns the digest by which a resent change is recognised.
    #[must_use]
    pub fn digest(&self) -> ChangeHash {
        *blake3::hash(&self.document).as_bytes()
    }
}

/// Result of applying a log entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeOutcome {
    /// The change or order is in force, or was until a later one replaced it.
    Accepted,
    /// The change is based on another version than the one in force.
    Conflict {
        /// Version of the configuration in force.
        current: ConfigVersion,
    },
    /// The version of the change is not above the one in force.
    OldVersion {
        /// Version of the configuration in force.
        current: ConfigVersion,
    },
    /// The entry is none of an operator, and has been stored.
    Stored,
    /// The entry could not be decoded.
    Unreadable,
}

impl ChangeOutcome {
    /// Returns the outcome of a change that was not accepted before, while the version `current`
    /// is in force.
    #[must_use]
    pub const fn from_versions(
        version: ConfigVersion,
        base_version: ConfigVersion,
        current: ConfigVersion,
    ) -> Self {
        if base_version != current {
            Self::Conflict { current }
        } else if version <= current {
            Self::OldVersion { current }
        } else {
            Self::Accepted
        }
    }
}
