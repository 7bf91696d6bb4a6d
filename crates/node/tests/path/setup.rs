//! Starts a node with a fake control instance and a fake backend server.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::SystemClock;
use ed25519_dalek::SigningKey;
use model::announce::ANNOUNCE_PATH;
use model::declaration::Declaration;
use model::hex;
use model::keys;
use settings::ControlAddress;
use settings::LimitSettings;
use settings::NodeSettings;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;
use wire::role::PeerRole;

use crate::authority::TestAuthority;
use crate::backend::TestBackend;
use crate::caller;
use crate::control::FakeControl;

pub(crate) const API_KEY: &str = "a-key-of-the-team";
pub(crate) const BODY_BYTES: usize = 4_096;
pub(crate) const HEAD_BYTES: usize = 16_384;
/// Deadline of every request, and timeout for events that must occur before it.
pub(crate) const REQUEST_DEADLINE: Duration = Duration::from_secs(20);
const TIMEOUT: Duration = Duration::from_millis(500);

static NEXT_NODE_NUMBER: AtomicU8 = AtomicU8::new(1);

pub(crate) struct TestNode {
    pub(crate) settings: NodeSettings,
    pub(crate) control: FakeControl,
    pub(crate) backend: TestBackend,
    _stop: DropGuard,
    _authority: TestAuthority,
}

impl TestNode {
    /// Starts a node and waits until it serves requests that carry an API key.
    pub(crate) async fn start() -> Self {
        let authority = TestAuthority::new();
        let backend = TestBackend::start().await;
        let settings = settings(&authority);
        let control = FakeControl::start(
            settings.control_addresses[0].address,
            authority.identity(PeerRole::Control),
            declaration(2),
        );
        let stop = CancellationToken::new();
        tokio::spawn(node::run(settings.clone(), SystemClock, stop.clone()));
        let mut test = Self {
            settings,
            control,
            backend,
            _stop: stop.drop_guard(),
            _authority: authority,
        };
        test.wait_ready().await;
        test
    }

    /// Announces the backend server and waits until the node serves requests.
    pub(crate) async fn wait_ready(&mut self) {
        while TcpStream::connect(self.settings.caller_listener)
            .await
            .is_err()
            || TcpStream::connect(self.settings.local_listener)
                .await
                .is_err()
        {
            tokio::task::yield_now().await;
        }
        loop {
            let announcement = format!(
                r#"{{"service":"prices","address":"{}","state":"ready","slots":16}}"#,
                self.backend.address
            );
            self.send_local(&caller::request(ANNOUNCE_PATH, "", &announcement))
                .await;
            if self
                .send_with_key("/prices/echo", "")
                .await
                .ends_with("whole")
            {
                self.backend.request().await;
                return;
            }
        }
    }

    /// Sends raw text to the listener for callers.
    pub(crate) async fn send(&self, text: &str) -> String {
        let stream =
            caller::connect(self.settings.caller_listener, &self.settings.caller_tls).await;
        caller::send_and_read(stream, text).await
    }

    /// Sends a request with the team's API key.
    pub(crate) async fn send_with_key(&self, path: &str, headers: &str) -> String {
        let headers = format!("authorization: Bearer {API_KEY}\r\n{headers}");
        self.send(&caller::request(path, &headers, "body")).await
    }

    /// Sends raw text to the loopback listener for the backend server.
    pub(crate) async fn send_local(&self, text: &str) -> String {
        let stream = TcpStream::connect(self.settings.local_listener)
            .await
            .unwrap();
        caller::send_and_read(stream, text).await
    }
}

/// Asserts that a response reports a failure with this cause and verdict.
#[track_caller]
pub(crate) fn assert_failure(response: &str, cause: &str, verdict: &str) {
    assert!(
        response.contains(&format!("urn:ragwortplank:{cause}\"")),
        "{response}"
    );
    let header = format!("ragwortplank-verdict: {verdict}\r\n");
    assert!(response.contains(&header), "{response}");
    assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
}

pub(crate) fn declaration(version: u64) -> Declaration {
    let owner = |byte| hex::encode(&public_key(byte));
    let digest = hex::encode(&keys::digest_key(API_KEY));
    let text = format!(
        "owners = [\"{}\", \"{}\"]\n\
         [[service]]\nname = \"prices\"\n\
         [[class]]\nname = \"quote\"\nrefused = \"middle\"\nwithin-ms = {}\nshare-percent = 99\n\
         [[route]]\nname = \"prices\"\nprefix = \"/prices\"\nservice = \"prices\"\nclass = \"quote\"\n\
         [[route]]\nname = \"status\"\nprefix = \"/status\"\nservice = \"prices\"\nclass = \"quote\"\n\
         open = true\n\
         [[team]]\nname = \"workshop\"\nrate = 1000\nburst = 1000\n\
         [[key]]\nname = \"workshop-0\"\nteam = \"workshop\"\ndigest = \"{digest}\"\n",
        owner(1),
        owner(2),
        REQUEST_DEADLINE.as_millis()
    );
    Declaration::parse(&text, version).unwrap()
}

fn public_key(byte: u8) -> [u8; 32] {
    SigningKey::from_bytes(&[byte; 32])
        .verifying_key()
        .to_bytes()
}

fn settings(authority: &TestAuthority) -> NodeSettings {
    // A separate loopback address for each node keeps the ports free until the node binds
    // them.
    let number = NEXT_NODE_NUMBER.fetch_add(1, Ordering::Relaxed);
    let [.., high, low] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, high.max(1), low, number);
    let udp = UdpSocket::bind((address, 0)).unwrap().local_addr().unwrap();
    let listeners = [(); 4].map(|()| TcpListener::bind((address, 0)).unwrap());
    let ports: Vec<SocketAddr> = listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect();
    let tls = authority.files(PeerRole::Node.dns_name());
    NodeSettings {
        process: "prices-1".to_owned(),
        data_centre: "dc-1".into(),
        caller_listener: ports[0],
        peer_listener: ports[1],
        local_listener: ports[2],
        admin_listener: ports[3],
        control_addresses: vec![ControlAddress {
            instance: 1,
            address: udp,
        }],
        tls: tls.clone(),
        caller_tls: tls,
        limits: LimitSettings {
            head_bytes: HEAD_BYTES,
            body_bytes: BODY_BYTES,
            head_timeout: TIMEOUT,
            body_timeout: TIMEOUT,
            drain_timeout: TIMEOUT,
        },
    }
}
