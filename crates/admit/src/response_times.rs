//! Distribution of recent response times.

use std::time::Duration;
use std::time::Instant;

/// Number of buckets; with [`BUCKET_RATIO`] they reach from 1 ms to about 3 minutes.
const BUCKETS: usize = 36;
/// Upper bound of the first bucket, in seconds.
const SHORTEST_S: f64 = 0.001;
/// Ratio of the upper bounds of two neighbouring buckets.
const BUCKET_RATIO: f64 = std::f64::consts::SQRT_2;
/// Interval at which the weights of all samples are reduced, in milliseconds.
const DECAY_PERIOD_MS: u64 = 1_000;
/// Remaining fraction of the weights after one interval: half after 6.6 s.
const DECAY_FACTOR: f64 = 0.9;

/// Histogram of response times in which older samples weigh less.
#[derive(Clone, Debug)]
pub struct ResponseTimes {
    weights: [f64; BUCKETS],
    decayed_at: Option<Instant>,
}

impl Default for ResponseTimes {
    fn default() -> Self {
        Self {
            weights: [0.0; BUCKETS],
            decayed_at: None,
        }
    }
}

impl ResponseTimes {
    /// Adds a response time.
    pub fn record(&mut self, duration: Duration, now: Instant) {
        self.decay(now);
        self.weights[bucket(duration)] += 1.0;
    }

    /// Returns the sum of the weights; a new sample weighs 1.
    #[must_use]
    pub fn weight(&self) -> f64 {
        self.weights.iter().sum()
    }

    /// Returns the time within which the fraction `part` of the responses came, rounded up to the
    /// bound of a bucket; `None` without samples.
    #[must_use]
    pub fn quantile(&self, part: f64) -> Option<Duration> {
        let wanted = self.weight() * part;
        let mut sum = 0.0;
        for (position, weight) in (0_i32..).zip(&self.weights) {
            sum += weight;
            if *weight > 0.0 && sum >= wanted {
                let bound_s = SHORTEST_S * BUCKET_RATIO.powi(position);
                return Some(Duration::from_secs_f64(bound_s));
            }
        }
        None
    }

    /// Reduces the weights once for each whole interval since the last reduction.
    fn decay(&mut self, now: Instant) {
        let since = *self.decayed_at.get_or_insert(now);
        let elapsed_ms = now.saturating_duration_since(since).as_millis();
        let periods = u64::try_from(elapsed_ms).unwrap_or(u64::MAX) / DECAY_PERIOD_MS;
        if periods == 0 {
            return;
        }
        let factor = DECAY_FACTOR.powf(periods as f64);
        self.weights.iter_mut().for_each(|weight| *weight *= factor);
        self.decayed_at = Some(now);
    }
}

/// Returns the first bucket whose upper bound is not below the duration, at most the last bucket.
fn bucket(duration: Duration) -> usize {
    let steps = (duration.as_secs_f64() / SHORTEST_S).log(BUCKET_RATIO);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a cast of a float saturates, and a duration of 0 belongs to the first bucket"
    )]
    let position = steps.ceil() as usize;
    position.min(BUCKETS - 1)
}
