//! A group of replicas in one process, connected in memory.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use clock::SystemClock;
use quorum::MemberRole;
use replica::InstanceId;
use replica::LogIndex;
use replica::MemberChange;
use replica::MemberChangeError;
use replica::PeerLink;
use replica::ReplicaConfig;
use replica::ReplicaHandle;
use replica::ReplicaStatus;
use replica::ReplicatedState;
use replica::StateMachine;
use tempfile::TempDir;
use tokio_util::sync::CancellationToken;

/// Time between two attempts, in milliseconds.
const RETRY_MS: u64 = 10;

/// State machine that keeps every entry, and returns how many there are.
#[derive(Clone, Debug, Default)]
pub(crate) struct EntryList {
    pub(crate) entries: Vec<Vec<u8>>,
}

impl StateMachine for EntryList {
    type Output = u64;

    fn apply(&mut self, _index: LogIndex, entry: &[u8]) -> u64 {
        self.entries.push(entry.to_vec());
        self.entries.len() as u64
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.entries).expect("entries encode")
    }

    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()> {
        self.entries = postcard::from_bytes(snapshot)?;
        Ok(())
    }
}

/// Delivers messages to the running replicas of the group.
#[derive(Clone, Debug)]
pub(crate) struct MemoryLink {
    from: InstanceId,
    running: Arc<Mutex<BTreeMap<InstanceId, ReplicaHandle<EntryList>>>>,
}

impl PeerLink for MemoryLink {
    fn send(&self, to: InstanceId, message: Vec<u8>) {
        let running = self.running.lock().expect("no test panicked");
        if let Some(handle) = running.get(&to) {
            handle.receive(self.from, message);
        }
    }
}

/// Group of replicas with their data folders.
pub(crate) struct TestGroup {
    pub(crate) snapshot_threshold_bytes: u64,
    pub(crate) segment_bytes: u64,
    pub(crate) max_message_bytes: usize,
    pub(crate) trailing_entries: u64,
    members: Vec<InstanceId>,
    root: TempDir,
    running: Arc<Mutex<BTreeMap<InstanceId, ReplicaHandle<EntryList>>>>,
    stop_tokens: BTreeMap<InstanceId, CancellationToken>,
}

impl TestGroup {
    pub(crate) fn new(members: &[InstanceId]) -> Self {
        let config = ReplicaConfig::new(1, Vec::new(), PathBuf::new());
        Self {
            snapshot_threshold_bytes: config.snapshot_threshold_bytes,
            segment_bytes: config.segment_bytes,
            max_message_bytes: config.raft.max_message_bytes,
            trailing_entries: config.raft.trailing_entries,
            members: members.to_vec(),
            root: tempfile::tempdir().expect("a folder"),
            running: Arc::default(),
            stop_tokens: BTreeMap::new(),
        }
    }

    fn folder(&self, id: InstanceId) -> PathBuf {
        self.root.path().join(id.to_string())
    }

    pub(crate) fn start_all(&mut self) {
        for id in self.members.clone() {
            self.start(id);
        }
    }

    pub(crate) fn start(&mut self, id: InstanceId) {
        self.start_as(id, false);
    }

    pub(crate) fn start_joining(&mut self, id: InstanceId) {
        self.start_as(id, true);
    }

    fn start_as(&mut self, id: InstanceId, join: bool) {
        let mut config = ReplicaConfig::new(id, self.members.clone(), self.folder(id));
        config.join = join;
        config.snapshot_threshold_bytes = self.snapshot_threshold_bytes;
        config.segment_bytes = self.segment_bytes;
        config.raft.max_message_bytes = self.max_message_bytes;
        config.raft.trailing_entries = self.trailing_entries;
        let link = MemoryLink {
            from: id,
            running: Arc::clone(&self.running),
        };
        let stop = CancellationToken::new();
        let machine = EntryList::default();
        let handle = ReplicaHandle::start(config, link, machine, SystemClock, stop.clone())
            .expect("the folder opens");
        self.stop_tokens.insert(id, stop);
        self.running
            .lock()
            .expect("no test panicked")
            .insert(id, handle);
    }

    pub(crate) async fn stop(&mut self, id: InstanceId) {
        let handle = self.handle(id);
        if let Some(stop) = self.stop_tokens.remove(&id) {
            stop.cancel();
        }
        handle.stopped().await;
        self.running.lock().expect("no test panicked").remove(&id);
    }

    pub(crate) async fn stop_all(&mut self) {
        for id in self.running_ids() {
            self.stop(id).await;
        }
    }

    pub(crate) fn wipe(&self, id: InstanceId) {
        std::fs::remove_dir_all(self.folder(id)).expect("the folder is removed");
    }

    /// Removes the log folder of a running replica, so that it cannot create segments.
    pub(crate) fn remove_log_folder(&self, id: InstanceId) {
        std::fs::remove_dir_all(self.folder(id).join("log")).expect("the folder is removed");
    }

    pub(crate) fn handle(&self, id: InstanceId) -> ReplicaHandle<EntryList> {
        let running = self.running.lock().expect("no test panicked");
        running.get(&id).expect("the replica runs").clone()
    }

    fn running_ids(&self) -> Vec<InstanceId> {
        let running = self.running.lock().expect("no test panicked");
        running.keys().copied().collect()
    }

    pub(crate) async fn wait(&self, id: InstanceId, condition: impl Fn(&ReplicaStatus) -> bool) {
        let mut watch = self.handle(id).watch();
        watch
            .wait_for(|status| condition(status))
            .await
            .expect("the replica runs until the condition holds");
    }

    /// Waits for a leader among the running replicas.
    pub(crate) async fn leader(&self) -> InstanceId {
        loop {
            for id in self.running_ids() {
                if self.handle(id).status().role == MemberRole::Leader {
                    return id;
                }
            }
            tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }

    /// Proposes until an instance accepts; the entry may be applied more than once.
    pub(crate) async fn propose(&self, entry: &[u8]) -> u64 {
        loop {
            let leader = self.leader().await;
            if let Ok(output) = self.handle(leader).propose(entry.to_vec()).await {
                return output;
            }
            tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }

    /// Changes the members; retries while another change is in flight or the leader changes.
    pub(crate) async fn change_members(&self, change: MemberChange) {
        loop {
            let leader = self.leader().await;
            match self.handle(leader).change_members(change).await {
                Ok(_) => return,
                Err(MemberChangeError::InFlight | MemberChangeError::NotLeader { .. }) => {}
                Err(error) => panic!("{error}"),
            }
            tokio::time::sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }

    /// Returns how many entries each running replica holds, by linearizable reads.
    pub(crate) async fn entry_counts(&self) -> Vec<usize> {
        let mut counts = Vec::new();
        for id in self.running_ids() {
            let handle = self.handle(id);
            while handle.read_index().await.is_err() {}
            counts.push(handle.read(|list| list.entries.len()));
        }
        counts
    }
}
