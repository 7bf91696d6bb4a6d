//! Bounds on what is kept.

use serde::Deserialize;
use serde::Serialize;

/// Bounds on what a table keeps; equal on all instances of a control group.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct OnceLimits {
    /// Milliseconds that a key's time stamp may lie back.
    pub window_ms: u64,
    /// Milliseconds that a key's time stamp may lie ahead.
    pub skew_ms: u64,
    /// Milliseconds for which a freed attempt is remembered.
    pub freed_ms: u64,
    /// Most bytes of one stored answer, content type included.
    pub answer_bytes: usize,
    /// Most bytes of all stored answers together.
    pub total_answer_bytes: usize,
    /// Most records; above it the oldest keys expire early.
    pub records: usize,
}

impl Default for OnceLimits {
    fn default() -> Self {
        Self {
            window_ms: 24 * 60 * 60 * 1_000,
            skew_ms: 5 * 60 * 1_000,
            freed_ms: 60 * 1_000,
            answer_bytes: 16 * 1024,
            total_answer_bytes: 64 * 1024 * 1024,
            records: 1_000_000,
        }
    }
}
