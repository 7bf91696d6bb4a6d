//! Demand by rank, and the cut that it leads to.

use std::time::Duration;

use model::context::CallRank;

/// Bits of a rank that a bucket does not tell apart.
const BUCKET_SHIFT: u32 = 19;
/// Distinct values of the three upper bits of the importance.
const CLASSES: usize = 8;
/// Standing levels told apart within a class.
const LEVELS: usize = 32;
/// Weight of the newest period in the demand of a bucket.
const FRESH_WEIGHT: f64 = 0.3;
/// Factors per period by which unseen demand below the cut is forgotten: while
/// the backend server has all it can do, and while it could do more.
const UNSEEN_DECAY_PRESSED: f64 = 0.995;
const UNSEEN_DECAY_SLACK: f64 = 0.85;
/// Share of offers that wait or are refused above which it has all it can do.
const PRESSED_SHARE: f64 = 0.1;
/// Demand let through, relative to capacity, so that the backend server never idles.
const EXCESS: f64 = 1.05;
/// Share of offers refused in a period above which it counts as overloaded.
const REFUSED_SHARE: f64 = 0.02;
/// Periods that a lower cut needs to show in the demand.
const LAG_PERIODS: usize = 4;

/// What happened in one control period.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeriodLoad {
    /// Calls refused, displaced or expired.
    pub(super) refused: u32,
    /// Calls that could not run at once.
    pub(super) waited: u32,
    /// Calls completed.
    pub(super) completed: u32,
    /// Length of the period.
    pub(super) elapsed: Duration,
    /// Calls per second that the backend server completes at its limit.
    pub(super) capacity_per_s: f64,
}

/// Offered calls per second by bucket of rank, and the cut in force.
///
/// Demand above the cut is measured. Demand below it does not arrive, so what
/// was last seen there is kept and slowly forgotten: that tells how far the cut
/// may fall at once without a surge, and makes it probe when nothing is known.
#[derive(Clone, Debug)]
pub(super) struct DemandMap {
    counts: [u32; CLASSES * LEVELS],
    rates: [f64; CLASSES * LEVELS],
    importance: [u8; CLASSES],
    offered: u32,
    cut: CallRank,
    recent_cuts: [CallRank; LAG_PERIODS],
    period: usize,
}

impl DemandMap {
    pub(super) fn new() -> Self {
        Self {
            counts: [0; CLASSES * LEVELS],
            rates: [0.0; CLASSES * LEVELS],
            importance: [0; CLASSES],
            offered: 0,
            cut: CallRank::MIN,
            recent_cuts: [CallRank::MIN; LAG_PERIODS],
            period: 0,
        }
    }

    pub(super) fn cut(&self) -> CallRank {
        self.cut
    }

    /// Returns the highest importance that was cut into lately.
    ///
    /// A cut that falls for a period or two must not let lower classes in
    /// while other backend servers of the service still refuse higher ones.
    pub(super) fn held_importance(&self) -> u8 {
        let recent = self.recent_cuts.iter().map(|cut| cut.importance());
        recent.max().unwrap_or(0).max(self.cut.importance())
    }

    pub(super) fn offered(&mut self, rank: CallRank) {
        let class = class(rank);
        self.importance[class] = rank.importance();
        self.counts[class * LEVELS + level(rank)] += 1;
        self.offered += 1;
    }

    /// Folds the period into the demand and moves the cut.
    pub(super) fn end_period(&mut self, load: &PeriodLoad) {
        let overloaded = f64::from(load.refused) > REFUSED_SHARE * f64::from(self.offered);
        let pressed = load.waited.saturating_add(load.refused);
        let pressed = f64::from(pressed) > PRESSED_SHARE * f64::from(self.offered);
        let unseen_decay = if pressed {
            UNSEEN_DECAY_PRESSED
        } else {
            UNSEEN_DECAY_SLACK
        };
        self.fold(load.elapsed.as_secs_f64(), unseen_decay);
        self.offered = 0;
        if load.capacity_per_s <= 0.0 {
            self.cut = CallRank::MIN;
        } else if overloaded || self.cut > CallRank::MIN {
            let allowed = load.capacity_per_s * EXCESS;
            let fitting = self.fitting_cut(allowed);
            self.cut = if overloaded {
                fitting
            } else {
                fitting.min(self.cut)
            };
        }
        self.recent_cuts[self.period % LAG_PERIODS] = self.cut;
        self.period += 1;
    }

    fn fold(&mut self, elapsed_s: f64, unseen_decay: f64) {
        let seen_above = self.recent_cuts.iter().copied().max();
        let seen_above = seen_above.unwrap_or(CallRank::MIN);
        for bucket in 0..CLASSES * LEVELS {
            let fresh = f64::from(self.counts[bucket]) / elapsed_s;
            let rate = self.rates[bucket];
            self.rates[bucket] = if self.floor(bucket) >= seen_above {
                rate + FRESH_WEIGHT * (fresh - rate)
            } else {
                fresh.max(rate * unseen_decay)
            };
        }
        self.counts = [0; CLASSES * LEVELS];
    }

    /// Returns the lowest rank above which no more than `allowed` calls per second come.
    fn fitting_cut(&self, allowed: f64) -> CallRank {
        let mut sum = 0.0;
        for bucket in (0..CLASSES * LEVELS).rev() {
            let rate = self.rates[bucket];
            if sum + rate > allowed {
                let part = (allowed - sum) / rate;
                return self.inside(bucket, part);
            }
            sum += rate;
        }
        CallRank::MIN
    }

    /// Returns the rank above which the upper `part` of a bucket lies.
    fn inside(&self, bucket: usize, part: f64) -> CallRank {
        let width = f64::from(1_u32 << BUCKET_SHIFT);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "part lies between 0 and 1"
        )]
        let offset = (width * (1.0 - part)) as u32;
        CallRank(self.floor(bucket).0.saturating_add(offset))
    }

    /// Returns the lowest rank of a bucket.
    fn floor(&self, bucket: usize) -> CallRank {
        let importance = u32::from(self.importance[bucket / LEVELS]);
        let level = u32::try_from(bucket % LEVELS).unwrap_or(0);
        CallRank((importance << 24) | (level << BUCKET_SHIFT))
    }
}

fn class(rank: CallRank) -> usize {
    usize::from(rank.importance() >> 5)
}

fn level(rank: CallRank) -> usize {
    usize::from(rank.team_priority() >> 3)
}
