//! Identifiers that more than one crate uses.

use std::sync::Arc;

/// Name of a service, as the declaration writes it.
pub type ServiceName = Arc<str>;

/// Name of a class of work, as the declaration writes it.
pub type ClassName = Arc<str>;

/// Name of a team, as the declaration writes it.
pub type TeamName = Arc<str>;

/// Name of a route, as the declaration writes it.
pub type RouteName = Arc<str>;

/// Name of a data centre, as the settings of a process write it.
pub type DataCentreName = Arc<str>;

/// One run of one node: drawn at random when the process starts.
pub type NodeId = u64;

/// Identity of a control instance; a wiped disk comes back with a new one.
pub type InstanceId = u64;

/// Number of the declaration in force; it only grows.
pub type ConfigVersion = u64;

/// One request of a caller over all its hops and attempts.
pub type RequestId = u128;

/// Opaque name of one call that a backend server runs.
pub type CallId = u128;

/// BLAKE3 digest of a caller's key.
pub type KeyDigest = [u8; 32];

/// BLAKE3 digest of a declaration's text together with its base version.
pub type ChangeHash = [u8; 32];

/// Ed25519 public key of an owner.
pub type OwnerKey = [u8; 32];

/// Digest of what a request asks for, equal for every re-send of it.
pub type Fingerprint = u64;

/// Position of an entry in the replicated log.
pub type LogIndex = u64;
