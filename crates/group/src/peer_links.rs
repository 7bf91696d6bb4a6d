//! Outgoing connections to the other control instances.

use std::collections::BTreeSet;
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
use fleet::ControlMessage;
use link::LinkHealth;
use link::LinkSender;
use model::ids::InstanceId;
use quorum::GroupMember;
use replica::PeerLink;

use crate::identity::instance_ip;
use crate::repair::MemberView;

/// Timeout for connecting to another instance, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Delay between two connection attempts, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 150;
/// Silence after which a peer is probed, in milliseconds.
const PROBE_AFTER_MS: u64 = 300;
/// Silence after which a connection is closed, in milliseconds.
const CLOSE_AFTER_MS: u64 = 900;
/// Time within which an instance ends that has said that it stops, in milliseconds.
const STOP_TIME_MS: u64 = 3_000;

/// State of the connection to one peer.
#[derive(Debug)]
enum PeerState {
    Connecting,
    Open(LinkSender<ControlMessage>),
    /// Failed or closed at this time.
    Failed(Instant),
}

#[derive(Debug, Default)]
struct PeerLinksState {
    /// Identity of this instance, once it has durably chosen one.
    own: Option<InstanceId>,
    peers: HashMap<InstanceId, PeerState>,
    /// Since when each member has been silent.
    silent_since: HashMap<InstanceId, SilenceStart>,
    /// Members at whose address another identity has answered.
    lost: BTreeSet<InstanceId>,
}

/// The last message from a member, or the start of the wait for the first one.
#[derive(Clone, Copy, Debug)]
struct SilenceStart {
    at: Instant,
    heard: bool,
    /// When the member said that it stops.
    leaving_since: Option<Instant>,
}

/// Connections to the other control instances, opened on the first message to each.
#[derive(Clone, Debug)]
pub(crate) struct PeerLinks<C> {
    state: Arc<Mutex<PeerLinksState>>,
    clock: C,
    port: u16,
}

impl<C: Clock> PeerLinks<C> {
    pub(crate) fn new(port: u16, clock: C) -> Self {
        Self {
            state: Arc::default(),
            clock,
            port,
        }
    }

    /// Sets the identity under which messages are sent.
    pub(crate) fn set_own(&self, own: InstanceId) {
        self.lock().own = Some(own);
    }

    /// Returns the identity under which messages are sent; `None` until it is chosen.
    pub(crate) fn own(&self) -> Option<InstanceId> {
        self.lock().own
    }

    /// Returns the address at which an instance listens for connections.
    pub(crate) fn address(&self, instance: InstanceId) -> SocketAddr {
        SocketAddr::new(instance_ip(instance), self.port)
    }

    /// Records that a message came from a member.
    pub(crate) fn record_heard(&self, instance: InstanceId) {
        let now = self.clock.now();
        let mut state = self.lock();
        let leaving_since = state
            .silent_since
            .get(&instance)
            .and_then(|start| start.leaving_since)
            .filter(|&since| now < since + Duration::from_millis(STOP_TIME_MS));
        let start = SilenceStart {
            at: now,
            heard: true,
            leaving_since,
        };
        state.silent_since.insert(instance, start);
    }

    /// Records that a member stops; one that is heard for longer has started again.
    pub(crate) fn record_leaving(&self, instance: InstanceId) {
        let now = self.clock.now();
        let start = SilenceStart {
            at: now,
            heard: true,
            leaving_since: Some(now),
        };
        tracing::info!(event = "member-leaving", instance);
        self.lock().silent_since.insert(instance, start);
    }

    /// Tells all connected instances that this one stops.
    pub(crate) fn announce_leaving(&self) {
        let state = self.lock();
        let Some(instance) = state.own else {
            return;
        };
        let leaving = ControlMessage::Leaving { instance };
        for peer in state.peers.values() {
            if let PeerState::Open(sender) = peer {
                sender.send(&leaving);
            }
        }
    }

    /// Returns what is known of a member; the silence of one not heard yet is the time since the
    /// first call of this function.
    pub(crate) fn view(&self, member: &GroupMember) -> MemberView {
        let now = self.clock.now();
        let mut state = self.lock();
        let unheard = SilenceStart {
            at: now,
            heard: false,
            leaving_since: None,
        };
        let start = *state.silent_since.entry(member.instance).or_insert(unheard);
        MemberView {
            instance: member.instance,
            voter: member.voter,
            silence: now.saturating_duration_since(start.at),
            heard: start.heard,
            leaving: start.leaving_since.is_some(),
        }
    }

    /// Restarts the measurement of silence for all members.
    ///
    /// A new leader must do so, since as a follower it got no regular messages from the others.
    pub(crate) fn reset_silence(&self) {
        let is_leaving = |start: &SilenceStart| start.leaving_since.is_some();
        self.lock()
            .silent_since
            .retain(|_, start| is_leaving(start));
    }

    /// Returns the voters at whose address another identity has answered to a message for them.
    ///
    /// They are lost for good: an identity takes the place of another only once that one's log is
    /// gone, and it answers after the message was sent, so that it is the later one. What is known
    /// of instances that are not among `voters` is forgotten.
    pub(crate) fn lost_voters(&self, voters: impl Iterator<Item = InstanceId>) -> Vec<InstanceId> {
        let mut state = self.lock();
        let known = std::mem::take(&mut state.lost);
        if !known.is_empty() {
            state.lost = voters.filter(|voter| known.contains(voter)).collect();
        }
        state.lost.iter().copied().collect()
    }

    /// Handles the answer of the instance that runs at the address of `to`.
    fn on_answer(&self, to: InstanceId, answer: &ControlMessage) {
        let ControlMessage::OtherIdentity { intended, running } = *answer else {
            return;
        };
        if intended != to || running == to || instance_ip(running) != instance_ip(to) {
            tracing::warn!(event = "identity-answer-unexpected", intended, running);
            return;
        }
        if self.lock().lost.insert(to) {
            tracing::info!(event = "identity-lost", instance = to, running);
        }
    }

    /// Probes silent connections and closes those that stay silent; must be called about every
    /// 100 ms.
    pub(crate) fn probe(&self) {
        let probe_after = Duration::from_millis(PROBE_AFTER_MS);
        let close_after = Duration::from_millis(CLOSE_AFTER_MS);
        let now = self.clock.now();
        let mut state = self.lock();
        for (instance, peer) in &mut state.peers {
            let PeerState::Open(sender) = peer else {
                continue;
            };
            if sender.probe(probe_after, close_after) == LinkHealth::TimedOut || sender.is_closed()
            {
                tracing::info!(event = "peer-lost", peer = %instance_ip(*instance));
                *peer = PeerState::Failed(now);
            }
        }
    }

    /// Waits until everything queued for other instances is written or its connection closed.
    pub(crate) async fn flushed(&self) {
        let open: Vec<LinkSender<ControlMessage>> = {
            let state = self.lock();
            let senders = state.peers.values().filter_map(|peer| match peer {
                PeerState::Open(sender) => Some(sender.clone()),
                PeerState::Connecting | PeerState::Failed(_) => None,
            });
            senders.collect()
        };
        for sender in open {
            sender.flushed().await;
        }
    }

    fn connect(&self, to: InstanceId) {
        let links = self.clone();
        tokio::spawn(async move {
            let address = links.address(to);
            let connect_timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
            let opened = link::connect(address, connect_timeout).await;
            let opened = opened.and_then(link::open::<ControlMessage, ControlMessage>);
            let next = match opened {
                Ok((sender, mut receiver)) => {
                    tracing::info!(event = "peer-connected", peer = %address);
                    // Peers send on connections of their own; on this one, only an instance of another
                    // identity answers.
                    let links = links.clone();
                    tokio::spawn(async move {
                        while let Some(answer) = receiver.next().await {
                            links.on_answer(to, &answer);
                        }
                    });
                    PeerState::Open(sender)
                }
                Err(error) => {
                    tracing::debug!(event = "peer-unreachable", peer = %address, %error);
                    PeerState::Failed(links.clock.now())
                }
            };
            links.lock().peers.insert(to, next);
        });
    }

    fn lock(&self) -> MutexGuard<'_, PeerLinksState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: Clock> PeerLink for PeerLinks<C> {
    fn send(&self, to: InstanceId, message: Vec<u8>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(from) = state.own else {
            return;
        };
        let retry_delay = Duration::from_millis(RECONNECT_DELAY_MS);
        match state.peers.get(&to) {
            Some(PeerState::Open(sender)) if !sender.is_closed() => {
                let body = Bytes::from(message);
                sender.send(&ControlMessage::Replica { from, to, body });
                return;
            }
            Some(PeerState::Connecting) => return,
            Some(PeerState::Failed(failed_at)) if now < *failed_at + retry_delay => return,
            _ => {}
        }
        state.peers.insert(to, PeerState::Connecting);
        drop(state);
        self.connect(to);
    }
}
