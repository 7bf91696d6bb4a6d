//! Disturbance of each experiment: its kind, start and end.

use std::time::Duration;

use limit::TeamLimit;

use crate::experiment::graph::CallGraph;
use crate::experiment::graph::TeamIndex;

/// Thousandths per call.
const MILLI: f64 = 1000.0;
/// Burst of a team, in seconds of its rate.
const BURST_S: f64 = 1.0;
/// Rate limit of a team relative to its normal demand, in scenarios that do not test rate limits.
const AMPLE_RATE: f64 = 20.0;
/// Rate limit of a team relative to its normal demand, in scenarios that test rate limits.
const TIGHT_RATE: f64 = 1.25;
/// The team that exceeds its rate in [`Scenario::greedy_team`].
const GREEDY_TEAM: TeamIndex = 1;

/// Rate and burst of a team.
#[derive(Clone, Copy, Debug)]
pub struct TeamRate {
    /// Requests per second.
    pub per_s: f64,
    /// Requests admitted at once.
    pub burst: f64,
}

impl From<TeamRate> for TeamLimit {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "rates of experiments are small and positive"
    )]
    fn from(rate: TeamRate) -> Self {
        Self {
            rate_milli: (rate.per_s * MILLI) as u64,
            burst_milli: (rate.burst * MILLI) as u64,
        }
    }
}

/// How callers retry after a failure.
#[derive(Clone, Copy, Debug)]
pub struct CallerRetries {
    /// Maximum number of times that a request is sent.
    pub max_sends: u32,
    /// Mean delay before a retry.
    pub delay: Duration,
}

/// Callers that retry once, after a long delay.
const PATIENT_CALLERS: CallerRetries = CallerRetries {
    max_sends: 2,
    delay: Duration::from_millis(500),
};

/// Callers that retry several times, almost immediately.
const AGGRESSIVE_CALLERS: CallerRetries = CallerRetries {
    max_sends: 5,
    delay: Duration::from_millis(50),
};

/// One experiment: a disturbance with a start and an end.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each disturbance is independent of the others"
)]
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Start of the disturbance.
    pub begin: Duration,
    /// End of the disturbance.
    pub end: Duration,
    /// End of the run.
    pub total: Duration,
    /// Factor on the demand of all teams.
    pub surge_factor: f64,
    /// Factor on the duration of work at the bottleneck service.
    pub bottleneck_slowdown: f64,
    /// A team with the factor on its demand.
    pub greedy: Option<(TeamIndex, f64)>,
    /// Whether a caller keeps sending a request that crashes backend servers.
    pub poison: bool,
    /// Whether every second backend server restarts with a cold cache.
    pub cold_start: bool,
    /// Whether one backend server of the bottleneck service drains.
    pub drain: bool,
    /// Age of load reports when they are used.
    pub report_lag: Duration,
    /// Whether every second backend server claims a multiple of its real slots.
    pub false_slot_hints: bool,
    /// How callers retry after a failure.
    pub caller_retries: CallerRetries,
    /// Rate limit of each team relative to its normal demand.
    pub rate_factor: f64,
}

/// Names of all scenarios.
pub const NAMES: [&str; 9] = [
    "calm",
    "surge3x",
    "deep-slow",
    "both",
    "greedy-team",
    "poison",
    "cold-start",
    "lying-load",
    "drain",
];

impl Scenario {
    /// Returns the scenario with this name; its disturbance lasts for `length`.
    #[must_use]
    pub fn named(name: &str, length: Duration) -> Option<Self> {
        let known = NAMES.iter().find(|known| **known == name)?;
        let calm = Self::calm(known, length);
        let hard = Self {
            caller_retries: AGGRESSIVE_CALLERS,
            ..calm.clone()
        };
        let scenario = match *known {
            "surge3x" => Self {
                surge_factor: 3.0,
                ..calm
            },
            "deep-slow" => Self {
                bottleneck_slowdown: 5.0,
                ..hard
            },
            "both" => Self {
                surge_factor: 3.0,
                bottleneck_slowdown: 5.0,
                ..hard
            },
            "greedy-team" => Self::greedy_team(&calm),
            "poison" => Self {
                poison: true,
                ..calm
            },
            "cold-start" => Self {
                cold_start: true,
                ..calm
            },
            "lying-load" => Self {
                surge_factor: 3.0,
                report_lag: Duration::from_secs(5),
                false_slot_hints: true,
                ..calm
            },
            "drain" => Self {
                drain: true,
                ..calm
            },
            _ => calm,
        };
        Some(scenario)
    }

    fn calm(name: &'static str, length: Duration) -> Self {
        let begin = Duration::from_secs(5);
        Self {
            name,
            begin,
            end: begin + length,
            total: begin + length + Duration::from_secs(8),
            surge_factor: 1.0,
            bottleneck_slowdown: 1.0,
            greedy: None,
            poison: false,
            cold_start: false,
            drain: false,
            report_lag: Duration::ZERO,
            false_slot_hints: false,
            caller_retries: PATIENT_CALLERS,
            rate_factor: AMPLE_RATE,
        }
    }

    /// One team sends 8 times its rate limit.
    fn greedy_team(calm: &Self) -> Self {
        Self {
            greedy: Some((GREEDY_TEAM, 8.0 * TIGHT_RATE)),
            rate_factor: TIGHT_RATE,
            ..calm.clone()
        }
    }

    /// Returns how long the disturbance lasts.
    #[must_use]
    pub fn disturbance_length(&self) -> Duration {
        self.end.saturating_sub(self.begin)
    }

    /// Returns the rates and bursts of all teams.
    #[must_use]
    pub fn rates(&self, graph: &CallGraph) -> Vec<TeamRate> {
        let total: f64 = graph.classes.iter().map(|class| class.per_s).sum();
        let rate = |share: f64| TeamRate {
            per_s: total * share * self.rate_factor,
            burst: (total * share * self.rate_factor * BURST_S).ceil(),
        };
        graph.teams.iter().map(|team| rate(team.share)).collect()
    }

    /// Returns the factor on a team's demand at a time since the start.
    #[must_use]
    pub fn demand_factor(&self, team: TeamIndex, now: Duration) -> f64 {
        if now < self.begin || now >= self.end {
            return 1.0;
        }
        match self.greedy {
            Some((greedy, factor)) if greedy == team => factor,
            _ => self.surge_factor,
        }
    }
}
