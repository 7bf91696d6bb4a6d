//! Messages between the control instances.

use std::net::SocketAddr;
use std::time::Duration;

use model::exchange::CrashReport;
use model::exchange::MemberRecord;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use model::ids::ConfigVersion;
use model::ids::InstanceId;
use model::ids::NodeId;
use serde::Deserialize;
use serde::Serialize;

/// Lease of a node, as told by the instance that it exchanges with.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseNotice {
    /// The node.
    pub node: NodeId,
    /// Declaration version that it has applied.
    pub applied_version: ConfigVersion,
    /// Time until its lease has run out at the latest.
    pub time_left: Duration,
}

/// A node that is new or changed.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeNotice {
    /// The node with its backend server.
    pub member: MemberRecord,
    /// Its lease.
    pub lease: LeaseNotice,
}

/// What an instance tells another about the nodes that exchange with it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeUpdateBatch {
    /// The instance that tells.
    pub sender: InstanceId,
    /// Where the other instances reach it.
    pub address: SocketAddr,
    /// Its feed, new with every start.
    pub feed: u64,
    /// Version that was applied there before the batch was put together;
    /// every lease granted under an earlier one is known by this batch.
    pub version: ConfigVersion,
    /// New or changed nodes.
    pub changed: Vec<NodeNotice>,
    /// Leases of nodes told before.
    pub renewed: Vec<LeaseNotice>,
    /// Nodes that are gone.
    pub removed: Vec<NodeId>,
    /// Crashes reported by its nodes.
    pub crashes: Vec<CrashReport>,
}

/// Answer to a [`NodeUpdateBatch`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeUpdateAck {
    /// Feed of the answering instance; a new one knows nothing of earlier batches.
    pub feed: u64,
    /// Whether the batch was understood; if not, a full one must follow.
    pub fully_applied: bool,
}

/// Demands of one node for tokens of teams that another instance owns.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeDemands {
    /// The node.
    pub node: NodeId,
    /// Its demands.
    pub demands: Vec<TokenDemand>,
}

/// Answers to [`NodeDemands`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeGrants {
    /// The node.
    pub node: NodeId,
    /// The grants; teams that the answering instance does not own are left out.
    pub grants: Vec<TokenGrant>,
}
