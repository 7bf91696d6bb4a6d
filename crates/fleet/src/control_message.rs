//! Messages between nodes and control instances, and among control instances.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use model::entry::EntryShare;
use model::entry::WorkReport;
use model::exchange::CrashReport;
use model::ids::ConfigVersion;
use model::ids::InstanceId;
use model::ids::NodeId;
use model::ids::TeamName;
use model::traffic::TrafficShare;
use serde::Deserialize;
use serde::Serialize;

use crate::DepartedServer;
use crate::DepartureList;
use crate::DepartureVersion;
use crate::EvacuationList;
use crate::EvacuationVersion;
use crate::FleetConfig;
use crate::NodeRecord;
use crate::QuarantineList;
use crate::QuarantineVersion;

/// Demand of one team at one node since the last report.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamDemand {
    /// The team.
    pub team: TeamName,
    /// Requests that arrived, per second, whether admitted or not.
    pub demand_per_s: u32,
    /// Share of the team's rate limit that the node enforces, in thousandths of a request per
    /// second.
    pub share_milli: u64,
}

/// Share of a team's rate limit that is assigned to a node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamShare {
    /// The team.
    pub team: TeamName,
    /// The share, in thousandths of a request per second.
    pub share_milli: u64,
}

/// Rate limit tokens of one team that a node requests or borrows.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamTokens {
    /// The team.
    pub team: TeamName,
    /// Number of tokens.
    pub tokens: u32,
}

/// Tokens that the leader lends to a node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LentTokens {
    /// The tokens of each requested team.
    pub tokens: Vec<TeamTokens>,
    /// Whether a team that got fewer than requested is at its limit; a leader that does not know
    /// all nodes yet lends less than that.
    pub up_to_limit: bool,
}

/// Periodic report of a node to the leader; the reply renews the node's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Number of the report, to match the reply to it.
    pub number: u64,
    /// The node and the backend server beside it.
    pub record: NodeRecord,
    /// Version of the configuration that the node applies.
    pub applied_version: ConfigVersion,
    /// Version of the node list that the node has; 0 for none.
    pub node_list_version: u64,
    /// Version of the list of departed servers that the node has; `None` if it has none.
    pub departure_version: Option<DepartureVersion>,
    /// Servers that left beside the node and that control has not recorded yet.
    pub departed: Vec<DepartedServer>,
    /// Version of the list of evacuated data centres that the node has; `None` if it has none.
    pub evacuation_version: Option<EvacuationVersion>,
    /// Version of the quarantine that the node has; `None` if it has none.
    pub quarantine_version: Option<QuarantineVersion>,
    /// Crashes of the backend server that control has not recorded yet.
    pub crashes: Vec<CrashReport>,
    /// Demand of the teams at the node; any other team has no demand there and no share.
    pub teams: Vec<TeamDemand>,
    /// Requests that arrived and calls that were executed since the last report.
    pub work: WorkReport,
}

/// Announces the configuration in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigNotice {
    /// The configuration.
    pub config: FleetConfig,
}

/// Reply of a control instance to a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The instance is not the leader; during an election no leader is known.
    NotLeader {
        /// Address of the leader.
        leader: Option<SocketAddr>,
        /// Addresses of all known control instances, for later connection attempts.
        instances: Vec<SocketAddr>,
    },
    /// Renews the lease: a quorum confirmed the leader after the report came in.
    LeaseRenewed {
        /// Number of the report that is answered.
        report_number: u64,
        /// Version of the configuration in force.
        version: ConfigVersion,
        /// Addresses of all control instances of the group.
        instances: Vec<SocketAddr>,
    },
    /// A configuration to apply; pushed as soon as it is committed.
    Config(Box<ConfigNotice>),
    /// The known nodes; if `complete` is set, a node that is missing has left.
    Nodes {
        /// Version of the list.
        list_version: u64,
        /// Records of all known nodes.
        records: Vec<NodeRecord>,
        /// Whether the leader has led long enough to know every node.
        complete: bool,
    },
    /// Shares of the teams' rate limits; sent once the leader knows all nodes. Of a team that is
    /// missing, the node has none and gets none.
    RateShares(Vec<TeamShare>),
    /// Tokens lent in reply to [`ControlMessage::BorrowTokens`].
    Tokens {
        /// The time that the request named.
        requested_at: Duration,
        /// The tokens.
        lent: LentTokens,
    },
    /// Servers beside the node that have left, as a quorum has recorded them.
    Departures(DepartureList),
    /// Data centres to whose backend servers nothing may be sent; sent as soon as they change, and
    /// before the lease of a node is renewed that does not have them.
    Evacuations(EvacuationList),
    /// Requests to refuse since they crash backend servers.
    Quarantine(QuarantineList),
    /// Crashes of the node's backend server up to this number are recorded.
    CrashesRecorded(u32),
    /// Fractions of the arriving requests that the node may admit.
    EntryShares(Vec<EntryShare>),
    /// Shares of the calls of the node's data centre that go to others; what is missing stays there.
    /// Sent only where traffic between data centres is planned.
    TrafficShares(Vec<TrafficShare>),
    /// How the node list differs from one that the node has.
    NodeChanges {
        /// Version of the list that the changes begin with.
        base_version: u64,
        /// Version of the list after the changes.
        list_version: u64,
        /// Records that are new or have changed.
        changed: Vec<NodeRecord>,
        /// Nodes that have left.
        removed: Vec<NodeId>,
    },
}

/// Message between a node and a control instance, or between two control instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControlMessage {
    /// Message of the consensus protocol of the replicated log.
    Replica {
        /// Identity of the sender.
        from: InstanceId,
        /// Identity of the intended receiver.
        to: InstanceId,
        /// The encoded message.
        body: Bytes,
    },
    /// Periodic report of a node.
    Report(Box<NodeReport>),
    /// A node whose requests wait for tokens of their teams asks to borrow some.
    BorrowTokens {
        /// Time of the request on the node's clock; the answer repeats it.
        requested_at: Duration,
        /// The tokens.
        tokens: Vec<TeamTokens>,
    },
    /// A control instance asks for the members of the group.
    QueryMembers,
    /// Answers [`Self::QueryMembers`].
    Members {
        /// Voters and learners; empty while no member is known.
        instances: Vec<InstanceId>,
        /// Whether a quorum confirmed the members after the query came in.
        confirmed: bool,
    },
    /// Reply to a node.
    Reply(Box<ControlReply>),
    /// Answers [`Self::Replica`] at an address where an instance now runs under another identity
    /// than the intended receiver's.
    OtherIdentity {
        /// Identity that the message was for.
        intended: InstanceId,
        /// Identity of the instance that runs.
        running: InstanceId,
    },
    /// A control instance tells the others that it stops.
    Leaving {
        /// Identity of the instance.
        instance: InstanceId,
    },
}
