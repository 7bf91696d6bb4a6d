//! Hybrid logical clock.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::UNIX_EPOCH;

use clock::Clock;
use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Hybrid logical timestamp: wall-clock time that never falls behind a timestamp already seen.
///
/// Messages between processes carry timestamps, so that an effect always has a
/// later timestamp than its cause, even when the wall clocks differ.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[display("{wall_ms}.{counter}")]
pub struct HybridTimestamp {
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// Order among timestamps of the same millisecond.
    pub counter: u32,
}

/// Issues [`HybridTimestamp`]s for one process; clones share their state.
#[derive(Clone, Debug)]
pub struct HybridLogicalClock<C> {
    clock: C,
    last: Arc<Mutex<HybridTimestamp>>,
}

impl<C: Clock> HybridLogicalClock<C> {
    /// Creates a hybrid logical clock that takes wall-clock time from `clock`.
    #[must_use]
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            last: Arc::new(Mutex::new(HybridTimestamp::default())),
        }
    }

    /// Returns the timestamp of a local event or an outgoing message.
    #[must_use]
    pub fn next_timestamp(&self) -> HybridTimestamp {
        self.advance(HybridTimestamp::default())
    }

    /// Advances past the timestamp of an incoming message and returns a later one.
    pub fn observe(&self, seen: HybridTimestamp) -> HybridTimestamp {
        self.advance(seen)
    }

    fn advance(&self, seen: HybridTimestamp) -> HybridTimestamp {
        let wall_ms = self.wall_ms();
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let floor = (*last).max(seen);
        *last = if wall_ms > floor.wall_ms {
            HybridTimestamp {
                wall_ms,
                counter: 0,
            }
        } else {
            HybridTimestamp {
                wall_ms: floor.wall_ms,
                counter: floor.counter + 1,
            }
        };
        *last
    }

    fn wall_ms(&self) -> u64 {
        let wall = self.clock.wall().duration_since(UNIX_EPOCH);
        wall.map_or(0, |wall| {
            u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
        })
    }
}
