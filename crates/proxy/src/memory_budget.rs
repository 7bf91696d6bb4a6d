//! Memory that all bodies of one kind may take together, and the buffers that draw on it.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;

/// Largest body, in bytes, that may use the last part of the budget.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// The last part of the budget is this fraction of it, so that large bodies do not crowd out
/// small ones.
const RESERVE_DIVISOR: usize = 4;
/// A buffer that is full grows by this fraction of its size.
const GROWTH_DIVISOR: usize = 4;

/// Why a body cannot grow.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum BodyTooLarge {
    /// It exceeds its own limit.
    #[display("the body exceeds its limit")]
    OverLimit,
    /// It does not fit into the memory that is left.
    #[display("no memory is left for the body")]
    NoMemory,
}

/// Memory that all bodies of one kind may take together; clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    limit_bytes: usize,
    used_bytes: Arc<AtomicUsize>,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used.
    #[must_use]
    pub fn new(limit_bytes: u64) -> Self {
        Self {
            limit_bytes: usize::try_from(limit_bytes).unwrap_or(usize::MAX),
            used_bytes: Arc::default(),
        }
    }

    /// Returns how many bytes are in use.
    #[must_use]
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Ordering::Relaxed)
    }

    /// Returns an empty buffer for one body of up to `max_bytes`.
    #[must_use]
    pub fn buffer(&self, max_bytes: usize) -> BodyBuffer {
        BodyBuffer {
            budget: self.clone(),
            bytes: Vec::new(),
            reserved_bytes: 0,
            max_bytes,
        }
    }

    /// Reserves `more` bytes for a body that then has `total`; returns whether they fit.
    fn reserve(&self, more: usize, total: usize) -> bool {
        let limit = if total > SMALL_BODY_BYTES {
            self.limit_bytes - self.limit_bytes / RESERVE_DIVISOR
        } else {
            self.limit_bytes
        };
        let add = |used: usize| used.checked_add(more).filter(|used| *used <= limit);
        self.used_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .is_ok()
    }

    fn release(&self, bytes: usize) {
        self.used_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}

/// A body that grows in one piece, within a budget; what it has taken is given back on drop.
///
/// One piece, since a body in many small chunks would take a multiple of its size.
#[derive(Debug)]
pub struct BodyBuffer {
    budget: MemoryBudget,
    bytes: Vec<u8>,
    reserved_bytes: usize,
    max_bytes: usize,
}

impl BodyBuffer {
    /// Appends a chunk.
    ///
    /// # Errors
    ///
    /// Fails when the body exceeds its limit or the budget; nothing is appended then.
    pub fn append(&mut self, chunk: &[u8]) -> Result<(), BodyTooLarge> {
        let needed = self.bytes.len().saturating_add(chunk.len());
        if needed > self.max_bytes {
            return Err(BodyTooLarge::OverLimit);
        }
        if needed > self.reserved_bytes {
            let wanted = needed.max(self.reserved_bytes + self.reserved_bytes / GROWTH_DIVISOR);
            if !self.grow(wanted) && !self.grow(needed) {
                return Err(BodyTooLarge::NoMemory);
            }
        }
        self.bytes.extend_from_slice(chunk);
        Ok(())
    }

    fn grow(&mut self, total: usize) -> bool {
        let fits = self.budget.reserve(total - self.reserved_bytes, total);
        if fits {
            self.reserved_bytes = total;
            self.bytes.reserve_exact(total - self.bytes.len());
        }
        fits
    }

    /// Returns the body; its memory counts as used until the last clone is dropped.
    #[must_use]
    pub fn freeze(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.budget.release(self.reserved_bytes - self.bytes.len());
        self.reserved_bytes = self.bytes.len();
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BodyBuffer {
    fn drop(&mut self) {
        self.budget.release(self.reserved_bytes);
    }
}
