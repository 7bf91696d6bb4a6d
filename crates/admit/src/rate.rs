//! Exponentially decayed event rate.

use std::time::Duration;
use std::time::Instant;

/// Rate of events that forgets the past exponentially.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayedRate {
    weight: f64,
    updated: Instant,
}

impl DecayedRate {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            weight: 0.0,
            updated: now,
        }
    }

    /// Returns events per second before this event, then counts it.
    pub(crate) fn record(&mut self, now: Instant, memory: Duration) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        let memory_s = memory.as_secs_f64();
        self.weight *= (-age.as_secs_f64() / memory_s).exp();
        self.updated = now;
        let rate = self.weight / memory_s;
        self.weight += 1.0;
        rate
    }
}
