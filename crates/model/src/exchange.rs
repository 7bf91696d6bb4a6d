//! The periodic exchange between a node and a control instance.

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

/// Version of the messages between processes; others are refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// State of a backend server as its node announces it.
#[derive(Clone, Copy, Debug, Default, Display, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[display(rename_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// No backend server announced itself, or it went away.
    #[default]
    Absent,
    /// Started, not yet warm.
    Starting,
    /// Takes new work.
    Ready,
    /// Finishes what it has and takes no new work.
    Draining,
}

/// One backend server with the node beside it, as other nodes see it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The node beside the backend server.
    pub node: NodeId,
    /// Where other nodes reach that node.
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

/// Demand and holdings of one team's tokens at a node.
///
/// Amounts are in thousandths of a call.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TokenDemand {
    /// The team.
    pub team: TeamName,
    /// Sequence number of this demand; a repeated one gets the same grant.
    pub sequence: u64,
    /// Tokens the node wants to hold beyond what it has.
    pub want_milli: u64,
    /// Tokens the node hands back with this message.
    pub returned_milli: u64,
    /// Tokens spent since the node's last acknowledged demand.
    pub spent_milli: u64,
    /// Time since the node spent the last of these.
    pub spent_age: Duration,
    /// Term of the owner whose grant the node accepted last; 0 before the first.
    pub term: u64,
    /// Tokens that the node holds after it handed back `returned_milli`.
    pub held_milli: u64,
    /// Part of `want_milli` that calls wait for at this moment.
    pub urgent_milli: u64,
}

/// Tokens granted to a node; they die with the lease of the same reply.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The team.
    pub team: TeamName,
    /// Sequence number of the demand that this answers.
    pub sequence: u64,
    /// Term of the owner that grants; it grows with every change of owner.
    pub term: u64,
    /// Tokens granted, in thousandths of a call.
    pub granted_milli: u64,
    /// Delay after which more can be had, when less than wanted was granted.
    pub retry_after: Option<Duration>,
}

/// Report that a backend server died while it ran these requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Service of the backend server that died.
    pub service: ServiceName,
    /// Node beside it, so that one crash counts once.
    pub node: NodeId,
    /// Number of the crash at that node.
    pub crash: u32,
    /// What it ran when it died.
    pub suspects: Vec<Fingerprint>,
}

/// A request that crashed backend servers and is refused from now on.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// Service whose backend servers it crashed.
    pub service: ServiceName,
    /// What it asks for.
    pub fingerprint: Fingerprint,
    /// Time until the quarantine ends.
    pub time_left: Duration,
}

/// What a node tells a control instance once in a period.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeRequest {
    /// Must be [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// The node itself with its backend server, if one announced itself.
    pub member: MemberRecord,
    /// Declaration version that the node has applied.
    pub applied: ConfigVersion,
    /// Services whose members the node wants to know.
    pub interests: SmallVec<[ServiceName; 4]>,
    /// Position in the control instance's membership feed; 0 asks for all.
    pub member_cursor: u64,
    /// The control instance's feed that the cursor belongs to.
    pub feed: u64,
    /// Demands for tokens.
    pub demands: Vec<TokenDemand>,
    /// Crashes of the backend server since the last acknowledged exchange.
    pub crashes: Vec<CrashReport>,
    /// Whether the node is leaving for good.
    pub leaving: bool,
    /// Sender's hybrid logical time.
    pub stamp: HybridTimestamp,
}

/// How a node gets from the declaration it has to the one in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ConfigUpdate {
    /// The node has the version in force.
    Current,
    /// The whole declaration in force.
    Full(Box<Declaration>),
    /// Changes from the node's version to the one in force.
    Delta(Box<crate::declaration::DeclarationDelta>),
}

/// Change of membership since the node's cursor.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Feed that `cursor` belongs to; a new feed starts with `full`.
    pub feed: u64,
    /// Cursor to send with the next exchange.
    pub cursor: u64,
    /// Whether `joined` replaces all the node knows.
    pub full: bool,
    /// New or changed members of the services asked for.
    pub joined: Vec<MemberRecord>,
    /// Members that left.
    pub left: Vec<NodeId>,
}

/// Lease on the declared state; it counts from when the node sent its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// Version that the node must have applied before it uses the lease.
    pub version: ConfigVersion,
    /// Length of the lease.
    pub length: Duration,
}

/// What a control instance answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExchangeReply {
    /// Lease; none when a quorum could not be confirmed in time.
    pub lease: Option<LeaseGrant>,
    /// Way to the declaration in force.
    pub config: ConfigUpdate,
    /// Changes of membership.
    pub members: MemberUpdate,
    /// Answers to the demands.
    pub grants: Vec<TokenGrant>,
    /// Fingerprints that every node must refuse.
    pub quarantined: Vec<QuarantineNotice>,
    /// Whether the reported crashes were taken over.
    pub crashes_taken: bool,
    /// Sender's hybrid logical time.
    pub stamp: HybridTimestamp,
}
