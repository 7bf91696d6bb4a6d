//! Cuts learned from answers, so that a doomed request is refused before any work is done.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use model::context::CallRank;
use model::context::ThresholdNotice;
use model::ids::RouteName;
use model::ids::ServiceName;
use model::verdict::CallFailure;
use model::verdict::FailureCause;
use smallvec::SmallVec;

/// Cuts carried by one answer.
pub type CutList = SmallVec<[ThresholdNotice; 2]>;

/// Answers of which the median cut is taken, so that one bad member does not decide.
const SAMPLES: usize = 8;
/// Time without an answer after which a cut begins to fall, in milliseconds.
const HOLD_MS: u64 = 300;
/// Time in which a cut that nobody refreshes falls to nothing, in milliseconds.
const FADE_MS: u64 = 1000;
/// Delay named to callers refused by a cut, in milliseconds.
const RETRY_AFTER_MS: u32 = 1000;
/// Services remembered below one route.
const SERVICES_MAX: usize = 16;

/// Adds `notices` to `cuts`, keeping the highest for each service.
pub fn merge_cuts(cuts: &mut CutList, notices: &[ThresholdNotice]) {
    for notice in notices {
        let known = cuts.iter_mut().find(|cut| cut.service == notice.service);
        match known {
            Some(known) => known.threshold = known.threshold.max(notice.threshold),
            None => cuts.push(notice.clone()),
        }
    }
}

/// The last cuts that answers of one route carried for one service.
#[derive(Clone, Debug)]
struct LearnedCut {
    service: ServiceName,
    samples: [CallRank; SAMPLES],
    next: usize,
    median: CallRank,
    learned: Instant,
}

impl LearnedCut {
    /// Starts from one cut as if every answer had carried it, to react at once.
    fn new(service: ServiceName, cut: CallRank, now: Instant) -> Self {
        Self {
            service,
            samples: [cut; SAMPLES],
            next: 0,
            median: cut,
            learned: now,
        }
    }

    fn learn(&mut self, cut: CallRank, now: Instant) {
        self.samples[self.next] = cut;
        self.next = (self.next + 1) % SAMPLES;
        let mut sorted = self.samples;
        sorted.sort_unstable();
        self.median = sorted[SAMPLES / 2];
        self.learned = now;
    }

    /// Returns the cut in force now.
    fn current(&self, now: Instant) -> CallRank {
        let age = now.saturating_duration_since(self.learned);
        let idle = age.saturating_sub(Duration::from_millis(HOLD_MS));
        let idle_ms = u64::try_from(idle.as_millis()).unwrap_or(u64::MAX);
        if idle_ms >= FADE_MS {
            return CallRank::MIN;
        }
        let left = u64::from(self.median.0) * (FADE_MS - idle_ms) / FADE_MS;
        CallRank(u32::try_from(left).unwrap_or(u32::MAX))
    }
}

/// Cuts in force below each route, learned from answers on that route.
///
/// A cut that answers stop mentioning falls by their absence; one that no
/// answer refreshes fades with time, so that requests probe again.
#[derive(Clone, Debug)]
pub struct CutBook<C> {
    clock: C,
    routes: HashMap<RouteName, SmallVec<[LearnedCut; 4]>>,
}

impl<C: Clock> CutBook<C> {
    /// Creates a book without cuts.
    #[must_use]
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            routes: HashMap::new(),
        }
    }

    /// Learns from one answer (or refusal by another node) of a call on `route`.
    ///
    /// A service that `cuts` does not mention counts as not cut for this answer.
    pub fn learn(&mut self, route: &RouteName, cuts: &[ThresholdNotice]) {
        let now = self.clock.now();
        if cuts.is_empty() && !self.routes.contains_key(route) {
            return;
        }
        let learned = self.routes.entry(route.clone()).or_default();
        for notice in cuts {
            let known = learned.iter().any(|cut| cut.service == notice.service);
            if !known && learned.len() < SERVICES_MAX {
                learned.push(LearnedCut::new(
                    notice.service.clone(),
                    notice.threshold,
                    now,
                ));
            }
        }
        let mut answered: SmallVec<[ThresholdNotice; 4]> = SmallVec::new();
        for known in learned.iter_mut() {
            let notice = cuts.iter().find(|cut| cut.service == known.service);
            let cut = notice.map_or(CallRank::MIN, |notice| notice.threshold);
            known.learn(cut, now);
            answered.push(ThresholdNotice {
                service: known.service.clone(),
                threshold: cut,
            });
        }
        learned.retain(|cut| cut.samples.iter().any(|rank| *rank > CallRank::MIN));
        if learned.is_empty() {
            self.routes.remove(route);
        }
        self.share(route, &answered, now);
    }

    /// Tells other routes through the same services what an answer on `route` told.
    ///
    /// A route whose calls are all refused gets no answers of its own, and its
    /// cut would fade while more important requests still fill the service.
    fn share(&mut self, route: &RouteName, answered: &[ThresholdNotice], now: Instant) {
        let others = self.routes.iter_mut().filter(|(other, _)| *other != route);
        for known in others.flat_map(|(_, learned)| learned) {
            let notice = answered.iter().find(|cut| cut.service == known.service);
            if let Some(notice) = notice {
                known.learn(notice.threshold, now);
            }
        }
    }

    /// Decides whether a call on `route` is worth sending.
    ///
    /// # Errors
    ///
    /// Fails with [`FailureCause::Overloaded`], not run, when `rank` is below
    /// the highest cut learned for the route.
    pub fn check(&self, route: &RouteName, rank: CallRank) -> Result<(), CallFailure> {
        if rank >= self.cut(route) {
            return Ok(());
        }
        let failure = CallFailure::not_run(FailureCause::Overloaded);
        Err(failure.retry_after_ms(RETRY_AFTER_MS))
    }

    /// Returns the highest cut in force below `route`.
    #[must_use]
    pub fn cut(&self, route: &RouteName) -> CallRank {
        let Some(learned) = self.routes.get(route) else {
            return CallRank::MIN;
        };
        let now = self.clock.now();
        let cuts = learned.iter().map(|cut| cut.current(now));
        cuts.max().unwrap_or(CallRank::MIN)
    }

    /// Returns the cuts in force below `route`, to pass on upwards with a refusal.
    #[must_use]
    pub fn notices(&self, route: &RouteName) -> CutList {
        let Some(learned) = self.routes.get(route) else {
            return CutList::new();
        };
        let now = self.clock.now();
        let notices = learned.iter().map(|cut| ThresholdNotice {
            service: cut.service.clone(),
            threshold: cut.current(now),
        });
        notices
            .filter(|notice| notice.threshold > CallRank::MIN)
            .collect()
    }
}
