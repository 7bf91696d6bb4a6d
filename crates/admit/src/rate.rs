//! Exponentially decayed event rate.

use std::time::Duration;
use std::time::Instant;

/// Events in the shorter memory from which on it is exact enough.
const EVENTS_ENOUGH: f64 = 16.0;

/// Weight in the longer memory below which events begin anew.
const FORGOTTEN: f64 = 0.01;

/// Rate of events that forgets the past exponentially.
///
/// It has two memories: the short one follows frequent events closely, and the
/// long one keeps the noise of rare events down.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayedRate {
    short: f64,
    long: f64,
    first: Instant,
    updated: Instant,
}

/// Times over which a [`DecayedRate`] averages.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RateMemory {
    pub(crate) short: Duration,
    pub(crate) long: Duration,
}

impl DecayedRate {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            short: 0.0,
            long: 0.0,
            first: now,
            updated: now,
        }
    }

    /// Returns events per second before this event, then counts it.
    pub(crate) fn record(&mut self, now: Instant, memory: RateMemory) -> f64 {
        let age_s = now.saturating_duration_since(self.updated).as_secs_f64();
        let short_s = memory.short.as_secs_f64();
        let long_s = memory.long.as_secs_f64();
        self.short *= (-age_s / short_s).exp();
        self.long *= (-age_s / long_s).exp();
        self.updated = now;
        if self.long < FORGOTTEN {
            self.first = now;
        }
        let rate = if self.short >= EVENTS_ENOUGH {
            self.short / short_s
        } else {
            let seen_s = now.saturating_duration_since(self.first).as_secs_f64();
            let filled_s = long_s * (1.0 - (-seen_s / long_s).exp());
            self.long / filled_s.max(short_s)
        };
        self.short += 1.0;
        self.long += 1.0;
        rate
    }
}
