//! Identifiers shared by several crates.

use std::sync::Arc;

/// Name of a service, as given in the declaration.
pub type ServiceName = Arc<str>;

/// Name of a class of work, as given in the declaration.
pub type ClassName = Arc<str>;

/// Name of a team, as given in the declaration.
pub type TeamName = Arc<str>;

/// Name of a route, as given in the declaration.
pub type RouteName = Arc<str>;

/// Name of a data centre, as given in the settings of a process.
pub type DataCentreName = Arc<str>;

/// Id of one run of a node, chosen at random when the process starts.
pub type NodeId = u64;

/// Id of a control instance; an instance whose disk was lost rejoins under a new id.
pub type InstanceId = u64;

/// Version of the declaration in force; it only increases.
pub type ConfigVersion = u64;

/// Id of a caller's request, the same for all its hops and attempts.
pub type RequestId = u128;

/// Opaque id of one call that a backend server runs.
pub type CallId = u128;

/// BLAKE3 digest of a caller's key.
pub type KeyDigest = [u8; 32];

/// BLAKE3 digest of a declaration's text together with its base version.
pub type ChangeHash = [u8; 32];

/// Ed25519 public key of an owner.
pub type OwnerKey = [u8; 32];

/// Digest of a request's content, the same for every repetition of the request.
pub type Fingerprint = u64;

/// Position of an entry in the replicated log.
pub type LogIndex = u64;
