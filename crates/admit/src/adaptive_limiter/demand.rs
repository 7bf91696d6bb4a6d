//! Demand by rank, and the rank threshold that follows from it.

use std::time::Duration;

use model::context::CallRank;

/// Low bits of a rank that are ignored within a bucket.
const BUCKET_SHIFT: u32 = 19;
/// Distinct values of the three upper bits of the importance.
const CLASSES: usize = 8;
/// Buckets of fairness levels within a class.
const LEVELS: usize = 32;
/// Weight of the newest period in the moving average of a bucket's demand.
const NEWEST_WEIGHT: f64 = 0.3;
/// Factors per period by which unobserved demand below the threshold decays: while the
/// backend server is saturated, and while it has free capacity.
const DECAY_SATURATED: f64 = 0.995;
const DECAY_UNSATURATED: f64 = 0.85;
/// Share of offered calls that are queued or refused above which the backend server counts as
/// saturated.
const SATURATED_SHARE: f64 = 0.1;
/// Admitted demand relative to capacity; above 1, so that the backend server never idles.
const DEMAND_TARGET: f64 = 1.05;
/// Share of offered calls refused in a period above which the backend server counts as
/// overloaded.
const REFUSED_SHARE: f64 = 0.02;
/// Periods until the effect of a lower threshold shows in the demand.
const THRESHOLD_LAG_PERIODS: usize = 4;

/// Counts of one control period.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeriodLoad {
    /// Calls refused, evicted from the queue or expired in it.
    pub(super) refused: u32,
    /// Calls queued.
    pub(super) queued: u32,
    /// Calls completed.
    pub(super) completed: u32,
    /// Length of the period.
    pub(super) elapsed: Duration,
    /// Completions per second at the limit.
    pub(super) capacity_per_s: f64,
}

/// Histogram of offered calls per second by rank, and the rank threshold in force.
///
/// Demand above the threshold is measured. Demand below it does not arrive, so the last
/// observed rates are kept there and decay slowly: they show how far the threshold may fall
/// at once without a surge, and their decay makes it fall as a probe when nothing is known.
#[derive(Clone, Debug)]
pub(super) struct DemandHistogram {
    /// Calls offered in this period, by bucket.
    counts: [u32; CLASSES * LEVELS],
    /// Calls per second, by bucket.
    rates: [f64; CLASSES * LEVELS],
    /// Last importance seen, by class.
    importance: [u8; CLASSES],
    /// Calls offered in this period.
    offered: u32,
    threshold: CallRank,
    recent_thresholds: [CallRank; THRESHOLD_LAG_PERIODS],
    period: usize,
}

impl DemandHistogram {
    pub(super) fn new() -> Self {
        Self {
            counts: [0; CLASSES * LEVELS],
            rates: [0.0; CLASSES * LEVELS],
            importance: [0; CLASSES],
            offered: 0,
            threshold: CallRank::MIN,
            recent_thresholds: [CallRank::MIN; THRESHOLD_LAG_PERIODS],
            period: 0,
        }
    }

    pub(super) fn threshold(&self) -> CallRank {
        self.threshold
    }

    /// Returns the lowest importance to admit: the highest that a recent threshold fell into.
    ///
    /// A threshold that falls for a period or two must not admit less important classes
    /// while other backend servers of the service still refuse more important ones.
    pub(super) fn importance_floor(&self) -> u8 {
        let recent = self.recent_thresholds.iter().map(|rank| rank.importance());
        recent.max().unwrap_or(0).max(self.threshold.importance())
    }

    pub(super) fn offered(&mut self, rank: CallRank) {
        let class = class_index(rank);
        self.importance[class] = rank.importance();
        self.counts[class * LEVELS + level_index(rank)] += 1;
        self.offered += 1;
    }

    /// Adds the period to the demand and updates the threshold.
    pub(super) fn end_period(&mut self, load: &PeriodLoad) {
        let overloaded = f64::from(load.refused) > REFUSED_SHARE * f64::from(self.offered);
        let saturated = load.queued.saturating_add(load.refused);
        let saturated = f64::from(saturated) > SATURATED_SHARE * f64::from(self.offered);
        let unobserved_decay = if saturated {
            DECAY_SATURATED
        } else {
            DECAY_UNSATURATED
        };
        self.update_rates(load.elapsed.as_secs_f64(), unobserved_decay);
        self.offered = 0;
        if load.capacity_per_s <= 0.0 {
            self.threshold = CallRank::MIN;
        } else if overloaded || self.threshold > CallRank::MIN {
            let allowed = load.capacity_per_s * DEMAND_TARGET;
            let fitting = self.fitting_threshold(allowed);
            self.threshold = if overloaded {
                fitting
            } else {
                fitting.min(self.threshold)
            };
        }
        self.recent_thresholds[self.period % THRESHOLD_LAG_PERIODS] = self.threshold;
        self.period += 1;
    }

    /// Updates the rates from the counts, and resets the counts.
    ///
    /// Demand is fully observed only from the highest recent threshold on.
    fn update_rates(&mut self, elapsed_s: f64, unobserved_decay: f64) {
        let observed_from = self.recent_thresholds.iter().copied().max();
        let observed_from = observed_from.unwrap_or(CallRank::MIN);
        for bucket in 0..CLASSES * LEVELS {
            let newest = f64::from(self.counts[bucket]) / elapsed_s;
            let rate = self.rates[bucket];
            self.rates[bucket] = if self.lowest_rank(bucket) >= observed_from {
                rate + NEWEST_WEIGHT * (newest - rate)
            } else {
                newest.max(rate * unobserved_decay)
            };
        }
        self.counts = [0; CLASSES * LEVELS];
    }

    /// Returns the lowest rank from which on at most `allowed` calls per second are offered.
    fn fitting_threshold(&self, allowed: f64) -> CallRank {
        let mut sum = 0.0;
        for bucket in (0..CLASSES * LEVELS).rev() {
            let rate = self.rates[bucket];
            if sum + rate > allowed {
                let fraction = (allowed - sum) / rate;
                return self.rank_within(bucket, fraction);
            }
            sum += rate;
        }
        CallRank::MIN
    }

    /// Returns the rank above which the upper `fraction` of a bucket lies.
    fn rank_within(&self, bucket: usize, fraction: f64) -> CallRank {
        let width = f64::from(1_u32 << BUCKET_SHIFT);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a fraction lies between 0 and 1"
        )]
        let offset = (width * (1.0 - fraction)) as u32;
        CallRank(self.lowest_rank(bucket).0.saturating_add(offset))
    }

    /// Returns the lowest rank of a bucket.
    fn lowest_rank(&self, bucket: usize) -> CallRank {
        let importance = u32::from(self.importance[bucket / LEVELS]);
        let level = u32::try_from(bucket % LEVELS).unwrap_or(0);
        CallRank((importance << 24) | (level << BUCKET_SHIFT))
    }
}

fn class_index(rank: CallRank) -> usize {
    usize::from(rank.importance() >> 5)
}

fn level_index(rank: CallRank) -> usize {
    usize::from(rank.team_priority() >> 3)
}
