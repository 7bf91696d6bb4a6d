//! The tarpc services that control instances offer.

mod message;

use derive_more::Display;
use derive_more::Error;
use model::exchange::ExchangeReply;
use model::exchange::ExchangeRequest;
use model::ids::InstanceId;
use model::once::ClaimOutcome;
use model::once::OnceClaim;
use model::once::OnceKey;
use model::once::OnceSettle;
use serde::Deserialize;
use serde::Serialize;

pub use message::LeaseNotice;
pub use message::NodeDemands;
pub use message::NodeGrants;
pub use message::NodeNotice;
pub use message::NodeUpdateAck;
pub use message::NodeUpdateBatch;

/// Why a control instance did not do what a node asked for.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq, Serialize, Deserialize)]
pub enum ControlError {
    /// The message has another protocol version.
    #[display("protocol version {offered} is not supported, this process speaks {supported}")]
    ProtocolVersion {
        /// Version of the message.
        offered: u16,
        /// Version that this process speaks.
        supported: u16,
    },
    /// No quorum answered in time; nothing is known to have been committed.
    #[display("no quorum answered in time")]
    NoQuorum,
    /// The instance is stopping.
    #[display("the control instance is stopping")]
    Stopping,
}

/// Why a forwarded proposal has no outcome.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq, Serialize, Deserialize)]
pub enum ForwardError {
    /// The instance asked does not lead, and nothing was appended.
    #[display("not the leader")]
    NotLeader {
        /// The leader, if known there.
        leader: Option<InstanceId>,
    },
    /// The proposal may yet be committed.
    #[display("the outcome is not known")]
    Unknown,
}

/// Offered to nodes by each control instance.
#[tarpc::service]
pub trait NodeControl {
    /// Renews the lease and carries everything else that is periodic.
    async fn exchange(request: ExchangeRequest) -> Result<ExchangeReply, ControlError>;

    /// Claims the right to run a request for the first time.
    async fn claim(claim: OnceClaim) -> Result<ClaimOutcome, ControlError>;

    /// Ends an attempt.
    async fn settle(settle: OnceSettle) -> Result<(), ControlError>;

    /// Tells whether a request that must run at most once may have run.
    async fn may_have_run(key: OnceKey) -> Result<bool, ControlError>;
}

/// Offered to each other by the control instances.
#[tarpc::service]
pub trait PeerControl {
    /// Hands over messages of the replicated log, in order.
    async fn deliver(from: InstanceId, messages: Vec<Vec<u8>>);

    /// Tells about the nodes that exchange with the sender.
    async fn absorb(batch: NodeUpdateBatch) -> NodeUpdateAck;

    /// Asks the owner of teams for tokens, on behalf of nodes.
    async fn grant(demands: Vec<NodeDemands>) -> Result<Vec<NodeGrants>, ControlError>;

    /// Proposes an encoded command of the ledger; only the leader commits it.
    ///
    /// Returns the encoded outcome.
    async fn propose(command: Vec<u8>) -> Result<Vec<u8>, ForwardError>;
}
