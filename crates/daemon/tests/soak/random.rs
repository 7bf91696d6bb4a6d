//! Small random generator, so that a schedule follows from its seed alone.

use std::time::Duration;

/// A splitmix64 generator.
#[derive(Clone, Debug)]
pub(crate) struct SeededRandom {
    state: u64,
}

impl SeededRandom {
    pub(crate) fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns a generator of its own, for a part of the soak.
    pub(crate) fn fork(&mut self) -> Self {
        Self::new(self.next())
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Returns a number from `low` up to but not including `high`.
    pub(crate) fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.next() % (high - low)
    }

    /// Returns a time between two numbers of milliseconds.
    pub(crate) fn millis(&mut self, low: u64, high: u64) -> Duration {
        Duration::from_millis(self.between(low, high))
    }

    /// Returns `true` in `percent` of 100 cases.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.between(0, 100) < percent
    }

    /// Returns the number of an instance, below `count`.
    pub(crate) fn number(&mut self, count: u8) -> u8 {
        u8::try_from(self.between(0, u64::from(count))).unwrap_or_default()
    }
}
