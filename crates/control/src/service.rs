//! The tarpc services of a control instance.

use clock::Clock;
use futures::StreamExt;
use model::exchange::ExchangeReply;
use model::exchange::ExchangeRequest;
use model::idempotency::ClaimOutcome;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use model::idempotency::IdempotencySettlement;
use model::ids::InstanceId;
use tarpc::context::Context;
use tarpc::server::Channel;
use tracing::debug;
use wire::quic::PendingConnection;
use wire::quic::QuicConnection;
use wire::quic::QuicEndpoint;
use wire::role::PeerRole;
use wire::rpc::server_channel;
use wire::service::ControlError;
use wire::service::ForwardError;
use wire::service::NodeControl;
use wire::service::NodeDemands;
use wire::service::NodeGrants;
use wire::service::NodeUpdateAck;
use wire::service::NodeUpdateBatch;
use wire::service::PeerControl;

use crate::core::ControlCore;
use crate::log::ControlLog;

/// Implements [`NodeControl`] for nodes.
#[derive(Debug)]
pub struct NodeService<L, C> {
    core: ControlCore<L, C>,
}

/// Implements [`PeerControl`] for the other instances.
#[derive(Debug)]
pub struct PeerService<L, C> {
    core: ControlCore<L, C>,
}

impl<L, C> Clone for NodeService<L, C> {
    fn clone(&self) -> Self {
        let core = self.core.clone();
        Self { core }
    }
}

impl<L, C> Clone for PeerService<L, C> {
    fn clone(&self) -> Self {
        let core = self.core.clone();
        Self { core }
    }
}

impl<L: ControlLog, C: Clock> NodeControl for NodeService<L, C> {
    async fn exchange(
        self,
        _: Context,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, ControlError> {
        self.core.exchange(request).await
    }

    async fn claim(
        self,
        context: Context,
        claim: IdempotencyClaim,
    ) -> Result<ClaimOutcome, ControlError> {
        self.core.metrics.idempotency_calls.inc();
        self.core.claim(claim, context.deadline).await
    }

    async fn settle(
        self,
        context: Context,
        settle: IdempotencySettlement,
    ) -> Result<(), ControlError> {
        self.core.metrics.idempotency_calls.inc();
        self.core.settle(settle, context.deadline).await
    }

    async fn may_have_run(self, _: Context, key: IdempotencyKey) -> Result<bool, ControlError> {
        self.core.may_have_run(&key).await
    }
}

impl<L: ControlLog, C: Clock> PeerControl for PeerService<L, C> {
    async fn deliver(self, _: Context, from: InstanceId, messages: Vec<Vec<u8>>) {
        for message in messages {
            self.core.log.receive(from, message);
        }
    }

    async fn absorb(self, _: Context, batch: NodeUpdateBatch) -> NodeUpdateAck {
        self.core.apply_peer_batch(&batch)
    }

    async fn grant(
        self,
        _: Context,
        demands: Vec<NodeDemands>,
    ) -> Result<Vec<NodeGrants>, ControlError> {
        if !self.core.confirm_leader().await {
            return Err(ControlError::NoQuorum);
        }
        let granted = demands.into_iter().map(|node_demands| NodeGrants {
            node: node_demands.node,
            grants: self.core.token_allocators.grant(
                &self.core.log,
                node_demands.node,
                &node_demands.demands,
            ),
        });
        Ok(granted.collect())
    }

    async fn propose(self, _: Context, command: Vec<u8>) -> Result<Vec<u8>, ForwardError> {
        self.core.propose_forwarded(&command).await
    }
}

/// Accepts connections until the endpoint is closed.
pub async fn accept_links<L: ControlLog, C: Clock>(
    core: ControlCore<L, C>,
    endpoint: QuicEndpoint,
) {
    while let Some(pending) = endpoint.accept().await {
        tokio::spawn(serve_pending(core.clone(), pending));
    }
}

async fn serve_pending<L: ControlLog, C: Clock>(
    core: ControlCore<L, C>,
    pending: PendingConnection,
) {
    match pending.establish().await {
        Ok(link) => serve_link(core, link).await,
        Err(error) => debug!(event = "link-refused", %error),
    }
}

/// Serves the streams of one connection with the service for the peer's role.
async fn serve_link<L: ControlLog, C: Clock>(core: ControlCore<L, C>, link: QuicConnection) {
    while let Ok(stream) = link.accept().await {
        let core = core.clone();
        if link.role() == PeerRole::Control {
            let service = PeerService { core };
            let calls = server_channel(stream).execute(service.serve());
            tokio::spawn(calls.for_each(spawn_call));
        } else {
            let service = NodeService { core };
            let calls = server_channel(stream).execute(service.serve());
            tokio::spawn(calls.for_each(spawn_call));
        }
    }
}

/// Runs a call concurrently with the others of its stream.
async fn spawn_call(call: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(call);
}
