//! Event rate as an exponentially weighted moving average.

use std::time::Duration;
use std::time::Instant;

/// Events in the short average from which it is precise enough.
const SHORT_EVENTS_MIN: f64 = 16.0;

/// Events in the long average below which the estimate starts anew.
const LONG_EVENTS_MIN: f64 = 0.01;

/// Event rate, as an exponentially weighted moving average.
///
/// It keeps two averages: the short one follows frequent events closely, and the
/// long one reduces the noise of rare events.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayedRate {
    short: f64,
    long: f64,
    first_event: Instant,
    updated_at: Instant,
}

/// Time constants of the two averages of a [`DecayedRate`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeConstants {
    pub(crate) short: Duration,
    pub(crate) long: Duration,
}

impl DecayedRate {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            short: 0.0,
            long: 0.0,
            first_event: now,
            updated_at: now,
        }
    }

    /// Counts an event and returns the events per second before it.
    pub(crate) fn record(&mut self, now: Instant, time_constants: TimeConstants) -> f64 {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let short_s = time_constants.short.as_secs_f64();
        let long_s = time_constants.long.as_secs_f64();
        self.short *= (-elapsed_s / short_s).exp();
        self.long *= (-elapsed_s / long_s).exp();
        self.updated_at = now;
        if self.long < LONG_EVENTS_MIN {
            self.first_event = now;
        }
        let rate = if self.short >= SHORT_EVENTS_MIN {
            self.short / short_s
        } else {
            let observed_s = now
                .saturating_duration_since(self.first_event)
                .as_secs_f64();
            let effective_s = long_s * (1.0 - (-observed_s / long_s).exp());
            self.long / effective_s.max(short_s)
        };
        self.short += 1.0;
        self.long += 1.0;
        rate
    }
}
