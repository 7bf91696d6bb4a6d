//! Tokens at a node that were borrowed from the leader's pool.

use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;

/// Time for which a borrowed token may be used, in milliseconds.
const LIFETIME_MS: u64 = 300;
/// Time within which tokens that expire one after another count as expiring together, in
/// milliseconds; bounds the number of batches.
const BATCH_SPAN_MS: u64 = 20;

/// Tokens that expire at the same time.
#[derive(Clone, Copy, Debug)]
struct TokenBatch {
    tokens: u32,
    until: Instant,
}

/// Borrowed tokens, each of which expires a fixed time after it was borrowed, whatever is borrowed
/// or returned later.
#[derive(Clone, Debug, Default)]
pub(crate) struct BorrowedTokens {
    /// In the order in which they expire.
    batches: SmallVec<[TokenBatch; 4]>,
}

impl BorrowedTokens {
    /// Returns when tokens expire that are borrowed now.
    pub(crate) fn expiry(now: Instant) -> Instant {
        now + Duration::from_millis(LIFETIME_MS)
    }

    /// Adds tokens that expire at `until`, or up to [`BATCH_SPAN_MS`] earlier.
    pub(crate) fn add(&mut self, tokens: u32, until: Instant, now: Instant) {
        self.batches.retain(|batch| now < batch.until);
        if tokens == 0 || until <= now {
            return;
        }
        let span = Duration::from_millis(BATCH_SPAN_MS);
        let position = self.batches.partition_point(|batch| batch.until <= until);
        if let Some(batch) = position.checked_sub(1).map(|last| &mut self.batches[last])
            && until < batch.until + span
        {
            batch.tokens = batch.tokens.saturating_add(tokens);
            return;
        }
        self.batches.insert(position, TokenBatch { tokens, until });
    }

    /// Takes the token that expires first; returns when it does, or `None` if there is none.
    pub(crate) fn take(&mut self, now: Instant) -> Option<Instant> {
        self.batches
            .retain(|batch| now < batch.until && batch.tokens > 0);
        let batch = self.batches.first_mut()?;
        batch.tokens -= 1;
        Some(batch.until)
    }
}
