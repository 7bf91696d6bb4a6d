//! Messages about requests that must run at most once.

use std::future::Future;

use model::idempotency::ClaimOutcome;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use model::idempotency::IdempotencySettlement;
use tarpc::client::Channel;
use tarpc::client::RpcError;
use tarpc::context::Context;

use crate::service::ControlError;
use crate::service::NodeControlClient;
use crate::service::NodeControlRequest;
use crate::service::NodeControlResponse;

/// Client of a control instance.
pub(super) type NodeClient = NodeControlClient<Channel<NodeControlRequest, NodeControlResponse>>;

/// A message that may be repeated at another instance.
pub(super) trait OnceMessage: Clone + Send + Sync {
    /// What the instance answers.
    type Answer: Send;

    /// Sends it.
    fn send(
        self,
        client: &NodeClient,
        context: Context,
    ) -> impl Future<Output = Result<Result<Self::Answer, ControlError>, RpcError>> + Send;
}

impl OnceMessage for IdempotencyClaim {
    type Answer = ClaimOutcome;

    async fn send(
        self,
        client: &NodeClient,
        context: Context,
    ) -> Result<Result<ClaimOutcome, ControlError>, RpcError> {
        client.claim(context, self).await
    }
}

impl OnceMessage for IdempotencySettlement {
    type Answer = ();

    async fn send(
        self,
        client: &NodeClient,
        context: Context,
    ) -> Result<Result<(), ControlError>, RpcError> {
        client.settle(context, self).await
    }
}

impl OnceMessage for IdempotencyKey {
    type Answer = bool;

    async fn send(
        self,
        client: &NodeClient,
        context: Context,
    ) -> Result<Result<bool, ControlError>, RpcError> {
        client.may_have_run(context, self).await
    }
}
