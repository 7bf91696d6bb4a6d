//! JSON messages of the admin listeners of nodes and control instances.
//!
//! Paths: `GET /status`, `GET /declaration`, `POST /changes`,
//! `GET /changes/{hash}`, `GET /timeline?since=WALL_MS`, `GET /metrics`,
//! on nodes `POST /drain`, and on the leading control instance
//! `DELETE /members/{instance}`. See `docs/OPERATING.md`.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use timeline::EventRecord;

use crate::change::ChangeStatus;
use crate::change::OwnerSignature;
use crate::change::ProposedChange;
use crate::exchange::MemberRecord;
use crate::ids::ConfigVersion;
use crate::ids::InstanceId;
use crate::ids::LogIndex;
use crate::ids::TeamName;

/// Body of `POST /changes`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ChangeSubmission {
    /// The change.
    pub change: ProposedChange,
    /// One or two signatures; signatures of earlier submissions are kept.
    pub signatures: Vec<OwnerSignature>,
}

/// Response to `POST /changes` and `GET /changes/{hash}`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ChangeReport {
    /// Hash of the change in hexadecimal.
    pub hash: String,
    /// Status of the change.
    pub status: ChangeStatus,
    /// Whether an accepted change is in force at every live node.
    pub in_force: bool,
}

/// Response to `GET /declaration`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct DeclarationText {
    /// Version in force.
    pub version: ConfigVersion,
    /// TOML text as it was proposed.
    pub text: String,
}

/// Response to `GET /status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum StatusReport {
    /// Status of a node.
    Node(NodeStatus),
    /// Status of a control instance.
    Control(ControlStatus),
}

/// State of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name from the settings.
    pub process: String,
    /// The node with its backend server.
    pub member: MemberRecord,
    /// Declaration version applied.
    pub applied: ConfigVersion,
    /// Milliseconds left of the lease; 0 without one.
    pub lease_left_ms: u64,
    /// Calls in flight that entered at this node.
    pub entered: u64,
    /// Tokens held for each team.
    pub tokens: Vec<TeamTokens>,
    /// Other known members.
    pub members: Vec<MemberRecord>,
}

/// Tokens of one team, held by a node or available at their owner.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamTokens {
    /// The team.
    pub team: TeamName,
    /// Tokens in thousandths of a call.
    pub tokens_milli: u64,
}

/// State of a control instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ControlStatus {
    /// Name from the settings.
    pub process: String,
    /// Instance id in the group.
    pub instance: InstanceId,
    /// Raft role: `leader`, `follower`, `candidate` or `learner`.
    #[serde(rename = "duty")]
    pub role: String,
    /// Current term.
    pub term: u64,
    /// Leader, if known.
    pub leader: Option<InstanceId>,
    /// Voting members of the group.
    pub voters: Vec<InstanceId>,
    /// Last index committed.
    pub committed: LogIndex,
    /// Last index applied.
    pub applied: LogIndex,
    /// Digest of the applied state in hexadecimal.
    pub digest: String,
    /// Index of the last command that the digest covers; instances with equal
    /// indexes must have equal digests.
    pub digest_index: LogIndex,
    /// Declaration version in force.
    pub version: ConfigVersion,
    /// Nodes known to this instance that hold a lease of any instance.
    pub nodes: Vec<NodeLease>,
}

/// A node as a control instance knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeLease {
    /// The node with its backend server.
    pub member: MemberRecord,
    /// Declaration version it has applied.
    pub applied: ConfigVersion,
    /// Milliseconds left of its lease.
    pub lease_left_ms: u64,
    /// Address of its admin listener, if announced.
    pub admin: Option<SocketAddr>,
}

/// Response to `GET /timeline`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TimelineReport {
    /// Events, oldest first.
    pub events: Vec<EventRecord>,
}
