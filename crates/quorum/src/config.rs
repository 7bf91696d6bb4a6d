//! Timeouts and size limits.

use std::time::Duration;

use crate::QuorumRule;

/// Interval of a leader's heartbeats, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 50;

/// Shortest election timeout, in milliseconds.
const ELECTION_TIMEOUT_MIN_MS: u64 = 300;

/// Longest election timeout, in milliseconds.
const ELECTION_TIMEOUT_MAX_MS: u64 = 600;

/// Time after which a pending read fails, in milliseconds.
const READ_TIMEOUT_MS: u64 = 1_500;

/// Maximum size of the commands in one message, in bytes.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// Maximum number of unacknowledged entries sent to a member.
const MAX_UNACKED_ENTRIES: u64 = 8_192;

/// Maximum size of the unacknowledged entries sent to a member, in bytes. A link that is full
/// closes, and what is queued on it is lost.
const MAX_UNACKED_BYTES: usize = 4 * 1024 * 1024;

/// Entries kept before a snapshot, so that a member that lags by less does not need the snapshot.
const TRAILING_ENTRIES: u64 = 1_024;

/// Maximum size of these entries, in bytes. Sending more takes longer than sending the snapshot.
const TRAILING_BYTES: usize = 4 * 1024 * 1024;

/// Maximum number of entries by which a learner may lag and still be promoted.
const MAX_PROMOTION_LAG_ENTRIES: u64 = 64;

/// Timeouts and size limits of a [`RaftCore`](crate::RaftCore).
///
/// All members of a group must use the same election timeouts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RaftConfig {
    /// Interval of a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Shortest election timeout; a member that heard from the leader within this time refuses
    /// to vote for another.
    pub election_timeout_min: Duration,
    /// Longest election timeout.
    pub election_timeout_max: Duration,
    /// Time after which a pending read fails.
    pub read_timeout: Duration,
    /// Maximum size of the commands or of the snapshot chunk in one message, in bytes.
    pub max_message_bytes: usize,
    /// Maximum number of unacknowledged entries sent to a member.
    pub max_unacked_entries: u64,
    /// Maximum size of the unacknowledged entries sent to a member, in bytes; a single larger entry
    /// is sent all the same.
    pub max_unacked_bytes: usize,
    /// Entries kept before a snapshot for members that lag.
    pub trailing_entries: u64,
    /// Maximum size of the entries kept before a snapshot, in bytes.
    pub trailing_bytes: usize,
    /// Maximum number of entries by which a learner may lag and still be promoted.
    pub max_promotion_lag_entries: u64,
    /// How many voters form a quorum; all members of a group must use the same rule.
    pub quorum_rule: QuorumRule,
}

impl Default for RaftConfig {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(HEARTBEAT_INTERVAL_MS),
            election_timeout_min: Duration::from_millis(ELECTION_TIMEOUT_MIN_MS),
            election_timeout_max: Duration::from_millis(ELECTION_TIMEOUT_MAX_MS),
            read_timeout: Duration::from_millis(READ_TIMEOUT_MS),
            max_message_bytes: MAX_MESSAGE_BYTES,
            max_unacked_entries: MAX_UNACKED_ENTRIES,
            max_unacked_bytes: MAX_UNACKED_BYTES,
            trailing_entries: TRAILING_ENTRIES,
            trailing_bytes: TRAILING_BYTES,
            max_promotion_lag_entries: MAX_PROMOTION_LAG_ENTRIES,
            quorum_rule: QuorumRule::default(),
        }
    }
}
