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

/// Lease of a node, as reported by the instance that the node exchanges with.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct LeaseNotice {
    /// The node.
    pub node: NodeId,
    /// Declaration version that the node has applied.
    pub applied_version: ConfigVersion,
    /// Time until the lease has expired at the latest.
    pub time_left: Duration,
}

/// A new or changed node.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeNotice {
    /// The node with its backend server.
    pub member: MemberRecord,
    /// The node's lease.
    pub lease: LeaseNotice,
}

/// Updates about the nodes that exchange with one instance, sent to another instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeUpdateBatch {
    /// The sending instance.
    pub sender: InstanceId,
    /// Address at which the other instances reach the sender.
    pub address: SocketAddr,
    /// Id of the sender's change feed, new with every start of the sender.
    pub feed_id: u64,
    /// Declaration version that the sender had applied before it assembled the
    /// batch; with this batch, the receiver knows every lease that the sender
    /// granted under an earlier version.
    pub version: ConfigVersion,
    /// New or changed nodes.
    pub changed: Vec<NodeNotice>,
    /// Leases of nodes that were sent before.
    pub renewed: Vec<LeaseNotice>,
    /// Nodes that are no longer present.
    pub removed: Vec<NodeId>,
    /// Crashes reported by the sender's nodes.
    pub crashes: Vec<CrashReport>,
}

/// Response to a [`NodeUpdateBatch`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeUpdateAck {
    /// Id of the receiver's change feed; after a change of the id, the receiver
    /// has forgotten all earlier batches.
    pub feed_id: u64,
    /// Whether the receiver knew all renewed nodes; if not, the sender must send a full batch.
    pub fully_applied: bool,
}

/// Token demands of one node for teams that another instance owns.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeDemands {
    /// The node.
    pub node: NodeId,
    /// The demands.
    pub demands: Vec<TokenDemand>,
}

/// Response to [`NodeDemands`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NodeGrants {
    /// The node.
    pub node: NodeId,
    /// The grants; teams that the answering instance does not own are left out.
    pub grants: Vec<TokenGrant>,
}
