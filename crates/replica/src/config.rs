//! Settings of a replica.

use std::path::PathBuf;
use std::time::Duration;

use quorum::RaftConfig;

use crate::InstanceId;

/// Time after which a proposal without an outcome fails, in milliseconds.
const PROPOSE_TIMEOUT_MS: u64 = 2_000;

/// Size of the log since the last snapshot at which the next one is taken, in bytes.
const SNAPSHOT_THRESHOLD_BYTES: u64 = 16 * 1024 * 1024;

/// Size at which a new segment file is started, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Most inputs that the driver, and most jobs that the storage worker, handle together.
const BATCH_LIMIT: usize = 4_096;

/// Most voters of a group.
const MAX_VOTERS: usize = 7;

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaConfig {
    /// ID in the group.
    pub instance: InstanceId,
    /// Members of the group at its first start.
    pub initial_members: Vec<InstanceId>,
    /// Whether this instance joins an existing group as a learner.
    pub join: bool,
    /// Folder that holds the log, the snapshots and the identity.
    pub data_dir: PathBuf,
    /// Timeouts and size limits of Raft.
    pub raft: RaftConfig,
    /// Time after which a proposal without an outcome fails.
    pub propose_timeout: Duration,
    /// Size in bytes of the log since the last snapshot at which the next one is taken.
    pub snapshot_threshold_bytes: u64,
    /// Size in bytes at which a new segment file is started.
    pub segment_bytes: u64,
    /// Most inputs, proposals among them, handled together, and most batches synced together.
    pub batch_limit: usize,
    /// Most voters; no learner is promoted beyond that until a voter is removed.
    pub max_voters: usize,
    /// Seed of the election timeouts; must differ between instances and between starts.
    pub seed: u64,
}

impl ReplicaConfig {
    /// Creates settings with the default durations and sizes and a random seed.
    #[must_use]
    pub fn new(instance: InstanceId, initial_members: Vec<InstanceId>, data_dir: PathBuf) -> Self {
        Self {
            instance,
            initial_members,
            join: false,
            data_dir,
            raft: RaftConfig::default(),
            propose_timeout: Duration::from_millis(PROPOSE_TIMEOUT_MS),
            snapshot_threshold_bytes: SNAPSHOT_THRESHOLD_BYTES,
            segment_bytes: SEGMENT_BYTES,
            batch_limit: BATCH_LIMIT,
            max_voters: MAX_VOTERS,
            seed: rand::random(),
        }
    }
}
