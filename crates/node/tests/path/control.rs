//! A fake control instance whose replies are set by the test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures::StreamExt;
use model::declaration::Declaration;
use model::exchange::ConfigUpdate;
use model::exchange::CrashReport;
use model::exchange::ExchangeReply;
use model::exchange::ExchangeRequest;
use model::exchange::LeaseGrant;
use model::exchange::MemberUpdate;
use model::exchange::TokenGrant;
use model::idempotency::ClaimOutcome;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use model::idempotency::IdempotencySettlement;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::runtime::Builder;
use wire::identity::TlsIdentity;
use wire::quic::QuicEndpoint;
use wire::quic::QuicOptions;
use wire::role::PeerRole;
use wire::rpc::server_channel;
use wire::service::ControlError;
use wire::service::NodeControl;

const LEASE_LENGTH: Duration = Duration::from_millis(2_400);

/// What the instance replies, and what it has received.
pub(crate) struct ControlState {
    pub(crate) declaration: Declaration,
    pub(crate) grants_leases: bool,
    pub(crate) exchanges: u64,
    pub(crate) crashes: Vec<CrashReport>,
}

#[derive(Clone)]
pub(crate) struct FakeControl {
    pub(crate) state: Arc<Mutex<ControlState>>,
}

impl FakeControl {
    pub(crate) fn start(address: SocketAddr, tls: TlsIdentity, declaration: Declaration) -> Self {
        let control = Self {
            state: Arc::new(Mutex::new(ControlState {
                declaration,
                grants_leases: true,
                exchanges: 0,
                crashes: Vec::new(),
            })),
        };
        let served = control.clone();
        // Runs on a separate thread, because a real instance is a separate process.
        std::thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            runtime.block_on(async move {
                let timing = QuicOptions::default();
                let roles = [PeerRole::Node];
                let endpoint = QuicEndpoint::bind(address, &tls, &roles, timing).unwrap();
                serve(endpoint, served).await;
            });
        });
        control
    }

    pub(crate) fn change(&self, change: impl FnOnce(&mut ControlState)) {
        change(&mut self.state.lock().unwrap());
    }

    pub(crate) fn crashes(&self) -> Vec<CrashReport> {
        self.state.lock().unwrap().crashes.clone()
    }

    pub(crate) fn exchanges(&self) -> u64 {
        self.state.lock().unwrap().exchanges
    }
}

async fn serve(endpoint: QuicEndpoint, control: FakeControl) {
    while let Some(pending) = endpoint.accept().await {
        let Ok(link) = pending.establish().await else {
            continue;
        };
        let control = control.clone();
        tokio::spawn(async move {
            while let Ok(stream) = link.accept().await {
                let served = NodeControl::serve(control.clone());
                let calls = server_channel(stream).execute(served);
                tokio::spawn(calls.for_each_concurrent(None, |call| call));
            }
        });
    }
}

impl NodeControl for FakeControl {
    async fn exchange(
        self,
        _: Context,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, ControlError> {
        let mut state = self.state.lock().unwrap();
        state.exchanges += 1;
        state.crashes.extend(request.crashes.iter().cloned());
        let grants = request.demands.iter().map(|demand| TokenGrant {
            team: demand.team.clone(),
            sequence: demand.sequence,
            term: 1,
            granted_milli: demand.want_milli,
            retry_after: None,
        });
        Ok(ExchangeReply {
            lease: state.grants_leases.then_some(LeaseGrant {
                version: state.declaration.version,
                length: LEASE_LENGTH,
            }),
            config: ConfigUpdate::Full(Box::new(state.declaration.clone())),
            members: MemberUpdate {
                feed: 1,
                cursor: 1,
                full: true,
                joined: vec![request.member.clone()],
                left: Vec::new(),
            },
            grants: grants.collect(),
            quarantined: Vec::new(),
            crashes_taken: true,
            stamp: request.stamp,
        })
    }

    async fn claim(self, _: Context, _: IdempotencyClaim) -> Result<ClaimOutcome, ControlError> {
        Err(ControlError::NoQuorum)
    }

    async fn settle(self, _: Context, _: IdempotencySettlement) -> Result<(), ControlError> {
        Ok(())
    }

    async fn may_have_run(self, _: Context, _: IdempotencyKey) -> Result<bool, ControlError> {
        Err(ControlError::NoQuorum)
    }
}
