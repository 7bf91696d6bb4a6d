//! tarpc services of the control instances.

mod message;

use derive_more::Display;
use derive_more::Error;
use model::exchange::ExchangeReply;
use model::exchange::ExchangeRequest;
use model::idempotency::ClaimOutcome;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use model::idempotency::IdempotencySettlement;
use model::ids::InstanceId;
use serde::Deserialize;
use serde::Serialize;

pub use message::LeaseNotice;
pub use message::NodeDemands;
pub use message::NodeGrants;
pub use message::NodeNotice;
pub use message::NodeUpdateAck;
pub use message::NodeUpdateBatch;

/// Why a control instance did not carry out a request.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq, Serialize, Deserialize)]
pub enum ControlError {
    /// The message has an unsupported protocol version.
    #[display("protocol version {offered} is not supported, this process speaks {supported}")]
    ProtocolVersion {
        /// Version of the message.
        offered: u16,
        /// Version that this process supports.
        supported: u16,
    },
    /// No quorum responded in time; it is unknown whether the command was committed.
    #[display("no quorum answered in time")]
    NoQuorum,
    /// The instance is stopping.
    #[display("the control instance is stopping")]
    Stopping,
}

/// Why a forwarded proposal has no outcome.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq, Serialize, Deserialize)]
pub enum ForwardError {
    /// The instance is not the leader; the proposal was not appended to the log.
    #[display("not the leader")]
    NotLeader {
        /// The leader, if the instance knows it.
        leader: Option<InstanceId>,
    },
    /// The proposal may still be committed.
    #[display("the outcome is not known")]
    Unknown,
}

/// Service of each control instance for nodes.
#[tarpc::service]
pub trait NodeControl {
    /// Renews the node's lease and transfers all other periodic data.
    async fn exchange(request: ExchangeRequest) -> Result<ExchangeReply, ControlError>;

    /// Claims the right to run a request that must run at most once.
    async fn claim(claim: IdempotencyClaim) -> Result<ClaimOutcome, ControlError>;

    /// Records the end of a claimed attempt.
    async fn settle(settle: IdempotencySettlement) -> Result<(), ControlError>;

    /// Returns whether a request that must run at most once may have run.
    async fn may_have_run(key: IdempotencyKey) -> Result<bool, ControlError>;
}

/// Service of each control instance for the other control instances.
#[tarpc::service]
pub trait PeerControl {
    /// Delivers messages of the replicated log, in order.
    async fn deliver(from: InstanceId, messages: Vec<Vec<u8>>);

    /// Applies updates about the nodes that exchange with the sender.
    async fn absorb(batch: NodeUpdateBatch) -> NodeUpdateAck;

    /// Requests rate-limit tokens on behalf of nodes, from the instance that owns their teams.
    async fn grant(demands: Vec<NodeDemands>) -> Result<Vec<NodeGrants>, ControlError>;

    /// Proposes an encoded command for the replicated log; only the leader accepts it.
    ///
    /// Returns the encoded outcome.
    async fn propose(command: Vec<u8>) -> Result<Vec<u8>, ForwardError>;
}
