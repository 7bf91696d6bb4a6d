//! Rank of a request at its entry node: class, max-min fair standing of the team, hash.

use std::collections::HashMap;
use std::time::Duration;

use clock::Clock;
use model::context::CallRank;
use model::declaration::RefusalOrder;
use model::declaration::TeamSpec;
use model::ids::RequestId;
use model::ids::TeamName;

use crate::rate::DecayedRate;
use crate::rate::RateMemory;

/// Importance of the class that is refused first.
const IMPORTANCE_FIRST: u8 = 64;
/// Importance of the class that is refused between the others.
const IMPORTANCE_MIDDLE: u8 = 128;
/// Importance of the class that is refused last.
const IMPORTANCE_LAST: u8 = 255;

/// Times over which the rate of a team is averaged.
const RATE_MEMORY: RateMemory = RateMemory {
    short: Duration::from_secs(1),
    long: Duration::from_secs(8),
};
/// Layer, in calls per second, at and below which the standing is highest.
const LAYER_FLOOR_PER_S: f64 = 0.01;
/// Standing levels for each doubling of the layer; 255 levels span 10 mHz to 100 kHz.
const LEVELS_PER_OCTAVE: f64 = 11.0;
/// Teams observed without being declared, at most.
const UNDECLARED_TEAMS_MAX: usize = 256;

/// Maps what is known of a request to its [`CallRank`]; the same on every node.
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
    /// The request gets a layer between 0 and the demand, drawn uniformly by `draw`. A cut at layer L then admits min(demand, L) of every team:
    /// that is the max-min fair allocation, without state at the receivers.
    #[must_use]
    pub fn rank(refused: RefusalOrder, demand: f64, draw: u128) -> CallRank {
        let mixed = mix(draw);
        let part = (mixed >> 32) as f64 / f64::from(u32::MAX);
        let standing = standing(demand * part);
        let hash = (mixed & 0xffff) as u16;
        CallRank::new(Self::importance(refused), standing, hash)
    }
}

/// Returns 255 for the lowest layer and less, on a logarithmic scale, for higher ones.
fn standing(layer: f64) -> u8 {
    let octaves = (layer / LAYER_FLOOR_PER_S).max(1.0).log2();
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

/// What this entry node observed of one team.
#[derive(Clone, Copy, Debug)]
struct TeamUse {
    declared_per_s: Option<f64>,
    total_per_s: Option<f64>,
    rates: [DecayedRate; 3],
}

impl TeamUse {
    /// Estimates the demand of the team over all entry nodes.
    ///
    /// The rate seen here times the number of entry nodes assumes an even
    /// spread. A team that enters at few nodes would look too large by that,
    /// so the declared rate caps it, unless this node alone sees more.
    fn demand(&self, local_per_s: f64, entry_nodes: f64) -> f64 {
        let spread = local_per_s * entry_nodes;
        let capped = match (self.total_per_s, self.declared_per_s) {
            (Some(total), _) => spread.min(total),
            (None, Some(declared)) => spread.min(declared),
            (None, None) => spread,
        };
        capped.max(local_per_s)
    }
}

/// Ranks requests at an entry node from its own observation and the declared rates.
#[derive(Clone, Debug)]
pub struct StandingBook<C> {
    clock: C,
    entry_nodes: f64,
    ranked: u64,
    teams: HashMap<TeamName, TeamUse>,
    open: TeamUse,
}

impl<C: Clock> StandingBook<C> {
    /// Creates a book without declared teams, for a single entry node.
    #[must_use]
    pub fn new(clock: C) -> Self {
        let open = Self::unused(&clock, None);
        Self {
            clock,
            entry_nodes: 1.0,
            ranked: 0,
            teams: HashMap::new(),
            open,
        }
    }

    /// Takes over the declared teams; what was observed of them is kept.
    pub fn update(&mut self, teams: &[TeamSpec]) {
        let mut kept = HashMap::with_capacity(teams.len());
        for team in teams {
            let declared_per_s = team.rate_milli as f64 / 1000.0;
            let known = self.teams.get(&team.name).copied();
            let mut use_ = known.unwrap_or_else(|| Self::unused(&self.clock, None));
            use_.declared_per_s = Some(declared_per_s);
            kept.insert(team.name.clone(), use_);
        }
        self.teams = kept;
    }

    /// Sets the number of entry nodes that callers spread over.
    pub fn set_entry_nodes(&mut self, count: u32) {
        self.entry_nodes = f64::from(count.max(1));
    }

    /// Sets what a team sends over all entry nodes, in calls per second, when its owner tells.
    pub fn set_total(&mut self, team: &TeamName, total_per_s: Option<f64>) {
        if let Some(use_) = self.teams.get_mut(team) {
            use_.total_per_s = total_per_s;
        }
    }

    /// Ranks a request that enters now; `team` is none on routes open to all.
    ///
    /// Each sending of a request is drawn anew. If a re-send drew what was
    /// refused before, teams would lose by each re-send that adds to their demand.
    pub fn rank(
        &mut self,
        team: Option<&TeamName>,
        refused: RefusalOrder,
        request: RequestId,
    ) -> CallRank {
        let now = self.clock.now();
        let entry_nodes = self.entry_nodes;
        let use_ = self.entry(team);
        let local_per_s = use_.rates[refused as usize].record(now, RATE_MEMORY);
        let demand = use_.demand(local_per_s, entry_nodes);
        self.ranked += 1;
        let draw = request ^ u128::from(self.ranked).rotate_left(40);
        RankPolicy::rank(refused, demand, draw)
    }

    fn entry(&mut self, team: Option<&TeamName>) -> &mut TeamUse {
        let Some(team) = team else {
            return &mut self.open;
        };
        if !self.teams.contains_key(team) {
            if self.teams.len() >= UNDECLARED_TEAMS_MAX {
                return &mut self.open;
            }
            let unused = Self::unused(&self.clock, None);
            self.teams.insert(team.clone(), unused);
        }
        self.teams.get_mut(team).expect("inserted above")
    }

    fn unused(clock: &C, declared_per_s: Option<f64>) -> TeamUse {
        TeamUse {
            declared_per_s,
            total_per_s: None,
            rates: [DecayedRate::new(clock.now()); 3],
        }
    }
}
