//! Pseudorandom numbers for election timeouts.

use std::time::Duration;

/// `SplitMix64` pseudorandom number generator.
///
/// The same seed gives the same sequence on every platform.
#[derive(Clone, Debug)]
pub struct SplitMix64 {
    state: u64,
}

impl SplitMix64 {
    /// Creates a generator.
    ///
    /// The members of a group must use different seeds: with equal ones they would draw equal
    /// election timeouts.
    #[must_use]
    pub const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns the next 64 random bits.
    pub const fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut bits = self.state;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        bits ^ (bits >> 31)
    }

    /// Returns a duration in `[low, high)`, or `low` when the range is empty.
    pub fn duration_between(&mut self, low: Duration, high: Duration) -> Duration {
        let span_us = u64::try_from(high.saturating_sub(low).as_micros()).unwrap_or(u64::MAX);
        if span_us == 0 {
            return low;
        }
        low + Duration::from_micros(self.next_u64() % span_us)
    }
}
