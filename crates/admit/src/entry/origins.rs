//! Where requests come from, and their recent and usual rates.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use model::entry::RequestKind;
use model::ids::DataCentreName;
use model::ids::TeamName;

/// Time constant of the recent rates, in seconds.
const RECENT_S: f64 = 2.0;
/// Shortest time that the first reports cover, in seconds.
const WINDOW_S: f64 = 0.3;
/// Time constant of the usual rates, in seconds.
const USUAL_S: f64 = 30.0;
/// Excess over the usual rate, relative to it, that is not a burst.
const BURST_RATIO: f64 = 0.1;
/// Excess over the usual rate, relative to it, that counts when the usual rate is updated.
///
/// The usual rate thus rises by less than 1% in a second, so that a burst of 8 s hardly changes it.
const RISE_RATIO: f64 = 0.25;
/// Number of standard deviations by which a count differs from the expected one by chance.
const CHANCE_DEVIATIONS: f64 = 3.0;
/// Rate below which an origin is forgotten, in requests per second.
const FORGET_RATE: f64 = 0.01;

/// A team whose callers send requests of a kind to the nodes of a data centre.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct RequestOrigin {
    pub(super) kind: RequestKind,
    pub(super) data_centre: DataCentreName,
    pub(super) team: TeamName,
}

/// Recent and usual requests per second of one or several origins.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OriginRate {
    pub(super) recent: f64,
    pub(super) usual: f64,
}

impl OriginRate {
    pub(super) fn sum(rates: impl Iterator<Item = Self>) -> Self {
        rates.fold(Self::default(), |sum, rate| Self {
            recent: sum.recent + rate.recent,
            usual: sum.usual + rate.usual,
        })
    }

    /// Returns the rate to plan for: the usual one unless the recent one differs by more than
    /// chance, since a team may send less than one request in the time of a recent rate.
    pub(super) fn expected(self) -> f64 {
        if (self.recent - self.usual).abs() <= self.tolerance(BURST_RATIO) {
            return self.usual;
        }
        self.recent
    }

    /// Returns the fraction of the requests that is not a burst.
    pub(super) fn regular_fraction(self) -> f64 {
        let regular = self.usual + self.tolerance(BURST_RATIO);
        (regular / self.recent.max(f64::MIN_POSITIVE)).min(1.0)
    }

    fn tolerance(self, ratio: f64) -> f64 {
        let by_chance = CHANCE_DEVIATIONS * (self.usual * RECENT_S + 1.0).sqrt() / RECENT_S;
        by_chance.max(ratio * self.usual)
    }
}

/// Counts of one origin.
#[derive(Clone, Copy, Debug)]
struct OriginState {
    /// Requests, decayed.
    count: f64,
    counted_at: Instant,
    usual: f64,
    /// Time since the first request, up to the time constant of the usual rate.
    age: Duration,
}

impl OriginState {
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.counted_at);
        self.count *= (-elapsed.as_secs_f64() / RECENT_S).exp();
        self.counted_at = now;
    }

    fn update_usual(&mut self, recent: f64, elapsed: Duration) {
        let settled = Duration::from_secs_f64(USUAL_S);
        let is_settled = self.age >= settled;
        self.age = (self.age + elapsed).min(settled);
        if self.age.is_zero() {
            self.usual = recent;
            return;
        }
        // Until it is settled, the usual rate is the mean since the first request.
        let usual = self.usual;
        let rate = OriginRate { recent, usual };
        let limit = usual + rate.tolerance(RISE_RATIO);
        let counted = if is_settled {
            recent.min(limit)
        } else {
            recent
        };
        self.usual += elapsed.div_duration_f64(self.age) * (counted - usual);
    }
}

/// Rates of all origins.
///
/// Load pattern: one team, data centre or kind sends several times its usual rate for some
/// seconds; there are many teams, most of which send less than one request per second. A new
/// leader takes the rates that it meets as usual, and so does any leader with a new origin.
#[derive(Clone, Debug, Default)]
pub(super) struct OriginRates {
    origins: BTreeMap<RequestOrigin, OriginState>,
    since: Option<Instant>,
    updated_at: Option<Instant>,
}

impl OriginRates {
    /// Counts requests of an origin.
    pub(super) fn add(&mut self, origin: RequestOrigin, count: u32, now: Instant) {
        self.since.get_or_insert(now);
        let state = self.origins.entry(origin).or_insert(OriginState {
            count: 0.0,
            counted_at: now,
            usual: 0.0,
            age: Duration::ZERO,
        });
        state.decay(now);
        state.count += f64::from(count);
    }

    /// Updates the usual rates for the time since the last update.
    pub(super) fn update(&mut self, now: Instant) {
        let updated_at = self.updated_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(updated_at);
        let counted_s = self.counted_s(now);
        self.origins.retain(|_, state| {
            state.decay(now);
            state.update_usual(state.count / counted_s, elapsed);
            state.usual.max(state.count) > FORGET_RATE
        });
    }

    /// Returns the rate of each origin.
    pub(super) fn rates(&self) -> impl Iterator<Item = (&RequestOrigin, OriginRate)> {
        let counted_s = self.updated_at.map_or(RECENT_S, |at| self.counted_s(at));
        let origins = self.origins.iter();
        origins.map(move |(origin, state)| {
            let rate = OriginRate {
                recent: state.count / counted_s,
                usual: state.usual,
            };
            (origin, rate)
        })
    }

    /// Returns the time that the decayed counts cover.
    fn counted_s(&self, now: Instant) -> f64 {
        let since = self.since.unwrap_or(now);
        let age_s = now.saturating_duration_since(since).as_secs_f64();
        RECENT_S * (1.0 - (-age_s.max(WINDOW_S) / RECENT_S).exp())
    }
}
