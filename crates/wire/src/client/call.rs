//! Calls about requests that must run at most once.

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
pub(super) type ControlInstanceClient =
    NodeControlClient<Channel<NodeControlRequest, NodeControlResponse>>;

/// A call that may be repeated at another instance.
pub(super) trait RepeatableCall: Clone + Send + Sync {
    /// Response of the instance.
    type Response: Send;

    /// Sends the call.
    fn send(
        self,
        client: &ControlInstanceClient,
        context: Context,
    ) -> impl Future<Output = Result<Result<Self::Response, ControlError>, RpcError>> + Send;
}

impl RepeatableCall for IdempotencyClaim {
    type Response = ClaimOutcome;

    async fn send(
        self,
        client: &ControlInstanceClient,
        context: Context,
    ) -> Result<Result<ClaimOutcome, ControlError>, RpcError> {
        client.claim(context, self).await
    }
}

impl RepeatableCall for IdempotencySettlement {
    type Response = ();

    async fn send(
        self,
        client: &ControlInstanceClient,
        context: Context,
    ) -> Result<Result<(), ControlError>, RpcError> {
        client.settle(context, self).await
    }
}

impl RepeatableCall for IdempotencyKey {
    type Response = bool;

    async fn send(
        self,
        client: &ControlInstanceClient,
        context: Context,
    ) -> Result<Result<bool, ControlError>, RpcError> {
        client.may_have_run(context, self).await
    }
}
