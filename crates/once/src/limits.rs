//! Limits on the number, age and size of records.

use serde::Deserialize;
use serde::Serialize;

/// Limits on what a table keeps; must be equal on all instances of a control group.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct IdempotencyLimits {
    /// Longest time that a key's timestamp may lie in the past, in milliseconds.
    pub window_ms: u64,
    /// Longest time that a key's timestamp may lie in the future, in milliseconds.
    pub skew_ms: u64,
    /// Time for which an attempt that did not run is remembered, in milliseconds.
    pub freed_retention_ms: u64,
    /// Largest stored answer including its content type, in bytes.
    pub answer_bytes: usize,
    /// Largest total size of all stored answers, in bytes.
    pub total_answer_bytes: usize,
    /// Most records; beyond that the oldest keys expire early.
    pub records: usize,
}

impl Default for IdempotencyLimits {
    fn default() -> Self {
        Self {
            window_ms: 24 * 60 * 60 * 1_000,
            skew_ms: 5 * 60 * 1_000,
            freed_retention_ms: 60 * 1_000,
            answer_bytes: 16 * 1024,
            total_answer_bytes: 64 * 1024 * 1024,
            records: 1_000_000,
        }
    }
}
