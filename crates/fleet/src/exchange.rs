//! Messages between nodes and control instances, and among control instances.

use std::net::SocketAddr;

use bytes::Bytes;
use model::entry::EntryShare;
use model::entry::WorkReport;
use model::ids::ConfigVersion;
use model::ids::InstanceId;
use model::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;

use crate::FleetConfig;
use crate::NodeRecord;

/// Demand of one team at one node since the last report.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamUse {
    /// The team.
    pub team: TeamName,
    /// Requests that asked to enter, per second.
    pub asked_per_s: u32,
    /// Part of the team's rate that the node goes by, in thousandths of a request per second.
    pub share_milli: u64,
}

/// Part of a team's rate that a node may go by.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamShare {
    /// The team.
    pub team: TeamName,
    /// Thousandths of a request per second.
    pub share_milli: u64,
}

/// Tokens of one team that a node asks for, or is lent.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamTokens {
    /// The team.
    pub team: TeamName,
    /// How many.
    pub tokens: u32,
}

/// What a node tells the leader; the answer renews its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Number of the report, so that its answer is recognised.
    pub number: u64,
    /// The node and the backend server beside it.
    pub record: NodeRecord,
    /// Version that the node applies.
    pub applied: ConfigVersion,
    /// Number of the member list that the node has; 0 for none.
    pub members_seen: u64,
    /// Demand of the teams.
    pub teams: Vec<TeamUse>,
    /// What was asked for and done since the last report.
    pub work: WorkReport,
}

/// A configuration that is in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigNotice {
    /// The configuration.
    pub config: FleetConfig,
}

/// What a control instance answers to a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// Another instance leads; none is known while an election goes on.
    Elsewhere {
        /// The leader.
        leader: Option<SocketAddr>,
        /// All instances known, for later.
        instances: Vec<SocketAddr>,
    },
    /// Renews the lease: a quorum confirmed the leader after the report came in.
    Renewed {
        /// Number of the report.
        number: u64,
        /// Version in force.
        version: ConfigVersion,
        /// All instances of the group.
        instances: Vec<SocketAddr>,
    },
    /// A configuration to apply; sent unasked as soon as it is committed.
    Config(Box<ConfigNotice>),
    /// The nodes known; one that is missing has left when `settled`.
    Members {
        /// Number of the list.
        number: u64,
        /// All of them.
        records: Vec<NodeRecord>,
        /// Whether the leader has led long enough to know of every node.
        settled: bool,
    },
    /// Parts of the teams' rates; sent once the leader knows all nodes.
    Shares(Vec<TeamShare>),
    /// Tokens lent in answer to [`GroupMessage::Ask`]; fewer than asked for when a team is at
    /// its limit.
    Tokens(Vec<TeamTokens>),
    /// Parts of the requests that may enter.
    Door(Vec<EntryShare>),
}

/// What processes say to a control instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GroupMessage {
    /// A message of the replicated log.
    Replica {
        /// Sender.
        from: InstanceId,
        /// Identity that the sender wants to reach.
        to: InstanceId,
        /// The message.
        body: Bytes,
    },
    /// A node's report.
    Report(Box<NodeReport>),
    /// A node with requests that wait for a token of their team asks for some.
    Ask(Vec<TeamTokens>),
    /// An instance asks who belongs to the group.
    WhoIs,
    /// Answers [`Self::WhoIs`].
    Members {
        /// Voters and learners; empty while none is known.
        instances: Vec<InstanceId>,
        /// Whether a quorum confirmed them after the question came in.
        confirmed: bool,
    },
    /// An answer to a node.
    Reply(Box<ControlReply>),
}
