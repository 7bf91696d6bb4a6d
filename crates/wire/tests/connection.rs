//! Connections between processes: role checks, calls and switching to another control instance.

#[path = "common/authority.rs"]
mod authority;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use authority::TestAuthority;
use futures::StreamExt;
use model::exchange::ExchangeReply;
use model::exchange::ExchangeRequest;
use model::idempotency::ClaimOutcome;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use model::idempotency::IdempotencySettlement;
use model::ids::InstanceId;
use replica::PeerLink;
use settings::ControlAddress;
use tarpc::context::Context;
use tarpc::server::Channel;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use wire::client::ControlClient;
use wire::error::ClientError;
use wire::identity::TlsIdentity;
use wire::peer::PeerMesh;
use wire::quic::QuicEndpoint;
use wire::quic::QuicOptions;
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

const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const TIMEOUT: Duration = Duration::from_secs(10);

fn bind(identity: &TlsIdentity, roles: &[PeerRole]) -> QuicEndpoint {
    QuicEndpoint::bind(LOOPBACK, identity, roles, QuicOptions::default()).unwrap()
}

fn bind_client(identity: &TlsIdentity) -> QuicEndpoint {
    QuicEndpoint::bind_client(LOOPBACK, identity, QuicOptions::default()).unwrap()
}

/// Fake control instance that offers both services and returns one outcome for all claims.
#[derive(Clone)]
struct FakeControl {
    claim: Result<ClaimOutcome, ControlError>,
    delivered: mpsc::UnboundedSender<Vec<u8>>,
}

impl NodeControl for FakeControl {
    async fn exchange(
        self,
        _: Context,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, ControlError> {
        Err(ControlError::ProtocolVersion {
            offered: request.protocol,
            supported: model::exchange::PROTOCOL_VERSION,
        })
    }

    async fn claim(self, _: Context, _: IdempotencyClaim) -> Result<ClaimOutcome, ControlError> {
        self.claim
    }

    async fn settle(self, _: Context, _: IdempotencySettlement) -> Result<(), ControlError> {
        Ok(())
    }

    async fn may_have_run(self, _: Context, _: IdempotencyKey) -> Result<bool, ControlError> {
        Err(ControlError::NoQuorum)
    }
}

impl PeerControl for FakeControl {
    async fn deliver(self, _: Context, _: InstanceId, messages: Vec<Vec<u8>>) {
        for message in messages {
            self.delivered.send(message).unwrap();
        }
    }

    async fn absorb(self, _: Context, batch: NodeUpdateBatch) -> NodeUpdateAck {
        NodeUpdateAck {
            feed_id: batch.feed_id,
            fully_applied: true,
        }
    }

    async fn grant(self, _: Context, _: Vec<NodeDemands>) -> Result<Vec<NodeGrants>, ControlError> {
        Err(ControlError::NoQuorum)
    }

    async fn propose(self, _: Context, command: Vec<u8>) -> Result<Vec<u8>, ForwardError> {
        Ok(command)
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
                let control = control.clone();
                if link.role() == PeerRole::Node {
                    let calls = server_channel(stream).execute(NodeControl::serve(control));
                    tokio::spawn(calls.for_each_concurrent(None, |call| call));
                } else {
                    let served = PeerControl::serve(control);
                    let calls = server_channel(stream).execute(served);
                    tokio::spawn(calls.for_each_concurrent(None, |call| call));
                }
            }
        });
    }
}

fn start(
    authority: &TestAuthority,
    claim: Result<ClaimOutcome, ControlError>,
) -> (SocketAddr, mpsc::UnboundedReceiver<Vec<u8>>) {
    let endpoint = bind(
        &authority.identity(PeerRole::Control),
        &[PeerRole::Node, PeerRole::Control],
    );
    let address = endpoint.local_addr().unwrap();
    let (delivered, messages) = mpsc::unbounded_channel();
    tokio::spawn(serve(endpoint, FakeControl { claim, delivered }));
    (address, messages)
}

fn addresses(list: &[SocketAddr]) -> Vec<ControlAddress> {
    let numbered = list.iter().enumerate();
    let addresses = numbered.map(|(position, address)| ControlAddress {
        instance: position as u64 + 1,
        address: *address,
    });
    addresses.collect()
}

fn claim() -> IdempotencyClaim {
    IdempotencyClaim {
        key: IdempotencyKey {
            team: "team".into(),
            route: "route".into(),
            key: "01890a5d-ac96-774b-bcce-b302099a8057".parse().unwrap(),
        },
        request_digest: [0; 32],
        node: 7,
        attempt: 1,
    }
}

#[tokio::test]
async fn a_peer_with_a_wrong_role_or_authority_is_rejected() {
    let authority = TestAuthority::new();
    let server = bind(&authority.identity(PeerRole::Node), &[PeerRole::Node]);
    let address = server.local_addr().unwrap();
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&outcomes);
    tokio::spawn(async move {
        while let Some(pending) = server.accept().await {
            let outcome = pending.establish().await;
            seen.lock().unwrap().push(outcome.is_ok());
            if let Ok(link) = outcome {
                let mut stream = link.accept().await.unwrap();
                stream.write_all(b"hello").await.unwrap();
                stream.shutdown().await.unwrap();
                link.closed().await;
            }
        }
    });
    let foreign = TestAuthority::new();
    let refused = [
        authority.identity(PeerRole::Operator),
        authority.identity(PeerRole::Control),
        TlsIdentity::load(&authority.files("node.example")).unwrap(),
        foreign.identity(PeerRole::Node),
    ];
    for identity in &refused {
        assert!(!exchanges_bytes(identity, address, PeerRole::Node).await);
    }
    let node = authority.identity(PeerRole::Node);
    assert!(!exchanges_bytes(&node, address, PeerRole::Control).await);
    assert!(exchanges_bytes(&node, address, PeerRole::Node).await);
    let accepted = outcomes.lock().unwrap().iter().filter(|ok| **ok).count();
    assert_eq!(accepted, 1);
}

async fn exchanges_bytes(identity: &TlsIdentity, address: SocketAddr, role: PeerRole) -> bool {
    let endpoint = bind_client(identity);
    let Ok(link) = endpoint.connect(address, role, TIMEOUT).await else {
        return false;
    };
    let Ok(mut stream) = link.open().await else {
        return false;
    };
    let mut answer = String::new();
    let written = stream.write_all(b"hello").await;
    written.is_ok() && stream.read_to_string(&mut answer).await.is_ok() && answer == "hello"
}

#[tokio::test]
async fn a_claim_switches_from_an_instance_without_quorum() {
    let authority = TestAuthority::new();
    let (first, _) = start(&authority, Err(ControlError::NoQuorum));
    let (second, _) = start(&authority, Ok(ClaimOutcome::Fresh));
    let endpoint = bind_client(&authority.identity(PeerRole::Node));
    let client = ControlClient::new(&endpoint, &addresses(&[first, second]), 0);
    assert_eq!(client.instance(), 1);
    let caller = client.clone();
    // Spawned like the calls of a node, which checks that the future is `Send`.
    let outcome = tokio::spawn(async move { caller.claim(&claim(), TIMEOUT).await });
    assert_eq!(outcome.await.unwrap().unwrap(), ClaimOutcome::Fresh);
    assert_eq!(client.instance(), 2);
}

#[tokio::test]
async fn a_claim_switches_from_an_instance_that_does_not_respond() {
    let authority = TestAuthority::new();
    let silent = std::net::UdpSocket::bind(LOOPBACK).unwrap();
    let (second, _) = start(&authority, Ok(ClaimOutcome::Fresh));
    let endpoint = bind_client(&authority.identity(PeerRole::Node));
    let list = addresses(&[silent.local_addr().unwrap(), second]);
    let client = ControlClient::new(&endpoint, &list, 0);
    let outcome = client.claim(&claim(), TIMEOUT).await.unwrap();
    assert_eq!(outcome, ClaimOutcome::Fresh);
    assert_eq!(client.instance(), 2);
}

#[tokio::test]
async fn an_unknown_protocol_version_is_named_in_the_error() {
    let authority = TestAuthority::new();
    let refusal = ControlError::ProtocolVersion {
        offered: 9,
        supported: 1,
    };
    let (address, _) = start(&authority, Err(refusal));
    let endpoint = bind_client(&authority.identity(PeerRole::Node));
    let client = ControlClient::new(&endpoint, &addresses(&[address]), 0);
    let error = client.claim(&claim(), TIMEOUT).await.unwrap_err();
    assert!(matches!(error, ClientError::ErrorResponse { .. }));
    assert!(
        error
            .to_string()
            .contains("protocol version 9 is not supported")
    );
}

#[tokio::test]
async fn the_peer_mesh_delivers_messages_and_drops_those_that_are_too_long() {
    let authority = TestAuthority::new();
    let (address, mut messages) = start(&authority, Ok(ClaimOutcome::Fresh));
    let endpoint = bind_client(&authority.identity(PeerRole::Control));
    let mesh = PeerMesh::new(1, endpoint);
    mesh.add(2, address);
    mesh.send(3, b"nobody".to_vec());
    mesh.send(2, vec![0; wire::codec::MAX_FRAME_BYTES]);
    for number in 0..100_u8 {
        mesh.send(2, vec![number]);
    }
    let mut received = Vec::new();
    while received.len() < 100 {
        received.push(messages.recv().await.unwrap());
    }
    received.sort();
    let expected = (0..100).map(|number| vec![number]).collect::<Vec<_>>();
    assert_eq!(received, expected);
}

#[tokio::test]
async fn nodes_spread_over_the_instances_and_over_the_others_after_a_failure() {
    let authority = TestAuthority::new();
    let silent = std::net::UdpSocket::bind(LOOPBACK).unwrap();
    let (second, _) = start(&authority, Ok(ClaimOutcome::Fresh));
    let (third, _) = start(&authority, Ok(ClaimOutcome::Fresh));
    let endpoint = bind_client(&authority.identity(PeerRole::Node));
    let list = addresses(&[silent.local_addr().unwrap(), second, third]);
    let mut first_choices = Vec::new();
    let mut second_choices = Vec::new();
    for spread in 0..6 {
        let client = ControlClient::new(&endpoint, &list, spread);
        first_choices.push(client.instance());
        client.claim(&claim(), TIMEOUT).await.unwrap();
        second_choices.push(client.instance());
    }
    assert_eq!(first_choices, [1, 2, 3, 1, 2, 3]);
    assert_eq!(second_choices, [2, 2, 3, 3, 2, 3]);
}
