//! Durations and sizes that the core works with.

use std::time::Duration;

/// Time between two heartbeats of a leader, in milliseconds.
const HEARTBEAT_MS: u64 = 50;

/// Shortest election timeout, in milliseconds.
const ELECTION_MIN_MS: u64 = 300;

/// Longest election timeout, in milliseconds.
const ELECTION_MAX_MS: u64 = 600;

/// Time after which a waiting read fails, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_500;

/// Most bytes of commands in one message.
const MESSAGE_BYTES: usize = 256 * 1024;

/// Most entries sent to a member ahead of its acknowledgement.
const WINDOW_ENTRIES: u64 = 8_192;

/// Entries kept behind a snapshot, so that a member that lags a little needs none.
const TRAILING_ENTRIES: u64 = 1_024;

/// Entries that a learner may lag behind and still be promoted.
const PROMOTION_LAG_ENTRIES: u64 = 64;

/// Durations and sizes of a [`QuorumCore`](crate::QuorumCore).
///
/// All members of a group must use the same election timeouts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CoreTiming {
    /// Time between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// Shortest election timeout; a leader is trusted for that long.
    pub election_min: Duration,
    /// Longest election timeout.
    pub election_max: Duration,
    /// Time after which a waiting read fails.
    pub read_timeout: Duration,
    /// Most bytes of commands, or of a snapshot, in one message.
    pub message_bytes: usize,
    /// Most entries sent to a member ahead of its acknowledgement.
    pub window_entries: u64,
    /// Entries kept behind a snapshot.
    pub trailing_entries: u64,
    /// Entries that a learner may lag behind and still be promoted.
    pub promotion_lag_entries: u64,
}

impl Default for CoreTiming {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(HEARTBEAT_MS),
            election_min: Duration::from_millis(ELECTION_MIN_MS),
            election_max: Duration::from_millis(ELECTION_MAX_MS),
            read_timeout: Duration::from_millis(READ_TIMEOUT_MS),
            message_bytes: MESSAGE_BYTES,
            window_entries: WINDOW_ENTRIES,
            trailing_entries: TRAILING_ENTRIES,
            promotion_lag_entries: PROMOTION_LAG_ENTRIES,
        }
    }
}
