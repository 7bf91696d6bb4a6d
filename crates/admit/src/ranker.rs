//! Ranks requests at their entry node: by class, then by max-min fairness among teams, then by
//! hash.

use std::collections::HashMap;
use std::time::Duration;

use clock::Clock;
use model::context::CallRank;
use model::declaration::RefusalOrder;
use model::declaration::TeamSpec;
use model::ids::RequestId;
use model::ids::TeamName;

use crate::rate::DecayedRate;
use crate::rate::TimeConstants;

/// Importance of the class that is refused first.
const IMPORTANCE_FIRST: u8 = 64;
/// Importance of the class that is refused between the others.
const IMPORTANCE_MIDDLE: u8 = 128;
/// Importance of the class that is refused last.
const IMPORTANCE_LAST: u8 = 255;

/// Time constants over which the rate of a team is averaged.
const RATE_TIME_CONSTANTS: TimeConstants = TimeConstants {
    short: Duration::from_secs(1),
    long: Duration::from_secs(8),
};
/// Sampled rate, in calls per second, at and below which the fairness level is highest.
const SAMPLED_RATE_MIN_PER_S: f64 = 0.01;
/// Fairness levels for each doubling of the sampled rate; 255 levels span 10 mHz to 100 kHz.
const LEVELS_PER_OCTAVE: f64 = 11.0;
/// Number of teams, declared or not, from which on further undeclared teams share the record of
/// requests without a team.
const TEAMS_MAX: usize = 256;

/// Computes the [`CallRank`] of a request; all nodes use the same rules.
#[derive(Clone, Copy, Debug, Default)]
pub struct RankPolicy;

impl RankPolicy {
    /// Returns the importance, the most significant part of the rank.
    #[must_use]
    pub const fn importance(refused: RefusalOrder) -> u8 {
        match refused {
            RefusalOrder::First => IMPORTANCE_FIRST,
            RefusalOrder::Middle => IMPORTANCE_MIDDLE,
            RefusalOrder::Last => IMPORTANCE_LAST,
        }
    }

    /// Ranks a request of a team that sends `demand` calls per second in this class.
    ///
    /// A rate is sampled uniformly between 0 and the demand, with `random` as the source of
    /// randomness. A rank threshold that corresponds to a rate R then admits min(demand, R) of
    /// every team: that is the max-min fair allocation, without state at the receivers.
    #[must_use]
    pub fn rank(refused: RefusalOrder, demand: f64, random: u128) -> CallRank {
        let mixed = mix(random);
        let uniform = (mixed >> 32) as f64 / f64::from(u32::MAX);
        let fairness_level = fairness_level(demand * uniform);
        let hash = (mixed & 0xffff) as u16;
        CallRank::new(Self::importance(refused), fairness_level, hash)
    }
}

/// Returns 255 for the lowest sampled rates and less, on a logarithmic scale, for higher ones.
fn fairness_level(sampled_rate: f64) -> u8 {
    let octaves = (sampled_rate / SAMPLED_RATE_MIN_PER_S).max(1.0).log2();
    let levels = (octaves * LEVELS_PER_OCTAVE).min(255.0);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to 0..=255"
    )]
    let levels = levels as u8;
    255 - levels
}

/// Spreads the bits of a number (the finaliser of splitmix64).
fn mix(number: u128) -> u64 {
    #[expect(clippy::cast_possible_truncation, reason = "both halves are folded in")]
    let folded = (number as u64) ^ ((number >> 64) as u64).rotate_left(29);
    let mut mixed = folded.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Declared, reported and observed rates of one team.
#[derive(Clone, Copy, Debug)]
struct TeamRates {
    declared_per_s: Option<f64>,
    /// Rate over all entry nodes, if known.
    total_per_s: Option<f64>,
    /// Rates observed at this node, by refusal order.
    observed: [DecayedRate; 3],
}

impl TeamRates {
    /// Estimates the demand of the team over all entry nodes.
    ///
    /// The rate observed here times the number of entry nodes assumes an even
    /// spread. That overestimates a team that uses only a few entry nodes, so the
    /// declared rate caps it, unless this node alone observes more.
    fn demand(&self, local_per_s: f64, entry_nodes: f64) -> f64 {
        let estimate = local_per_s * entry_nodes;
        let capped = match (self.total_per_s, self.declared_per_s) {
            (Some(total), _) => estimate.min(total),
            (None, Some(declared)) => estimate.min(declared),
            (None, None) => estimate,
        };
        capped.max(local_per_s)
    }
}

/// Ranks requests at an entry node, from the rates that it observes and the declared rates.
#[derive(Clone, Debug)]
pub struct RequestRanker<C> {
    clock: C,
    entry_nodes: f64,
    ranked: u64,
    teams: HashMap<TeamName, TeamRates>,
    /// Requests without a team, and of undeclared teams beyond the maximum.
    no_team: TeamRates,
}

impl<C: Clock> RequestRanker<C> {
    /// Creates a ranker without declared teams, for a single entry node.
    #[must_use]
    pub fn new(clock: C) -> Self {
        let no_team = Self::new_rates(&clock, None);
        Self {
            clock,
            entry_nodes: 1.0,
            ranked: 0,
            teams: HashMap::new(),
            no_team,
        }
    }

    /// Replaces the declared teams; the rates observed for teams that stay are kept.
    pub fn update(&mut self, teams: &[TeamSpec]) {
        let mut kept = HashMap::with_capacity(teams.len());
        for team in teams {
            let declared_per_s = team.rate_milli as f64 / 1000.0;
            let known = self.teams.get(&team.name).copied();
            let mut rates = known.unwrap_or_else(|| Self::new_rates(&self.clock, None));
            rates.declared_per_s = Some(declared_per_s);
            kept.insert(team.name.clone(), rates);
        }
        self.teams = kept;
    }

    /// Sets the number of entry nodes over which callers spread their requests.
    pub fn set_entry_nodes(&mut self, count: u32) {
        self.entry_nodes = f64::from(count.max(1));
    }

    /// Sets the rate of a team over all entry nodes, in calls per second, if its owner reports it.
    pub fn set_total_rate(&mut self, team: &TeamName, total_per_s: Option<f64>) {
        if let Some(rates) = self.teams.get_mut(team) {
            rates.total_per_s = total_per_s;
        }
    }

    /// Counts and ranks a request that arrives now; `team` is none on routes open to all.
    ///
    /// Each retry of a request gets a new random rank. If a retry kept the rank that was
    /// refused before, teams would lose by each retry, since it adds to their demand.
    pub fn rank(
        &mut self,
        team: Option<&TeamName>,
        refused: RefusalOrder,
        request: RequestId,
    ) -> CallRank {
        let now = self.clock.now();
        let entry_nodes = self.entry_nodes;
        let rates = self.entry(team);
        let local_per_s = rates.observed[refused as usize].record(now, RATE_TIME_CONSTANTS);
        let demand = rates.demand(local_per_s, entry_nodes);
        self.ranked += 1;
        let random = request ^ u128::from(self.ranked).rotate_left(40);
        RankPolicy::rank(refused, demand, random)
    }

    /// Returns the rates of a team, added if need be.
    fn entry(&mut self, team: Option<&TeamName>) -> &mut TeamRates {
        let Some(team) = team else {
            return &mut self.no_team;
        };
        if !self.teams.contains_key(team) {
            if self.teams.len() >= TEAMS_MAX {
                return &mut self.no_team;
            }
            let rates = Self::new_rates(&self.clock, None);
            self.teams.insert(team.clone(), rates);
        }
        self.teams.get_mut(team).expect("inserted above")
    }

    fn new_rates(clock: &C, declared_per_s: Option<f64>) -> TeamRates {
        TeamRates {
            declared_per_s,
            total_per_s: None,
            observed: [DecayedRate::new(clock.now()); 3],
        }
    }
}
