//! How often a replica takes a turn while it waits for the other first members.

#[path = "support/no_state.rs"]
mod no_state;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use clock::Clock;
use clock::SystemClock;
use replica::InstanceId;
use replica::PeerLink;
use replica::ReplicaConfig;
use replica::ReplicaHandle;
use tempfile::TempDir;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedSender;
use tokio_util::sync::CancellationToken;

use crate::no_state::NoState;

/// Longest election timeout of the replica; it passes long before the first request is repeated.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(20);
/// Requests to be registered during which the readings of the clock are counted.
const COUNTED_REQUESTS: u64 = 5;
/// Most readings of the clock from one request to the next; a turn takes a few.
const MAX_READINGS_PER_REQUEST: u64 = 100;

/// Counts how often the time is read.
#[derive(Clone, Debug, Default)]
struct CountingClock {
    readings: Arc<AtomicU64>,
}

impl Clock for CountingClock {
    fn now(&self) -> Instant {
        self.readings.fetch_add(1, Ordering::Relaxed);
        SystemClock.now()
    }

    fn wall(&self) -> SystemTime {
        SystemClock.wall()
    }
}

/// Reports what is sent to member 2, and delivers nothing.
#[derive(Clone, Debug)]
struct ReportingLink {
    sent: UnboundedSender<()>,
}

impl PeerLink for ReportingLink {
    fn send(&self, to: InstanceId, _message: Vec<u8>) {
        if to == 2 {
            // The test ends before the replica does.
            let _ = self.sent.send(());
        }
    }
}

// Guards against a replica that takes turns without a pause until enough first members have
// registered its folder: the due time of Raft's timers, which do not run by then, stays in the past.
#[tokio::test(flavor = "multi_thread")]
async fn a_replica_that_is_not_registered_waits_between_its_requests() {
    let directory = TempDir::new().unwrap();
    let mut config = ReplicaConfig::new(1, vec![1, 2, 3], directory.path().join("1"));
    config.raft.election_timeout_min = ELECTION_TIMEOUT / 2;
    config.raft.election_timeout_max = ELECTION_TIMEOUT;
    let clock = CountingClock::default();
    let stop = CancellationToken::new();
    let (sent, mut requests) = mpsc::unbounded_channel();
    let link = ReportingLink { sent };
    let started = ReplicaHandle::start(config, link, NoState, clock.clone(), stop.clone());
    let handle = started.unwrap();
    requests.recv().await;
    let before = clock.readings.load(Ordering::Relaxed);
    for _ in 0..COUNTED_REQUESTS {
        requests.recv().await;
    }
    let readings = clock.readings.load(Ordering::Relaxed) - before;
    stop.cancel();
    handle.stopped().await;
    assert!(
        readings <= COUNTED_REQUESTS * MAX_READINGS_PER_REQUEST,
        "{readings} readings between {COUNTED_REQUESTS} requests"
    );
}
