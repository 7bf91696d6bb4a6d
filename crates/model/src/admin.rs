//! What the admin listeners of nodes and control instances answer, as JSON.
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
    /// One or two signatures; those of earlier submissions are kept.
    pub signatures: Vec<OwnerSignature>,
}

/// Answer to `POST /changes` and `GET /changes/{hash}`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ChangeReport {
    /// Hash of the change in hexadecimal.
    pub hash: String,
    /// Where it stands.
    pub status: ChangeStatus,
    /// Whether an accepted change is in force at every live node.
    pub in_force: bool,
}

/// Answer to `GET /declaration`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct DeclarationText {
    /// Version in force.
    pub version: ConfigVersion,
    /// TOML text as it was proposed.
    pub text: String,
}

/// Answer to `GET /status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum StatusReport {
    /// Of a node.
    Node(NodeStatus),
    /// Of a control instance.
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
    /// Calls in flight that entered here.
    pub entered: u64,
    /// Tokens held for each team.
    pub tokens: Vec<TeamTokens>,
    /// Other members known.
    pub members: Vec<MemberRecord>,
}

/// Tokens of one team held at a node or free at their owner.
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
    /// Identity in the group.
    pub instance: InstanceId,
    /// `leader`, `follower`, `candidate` or `learner`.
    #[serde(rename = "duty")]
    pub role: String,
    /// Current term.
    pub term: u64,
    /// Leader known, if any.
    pub leader: Option<InstanceId>,
    /// Members of the group that vote.
    pub voters: Vec<InstanceId>,
    /// Last index committed.
    pub committed: LogIndex,
    /// Last index applied.
    pub applied: LogIndex,
    /// Digest of the applied state in hexadecimal.
    pub digest: String,
    /// Last command that the digest covers; instances that show the same one
    /// must show the same digest.
    pub digest_index: LogIndex,
    /// Declaration version in force.
    pub version: ConfigVersion,
    /// Nodes that hold a lease from any instance, as far as known here.
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
    /// Admin listener, if it announced one.
    pub admin: Option<SocketAddr>,
}

/// Answer to `GET /timeline`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct TimelineReport {
    /// Events, oldest first.
    pub events: Vec<EventRecord>,
}
