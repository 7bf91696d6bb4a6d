//! The plan as a node applies it: draws the data centre of each call.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use model::ids::DataCentreName;
use model::ids::ServiceName;
use model::traffic::TrafficShare;

/// Time for which a plan is applied in full after it arrived, in milliseconds.
const PLAN_VALID_MS: u64 = 2_500;
/// Time over which a plan is phased out after that, in seconds.
const FADE_S: f64 = 5.0;
/// Thousandths of a whole.
const MILLI: f64 = 1000.0;

/// Shares of the calls of this node's data centre that leave it, as control last sent them.
#[derive(Clone, Debug)]
pub struct TrafficPlan {
    shares: HashMap<ServiceName, Vec<TrafficShare>>,
    received_at: Instant,
}

impl TrafficPlan {
    /// Creates the plan that arrived at `now`.
    #[must_use]
    pub fn new(shares: Vec<TrafficShare>, now: Instant) -> Self {
        let mut by_service: HashMap<ServiceName, Vec<TrafficShare>> = HashMap::new();
        for share in shares {
            let known = by_service.entry(share.service.clone()).or_default();
            known.push(share);
        }
        Self {
            shares: by_service,
            received_at: now,
        }
    }

    /// Returns the shares that arrived.
    pub fn shares(&self) -> impl Iterator<Item = &TrafficShare> {
        self.shares.values().flatten()
    }

    /// Returns the factor on the shares: 1 while the plan is valid, 0 once it is phased out.
    #[must_use]
    pub fn weight(&self, now: Instant) -> f64 {
        let valid_until = self.received_at + Duration::from_millis(PLAN_VALID_MS);
        let expired_s = now.saturating_duration_since(valid_until).as_secs_f64();
        (1.0 - expired_s / FADE_S).max(0.0)
    }

    /// Draws the data centre for a call that leaves; `None` for one that stays.
    ///
    /// `random` is evenly distributed from 0 to 1.
    #[must_use]
    pub fn draw(&self, service: &str, random: f64, now: Instant) -> Option<&DataCentreName> {
        let weight = self.weight(now) / MILLI;
        let mut left = random;
        for share in self.shares.get(service)? {
            left -= f64::from(share.share_milli) * weight;
            if left < 0.0 {
                return Some(&share.destination);
            }
        }
        None
    }
}
