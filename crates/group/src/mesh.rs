//! Links to the other control instances.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use clock::Clock;
use fleet::GroupMessage;
use link::LinkHealth;
use link::LinkSender;
use model::ids::InstanceId;
use replica::PeerLink;

use crate::identity::instance_ip;

/// Time to connect to another instance, in milliseconds.
const CONNECT_MS: u64 = 500;
/// Time between two tries to connect, in milliseconds.
const RECONNECT_MS: u64 = 150;
/// Silence after which a peer is asked for a sign, in milliseconds.
const ASK_MS: u64 = 300;
/// Silence after which a link is given up, in milliseconds.
const GIVE_UP_MS: u64 = 900;

/// One peer's link.
#[derive(Debug)]
enum PeerState {
    Connecting,
    Open(LinkSender<GroupMessage>),
    Failed(Instant),
}

#[derive(Debug, Default)]
struct MeshState {
    own: InstanceId,
    peers: HashMap<InstanceId, PeerState>,
    heard: HashMap<InstanceId, Instant>,
}

/// Links to the other control instances, opened when there is something to send.
#[derive(Clone, Debug)]
pub(crate) struct GroupMesh<C> {
    state: Arc<Mutex<MeshState>>,
    clock: C,
    port: u16,
}

impl<C: Clock> GroupMesh<C> {
    pub(crate) fn new(port: u16, clock: C) -> Self {
        Self {
            state: Arc::default(),
            clock,
            port,
        }
    }

    /// Sets the identity under which messages are sent.
    pub(crate) fn set_own(&self, own: InstanceId) {
        self.lock().own = own;
    }

    /// Returns where an instance is reached.
    pub(crate) fn address(&self, instance: InstanceId) -> SocketAddr {
        SocketAddr::new(instance_ip(instance), self.port)
    }

    /// Notes a sign of a member.
    pub(crate) fn heard(&self, instance: InstanceId) {
        let now = self.clock.now();
        self.lock().heard.insert(instance, now);
    }

    /// Returns the time since the last sign of a member; one never heard of counts from now.
    pub(crate) fn silent(&self, instance: InstanceId) -> Duration {
        let now = self.clock.now();
        let mut state = self.lock();
        let heard = *state.heard.entry(instance).or_insert(now);
        now.saturating_duration_since(heard)
    }

    /// Forgets the signs of all members, as a new leader must.
    pub(crate) fn forget_signs(&self) {
        self.lock().heard.clear();
    }

    /// Closes links that went silent; call it every 100 ms or so.
    pub(crate) fn probe(&self) {
        let ask = Duration::from_millis(ASK_MS);
        let give_up = Duration::from_millis(GIVE_UP_MS);
        let now = self.clock.now();
        let mut state = self.lock();
        for (instance, peer) in &mut state.peers {
            let PeerState::Open(sender) = peer else {
                continue;
            };
            if sender.probe(ask, give_up) == LinkHealth::TimedOut || sender.is_closed() {
                tracing::info!(event = "peer-lost", peer = %instance_ip(*instance));
                *peer = PeerState::Failed(now);
            }
        }
    }

    fn connect(&self, to: InstanceId) {
        let mesh = self.clone();
        tokio::spawn(async move {
            let address = mesh.address(to);
            let limit = Duration::from_millis(CONNECT_MS);
            let opened = link::connect(address, limit).await;
            let opened = opened.and_then(link::open::<GroupMessage, GroupMessage>);
            let next = match opened {
                Ok((sender, mut receiver)) => {
                    tracing::info!(event = "peer-connected", peer = %address);
                    // Peers answer on links of their own; this direction only shows the end.
                    tokio::spawn(async move { while receiver.next().await.is_some() {} });
                    PeerState::Open(sender)
                }
                Err(error) => {
                    tracing::debug!(event = "peer-unreachable", peer = %address, %error);
                    PeerState::Failed(mesh.clock.now())
                }
            };
            mesh.lock().peers.insert(to, next);
        });
    }

    fn lock(&self) -> MutexGuard<'_, MeshState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: Clock> PeerLink for GroupMesh<C> {
    fn send(&self, to: InstanceId, message: Vec<u8>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let from = state.own;
        let retry = Duration::from_millis(RECONNECT_MS);
        match state.peers.get(&to) {
            Some(PeerState::Open(sender)) if !sender.is_closed() => {
                let body = Bytes::from(message);
                sender.send(&GroupMessage::Replica { from, to, body });
                return;
            }
            Some(PeerState::Connecting) => return,
            Some(PeerState::Failed(at)) if now < *at + retry => return,
            _ => {}
        }
        state.peers.insert(to, PeerState::Connecting);
        drop(state);
        self.connect(to);
    }
}
