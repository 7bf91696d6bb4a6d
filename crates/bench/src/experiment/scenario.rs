//! What goes wrong in each experiment, and when.

use std::time::Duration;

use limit::TeamLimit;

use crate::experiment::graph::CallGraph;
use crate::experiment::graph::TeamIndex;

/// Thousandths of a call.
const MILLI: f64 = 1000.0;
/// Longest burst of a team, in seconds of its rate.
const BURST_S: f64 = 1.0;
/// Rate of a team over its normal demand, where the rate is not the matter.
const AMPLE_RATE: f64 = 20.0;
/// The same where the rate is the matter.
const TIGHT_RATE: f64 = 1.25;
/// The team that sends too much in [`Scenario::greedy_team`].
const GREEDY_TEAM: TeamIndex = 1;

/// Rate and burst of a team.
#[derive(Clone, Copy, Debug)]
pub struct TeamRate {
    /// Requests per second.
    pub per_s: f64,
    /// Requests at once.
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

/// How caller_retries go on after a failure.
#[derive(Clone, Copy, Debug)]
pub struct CallerRetries {
    /// Sendings of one request at most.
    pub max_sends: u32,
    /// Mean delay before the next.
    pub delay: Duration,
}

/// Callers that try once more after a while.
const PATIENT_CALLERS: CallerRetries = CallerRetries {
    max_sends: 2,
    delay: Duration::from_millis(500),
};

/// Callers that send again at once, many times.
const AGGRESSIVE_CALLERS: CallerRetries = CallerRetries {
    max_sends: 5,
    delay: Duration::from_millis(50),
};

/// One experiment: a cause that begins, lasts and ends.
#[expect(
    clippy::struct_excessive_bools,
    reason = "each cause is independent of the others"
)]
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// When the cause begins.
    pub begin: Duration,
    /// When it ends.
    pub end: Duration,
    /// When the run ends.
    pub total: Duration,
    /// Factor on all demand.
    pub surge_factor: f64,
    /// Factor on the work of the deep service.
    pub bottleneck_slowdown: f64,
    /// A team and the factor on its demand.
    pub greedy: Option<(TeamIndex, f64)>,
    /// Whether a request that kills its backend server is sent for ever.
    pub poison: bool,
    /// Whether every second backend server starts cold.
    pub cold_start: bool,
    /// Whether one backend server of the deep service drains.
    pub drain: bool,
    /// Age of load reports.
    pub report_lag: Duration,
    /// Whether every second backend server claims several times its slots.
    pub false_slot_hints: bool,
    /// What caller_retries do after a failure.
    pub caller_retries: CallerRetries,
    /// Rate of each team over its normal demand.
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
    /// Returns the scenario with this name; its cause lasts for `length`.
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

    /// One team sends 8 times its rate.
    fn greedy_team(calm: &Self) -> Self {
        Self {
            greedy: Some((GREEDY_TEAM, 8.0 * TIGHT_RATE)),
            rate_factor: TIGHT_RATE,
            ..calm.clone()
        }
    }

    /// Returns how long the cause lasts.
    #[must_use]
    pub fn disturbance_length(&self) -> Duration {
        self.end.saturating_sub(self.begin)
    }

    /// Returns rates and bursts of the teams.
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
