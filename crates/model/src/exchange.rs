//! Messages of the periodic exchange in which a node renews its lease at a control instance.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;
use timeline::HybridTimestamp;

use crate::context::ServerLoad;
use crate::declaration::Declaration;
use crate::ids::ConfigVersion;
use crate::ids::DataCentreName;
use crate::ids::Fingerprint;
use crate::ids::NodeId;
use crate::ids::ServiceName;
use crate::ids::TeamName;

/// Version of the messages between processes; all other versions are rejected.
pub const PROTOCOL_VERSION: u16 = 1;

/// State of a backend server as announced by its node.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// No backend server is announced, or its announcements stopped.
    #[default]
    Absent,
    /// Started and still warming up.
    Starting,
    /// Accepts new work.
    Ready,
    /// Completes the work it has and accepts no new work.
    Draining,
}

/// One backend server with its node, as other nodes see them.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The node in front of the backend server.
    pub node: NodeId,
    /// Address at which other nodes reach that node.
    pub address: SocketAddr,
    /// Data centre of the node.
    pub data_centre: DataCentreName,
    /// Service of the backend server.
    pub service: ServiceName,
    /// State of the backend server.
    pub state: ServerState,
    /// Load as last reported.
    pub load: ServerLoad,
}

/// A node's demand for one team's rate limit tokens, and the tokens it holds.
///
/// Amounts are in thousandths of a call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TokenDemand {
    /// The team.
    pub team: TeamName,
    /// Sequence number of this demand; a repeated number gets the same grant.
    pub sequence: u64,
    /// Tokens requested in addition to those held.
    pub want_milli: u64,
    /// Tokens that the node returns with this message.
    pub returned_milli: u64,
    /// Tokens spent since the node's last acknowledged demand.
    pub spent_milli: u64,
    /// Time since the last of these tokens was spent.
    pub spent_age: Duration,
    /// Term of the owner whose grant the node accepted last; 0 before the first.
    pub term: u64,
    /// Tokens that the node holds after it returned `returned_milli`.
    pub held_milli: u64,
    /// Part of `want_milli` for which calls are waiting.
    pub urgent_milli: u64,
}

/// Tokens granted to a node; they expire with the lease of the same reply.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The team.
    pub team: TeamName,
    /// Sequence number of the demand that this answers.
    pub sequence: u64,
    /// Term of the granting owner; it increases with every change of owner.
    pub term: u64,
    /// Tokens granted, in thousandths of a call.
    pub granted_milli: u64,
    /// Delay after which more tokens are available, when fewer than requested were granted.
    pub retry_after: Option<Duration>,
}

/// Report that a backend server crashed while it ran these requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Service of the crashed backend server.
    pub service: ServiceName,
    /// Node of the backend server; with `crash` it identifies the crash, which counts once.
    pub node: NodeId,
    /// Sequence number of the crash at that node.
    pub crash: u32,
    /// Fingerprints of the requests that ran at the time of the crash.
    pub suspects: Vec<Fingerprint>,
}

/// A request that crashed backend servers and must be refused.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// Service whose backend servers crashed.
    pub service: ServiceName,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Time until the quarantine ends.
    pub time_left: Duration,
}

/// Request that a node sends to a control instance once per period.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// Must be [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// The node itself with its backend server, if one is announced.
    pub member: MemberRecord,
    /// Declaration version that the node has applied.
    pub applied: ConfigVersion,
    /// Services whose members the node needs.
    pub interests: SmallVec<[ServiceName; 4]>,
    /// Position in the control instance's membership feed; 0 requests all members.
    pub member_cursor: u64,
    /// Id of the membership feed that the cursor belongs to.
    pub feed: u64,
    /// Demands for tokens.
    pub demands: Vec<TokenDemand>,
    /// Crashes of the backend server since the last acknowledged exchange.
    pub crashes: Vec<CrashReport>,
    /// Whether the node shuts down and needs no further lease.
    pub leaving: bool,
    /// Sender's hybrid logical time.
    pub stamp: HybridTimestamp,
}

/// Update from the declaration that a node has to the one in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The node has the version in force.
    Current,
    /// The complete declaration in force.
    Full(Box<Declaration>),
    /// Changes from the node's version to the one in force.
    Delta(Box<crate::declaration::DeclarationDelta>),
}

/// Changes of membership since the node's cursor.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Id of the feed that `cursor` belongs to; the first update of a new feed is `full`.
    pub feed: u64,
    /// Cursor to send with the next exchange.
    pub cursor: u64,
    /// Whether `joined` replaces all members known to the node.
    pub full: bool,
    /// New or changed members of the requested services.
    pub joined: Vec<MemberRecord>,
    /// Members that left.
    pub left: Vec<NodeId>,
}

/// Lease on the declared state; it starts when the node sent its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Version that the node must have applied before it uses the lease.
    pub version: ConfigVersion,
    /// Length of the lease.
    pub length: Duration,
}

/// Reply of a control instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Lease; none when no quorum confirmed the leader in time.
    pub lease: Option<LeaseGrant>,
    /// Update to the declaration in force.
    pub config: ConfigUpdate,
    /// Changes of membership.
    pub members: MemberUpdate,
    /// Grants for the demands.
    pub grants: Vec<TokenGrant>,
    /// Fingerprints that every node must refuse.
    pub quarantined: Vec<QuarantineNotice>,
    /// Whether the reported crashes were recorded.
    pub crashes_taken: bool,
    /// Sender's hybrid logical time.
    pub stamp: HybridTimestamp,
}
