//! Registration of first members, with messages that are delivered one by one.

#[path = "support/no_state.rs"]
mod no_state;

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use clock::SystemClock;
use replica::InstanceId;
use replica::PeerLink;
use replica::ReplicaConfig;
use replica::ReplicaHandle;
use replica::ReplicatedState;
use replica::storage::LogStore;
use replica::storage::StoreConfig;
use tempfile::TempDir;
use tokio_util::sync::CancellationToken;

use crate::no_state::NoState;

/// Interval between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Second byte of a request to register a folder, and of the response.
const REQUEST_KIND: u8 = 1;
const REPLY_KIND: u8 = 2;

/// A message that was sent and not delivered.
#[derive(Clone, Debug)]
struct SentMessage {
    from: InstanceId,
    to: InstanceId,
    body: Vec<u8>,
}

/// Keeps all messages instead of delivering them.
#[derive(Clone, Debug)]
struct HeldLink {
    from: InstanceId,
    sent: Arc<Mutex<Vec<SentMessage>>>,
}

impl PeerLink for HeldLink {
    fn send(&self, to: InstanceId, body: Vec<u8>) {
        let from = self.from;
        self.sent
            .lock()
            .unwrap()
            .push(SentMessage { from, to, body });
    }
}

/// Three first members whose messages are held.
struct HeldGroup {
    directory: TempDir,
    sent: Arc<Mutex<Vec<SentMessage>>>,
    handles: Vec<ReplicaHandle<NoState>>,
    stop: CancellationToken,
}

impl HeldGroup {
    fn start() -> Self {
        let mut group = Self {
            directory: TempDir::new().unwrap(),
            sent: Arc::default(),
            handles: Vec::new(),
            stop: CancellationToken::new(),
        };
        for id in 1..=3 {
            let directory = group.directory.path().join(id.to_string());
            let link = HeldLink {
                from: id,
                sent: Arc::clone(&group.sent),
            };
            let config = ReplicaConfig::new(id, vec![1, 2, 3], directory);
            let stop = group.stop.clone();
            let handle = ReplicaHandle::start(config, link, NoState, SystemClock, stop);
            group.handles.push(handle.unwrap());
        }
        group
    }

    fn handle(&self, id: InstanceId) -> &ReplicaHandle<NoState> {
        let position = usize::try_from(id - 1).unwrap();
        &self.handles[position]
    }

    /// Waits until a message of a kind was sent.
    fn await_sent(&self, from: InstanceId, to: InstanceId, kind: u8) -> SentMessage {
        loop {
            let sent = self.sent.lock().unwrap().clone();
            let found = sent
                .into_iter()
                .find(|message| (message.from, message.to, message.body[1]) == (from, to, kind));
            if let Some(message) = found {
                return message;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn deliver(&self, message: SentMessage) {
        self.handle(message.to).receive(message.from, message.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_arrives_while_the_own_registration_is_saved_does_not_undo_it() {
    let group = HeldGroup::start();
    for other in [2, 3] {
        group.deliver(group.await_sent(1, other, REQUEST_KIND));
    }
    let messages = [
        group.await_sent(2, 1, REPLY_KIND),
        group.await_sent(3, 1, REPLY_KIND),
        group.await_sent(2, 1, REQUEST_KIND),
    ];
    for message in messages {
        group.deliver(message);
    }
    // The reply shows that the folder of member 2 is saved.
    group.await_sent(1, 2, REPLY_KIND);
    let mut status = group.handle(1).watch();
    status.wait_for(|status| status.registered).await.unwrap();
    group.stop.cancel();
    for handle in &group.handles {
        handle.stopped().await;
    }
    let config = StoreConfig {
        data_dir: group.directory.path().join("1"),
        instance: 1,
        initial_members: vec![1, 2, 3],
        join: false,
        segment_bytes: 1 << 20,
    };
    let (_, recovered) = LogStore::open(&config).unwrap();
    assert!(recovered.identity.registered);
}
