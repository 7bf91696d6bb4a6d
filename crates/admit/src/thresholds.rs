//! Rank thresholds learned from responses, so that a request that would be refused downstream
//! is refused before any work is done for it.

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

/// Rank thresholds carried by one response.
pub type ThresholdList = SmallVec<[ThresholdNotice; 2]>;

/// Responses over which the median threshold is taken, so that one bad backend server does not
/// set it alone.
const SAMPLES: usize = 8;
/// Time without a response after which a threshold begins to decay, in milliseconds.
const HOLD_MS: u64 = 300;
/// Time in which a threshold that is not refreshed decays to zero, in milliseconds.
const DECAY_MS: u64 = 1000;
/// Retry delay returned to callers refused by a threshold, in milliseconds.
const RETRY_AFTER_MS: u32 = 1000;
/// Maximum number of services tracked for one route.
const SERVICES_MAX: usize = 16;

/// Merges `notices` into `thresholds`, keeping the highest threshold of each service.
pub fn merge_thresholds(thresholds: &mut ThresholdList, notices: &[ThresholdNotice]) {
    for notice in notices {
        let known = thresholds
            .iter_mut()
            .find(|known| known.service == notice.service);
        match known {
            Some(known) => known.threshold = known.threshold.max(notice.threshold),
            None => thresholds.push(notice.clone()),
        }
    }
}

/// The last thresholds that responses on one route carried for one service.
#[derive(Clone, Debug)]
struct LearnedThreshold {
    service: ServiceName,
    samples: [CallRank; SAMPLES],
    next: usize,
    median: CallRank,
    updated_at: Instant,
}

impl LearnedThreshold {
    /// Starts as if every earlier response had carried this threshold, to react at once.
    fn new(service: ServiceName, threshold: CallRank, now: Instant) -> Self {
        Self {
            service,
            samples: [threshold; SAMPLES],
            next: 0,
            median: threshold,
            updated_at: now,
        }
    }

    fn learn(&mut self, threshold: CallRank, now: Instant) {
        self.samples[self.next] = threshold;
        self.next = (self.next + 1) % SAMPLES;
        let mut sorted = self.samples;
        sorted.sort_unstable();
        self.median = sorted[SAMPLES / 2];
        self.updated_at = now;
    }

    /// Returns the threshold in force now, after decay.
    fn current(&self, now: Instant) -> CallRank {
        let age = now.saturating_duration_since(self.updated_at);
        let decaying = age.saturating_sub(Duration::from_millis(HOLD_MS));
        let decaying_ms = u64::try_from(decaying.as_millis()).unwrap_or(u64::MAX);
        if decaying_ms >= DECAY_MS {
            return CallRank::MIN;
        }
        let decayed = u64::from(self.median.0) * (DECAY_MS - decaying_ms) / DECAY_MS;
        CallRank(u32::try_from(decayed).unwrap_or(u32::MAX))
    }
}

/// Rank thresholds in force downstream of each route, learned from responses on that route.
///
/// A threshold that is missing from a response counts as zero there, so it falls. One that no
/// response refreshes decays with time, so that requests probe the service again.
#[derive(Clone, Debug)]
pub struct ThresholdTable<C> {
    clock: C,
    routes: HashMap<RouteName, SmallVec<[LearnedThreshold; 4]>>,
}

impl<C: Clock> ThresholdTable<C> {
    /// Creates an empty table.
    #[must_use]
    pub fn new(clock: C) -> Self {
        Self {
            clock,
            routes: HashMap::new(),
        }
    }

    /// Learns from one response (or refusal by another node) to a call on `route`.
    ///
    /// For a service that `notices` leaves out, the response counts as having no threshold.
    pub fn learn(&mut self, route: &RouteName, notices: &[ThresholdNotice]) {
        let now = self.clock.now();
        if notices.is_empty() && !self.routes.contains_key(route) {
            return;
        }
        let learned = self.routes.entry(route.clone()).or_default();
        for notice in notices {
            let known = learned.iter().any(|known| known.service == notice.service);
            if !known && learned.len() < SERVICES_MAX {
                learned.push(LearnedThreshold::new(
                    notice.service.clone(),
                    notice.threshold,
                    now,
                ));
            }
        }
        let mut updates: SmallVec<[ThresholdNotice; 4]> = SmallVec::new();
        for known in learned.iter_mut() {
            let notice = notices
                .iter()
                .find(|notice| notice.service == known.service);
            let threshold = notice.map_or(CallRank::MIN, |notice| notice.threshold);
            known.learn(threshold, now);
            updates.push(ThresholdNotice {
                service: known.service.clone(),
                threshold,
            });
        }
        learned.retain(|known| known.samples.iter().any(|rank| *rank > CallRank::MIN));
        if learned.is_empty() {
            self.routes.remove(route);
        }
        self.update_other_routes(route, &updates, now);
    }

    /// Applies what a response on `route` carried to other routes through the same services.
    ///
    /// A route whose calls are all refused gets no responses of its own, and its
    /// threshold would decay while more important requests still fill the service.
    fn update_other_routes(
        &mut self,
        route: &RouteName,
        updates: &[ThresholdNotice],
        now: Instant,
    ) {
        let others = self.routes.iter_mut().filter(|(other, _)| *other != route);
        for known in others.flat_map(|(_, learned)| learned) {
            let notice = updates
                .iter()
                .find(|notice| notice.service == known.service);
            if let Some(notice) = notice {
                known.learn(notice.threshold, now);
            }
        }
    }

    /// Checks the rank of a call on `route` against the thresholds, before it is sent.
    ///
    /// # Errors
    ///
    /// Fails with [`FailureCause::Overloaded`], not run, when `rank` is below
    /// the highest threshold learned for the route.
    pub fn check(&self, route: &RouteName, rank: CallRank) -> Result<(), CallFailure> {
        if rank >= self.threshold(route) {
            return Ok(());
        }
        let failure = CallFailure::not_run(FailureCause::Overloaded);
        Err(failure.retry_after_ms(RETRY_AFTER_MS))
    }

    /// Returns the highest threshold in force downstream of `route`.
    #[must_use]
    pub fn threshold(&self, route: &RouteName) -> CallRank {
        let Some(learned) = self.routes.get(route) else {
            return CallRank::MIN;
        };
        let now = self.clock.now();
        let thresholds = learned.iter().map(|known| known.current(now));
        thresholds.max().unwrap_or(CallRank::MIN)
    }

    /// Returns the thresholds in force downstream of `route`, to pass on upstream with a refusal.
    #[must_use]
    pub fn notices(&self, route: &RouteName) -> ThresholdList {
        let Some(learned) = self.routes.get(route) else {
            return ThresholdList::new();
        };
        let now = self.clock.now();
        let notices = learned.iter().map(|known| ThresholdNotice {
            service: known.service.clone(),
            threshold: known.current(now),
        });
        notices
            .filter(|notice| notice.threshold > CallRank::MIN)
            .collect()
    }
}
