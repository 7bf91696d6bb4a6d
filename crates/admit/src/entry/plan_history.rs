//! The fractions of the last plans, to tell what measured load the current plan will change.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use model::entry::RequestKind;
use model::ids::ServiceName;

use crate::entry::demand::KindDemand;

/// Time for which plans are kept, in milliseconds; longer than any delay between a plan and the
/// reports that show its effect while reports count.
const KEEP_MS: u64 = 3_000;

/// Admitted fraction of each kind in one plan.
pub(super) type PlanFractions = HashMap<RequestKind, f64>;

/// Ratio of the planned load to an earlier one, by service.
pub(super) type LoadRatios = HashMap<ServiceName, f64>;

/// The last plans with the time at which each was issued, the oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct PlanHistory {
    plans: VecDeque<(Instant, PlanFractions)>,
}

impl PlanHistory {
    /// Adds the plan issued at `now`.
    pub(super) fn push(&mut self, fractions: PlanFractions, now: Instant) {
        let keep = Duration::from_millis(KEEP_MS);
        while let Some((issued, _)) = self.plans.front()
            && now.saturating_duration_since(*issued) > keep
        {
            self.plans.pop_front();
        }
        self.plans.push_back((now, fractions));
    }

    /// Returns the fraction of a kind in the last plan; 1 without one.
    pub(super) fn latest_fraction(&self, kind: &RequestKind) -> f64 {
        let latest = self.plans.back();
        latest.map_or(1.0, |(_, fractions)| fraction_of(fractions, kind))
    }

    /// Returns the ratio of the load that the last plan causes at each service to that of the
    /// plan which was in force `delay` ago, with the same demand.
    pub(super) fn load_ratios(
        &self,
        kinds: &[KindDemand],
        delay: Duration,
        now: Instant,
    ) -> LoadRatios {
        let mut loads: HashMap<ServiceName, (f64, f64)> = HashMap::new();
        let earlier = self.fractions_at(delay, now);
        for demand in kinds {
            let latest = self.latest_fraction(&demand.kind);
            let before = earlier.map_or(1.0, |fractions| fraction_of(fractions, &demand.kind));
            for need in &demand.needs {
                let (load, load_before) = loads.entry(need.service.clone()).or_default();
                *load += need.slot_s * demand.rate * latest;
                *load_before += need.slot_s * demand.rate * before;
            }
        }
        let loads = loads.into_iter();
        let changed = loads.filter(|(_, (_, before))| *before > 0.0);
        changed
            .map(|(service, (load, before))| (service, load / before))
            .collect()
    }

    fn fractions_at(&self, delay: Duration, now: Instant) -> Option<&PlanFractions> {
        let plans = self.plans.iter().rev();
        let mut earlier =
            plans.filter(|(issued, _)| now.saturating_duration_since(*issued) >= delay);
        earlier.next().map(|(_, fractions)| fractions)
    }
}

fn fraction_of(fractions: &PlanFractions, kind: &RequestKind) -> f64 {
    fractions.get(kind).copied().unwrap_or(1.0)
}
