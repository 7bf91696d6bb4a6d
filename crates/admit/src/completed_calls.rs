//! Calls that completed recently, which are not suspected of a crash.

use std::time::Duration;
use std::time::Instant;

use model::ids::Fingerprint;

/// Slots of the direct-mapped cache; a power of two.
const COMPLETED_SLOTS: usize = 4096;
/// Time for which a fingerprint that completed is not suspected of a later crash, in seconds.
const COMPLETED_S: u64 = 60;

/// A fingerprint that completed.
#[derive(Clone, Copy, Debug)]
struct CompletedCall {
    fingerprint: Fingerprint,
    at: Instant,
}

/// Direct-mapped cache of the fingerprints that completed at a node, in constant memory.
#[derive(Clone, Debug)]
pub struct CompletedCalls {
    slots: Box<[Option<CompletedCall>]>,
}

impl Default for CompletedCalls {
    fn default() -> Self {
        Self {
            slots: vec![None; COMPLETED_SLOTS].into_boxed_slice(),
        }
    }
}

impl CompletedCalls {
    /// Records that a call completed.
    pub fn insert(&mut self, fingerprint: Fingerprint, at: Instant) {
        self.slots[slot_of(fingerprint)] = Some(CompletedCall { fingerprint, at });
    }

    /// Returns whether a call with this fingerprint completed recently.
    #[must_use]
    pub fn contains(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let call = self.slots[slot_of(fingerprint)];
        call.is_some_and(|call| {
            call.fingerprint == fingerprint && now < call.at + Duration::from_secs(COMPLETED_S)
        })
    }
}

fn slot_of(fingerprint: Fingerprint) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "only the low bits are kept"
    )]
    let slot = fingerprint as usize;
    slot % COMPLETED_SLOTS
}
