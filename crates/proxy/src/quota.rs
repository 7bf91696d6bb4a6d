//! Rate limits of the teams at this node.

use std::collections::HashMap;
use std::time::Instant;

use fleet::FleetConfig;
use fleet::TeamDemand;
use fleet::TeamEntry;
use fleet::TeamShare;
use limit::TakenToken;
use limit::TokenBucket;
use model::ids::TeamName;

/// Thousandths of a request in one request.
const MILLI: f64 = 1000.0;

/// A team's rate limit, and the token bucket for this node's share of it.
#[derive(Clone, Debug)]
struct TeamQuota {
    bucket: TokenBucket,
    /// In thousandths of a request per second.
    rate_milli: u64,
    burst_s: f64,
}

/// What a request gets that asks for a token.
#[derive(Debug)]
pub(crate) enum TokenOutcome {
    /// The team has no limit.
    Unlimited,
    /// A token was taken.
    Taken(TakenToken),
    /// There is no token now.
    Missing,
}

/// Token buckets of the teams that have a rate limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuotaTable {
    teams: HashMap<TeamName, TeamQuota>,
    /// Whether a leader that knows all nodes has assigned shares to this node.
    has_shares: bool,
}

impl QuotaTable {
    /// Applies the configured limits. When a limit was lowered, this node's share shrinks in
    /// proportion at once, before the leader assigns a new one.
    pub(crate) fn apply_config(&mut self, config: &FleetConfig, now: Instant) {
        let limited = |team: &&TeamEntry| team.rate_milli > 0;
        let mut teams = HashMap::new();
        for team in config.teams.iter().filter(limited) {
            let known = self.teams.remove(&team.name);
            teams.insert(team.name.clone(), updated_quota(known, team, now));
        }
        self.teams = teams;
    }

    /// Applies the shares that the leader assigned.
    pub(crate) fn apply_shares(&mut self, shares: &[TeamShare], now: Instant) {
        self.has_shares = true;
        for share in shares {
            if let Some(quota) = self.teams.get_mut(&share.team) {
                let burst_s = quota.burst_s;
                quota.bucket.set_share(share.share_milli, burst_s, now);
            }
        }
    }

    /// Takes a token for a request of a team.
    pub(crate) fn take_token(&mut self, team: &TeamName, now: Instant) -> TokenOutcome {
        let Some(quota) = self.teams.get_mut(team) else {
            return TokenOutcome::Unlimited;
        };
        quota
            .bucket
            .take(now)
            .map_or(TokenOutcome::Missing, TokenOutcome::Taken)
    }

    /// Returns whether the leader has assigned shares to this node, or no team has a limit.
    ///
    /// Before that, the demand of the teams at other nodes is not known. A request cannot be
    /// admitted then, but it must not be reported as over its limit either.
    pub(crate) fn has_shares(&self) -> bool {
        self.teams.is_empty() || self.has_shares
    }

    /// Returns this node's share of a team's rate, in thousandths of a request per second.
    pub(crate) fn share_milli(&self, team: &TeamName) -> u64 {
        let quota = self.teams.get(team);
        quota.map_or(0, |quota| quota.bucket.share_milli())
    }

    /// Adds tokens borrowed from the leader that no request waits for any more.
    pub(crate) fn add_borrowed_tokens(&mut self, team: &TeamName, tokens: u32, now: Instant) {
        if let Some(quota) = self.teams.get_mut(team)
            && tokens > 0
        {
            quota.bucket.add_borrowed_tokens(tokens, now);
        }
    }

    /// Returns how many tokens to borrow in advance, beyond those that are needed now.
    pub(crate) fn prefetch_tokens(&self, team: &TeamName) -> u32 {
        let quota = self.teams.get(team);
        quota.map_or(0, |quota| quota.bucket.prefetch_tokens())
    }

    /// Returns the token of a request that was not admitted after all.
    pub(crate) fn return_token(&mut self, team: &TeamName, token: TakenToken, now: Instant) {
        if let Some(quota) = self.teams.get_mut(team) {
            quota.bucket.return_token(token, now);
        }
    }

    /// Returns the demand of the teams since the last report; any other team has no demand here and
    /// no share.
    pub(crate) fn sample_demand(&mut self, now: Instant) -> Vec<TeamDemand> {
        let teams = self.teams.iter_mut();
        teams
            .map(|(team, quota)| TeamDemand {
                team: team.clone(),
                demand_per_s: quota.bucket.sample_demand_per_s(now),
                share_milli: quota.bucket.share_milli(),
            })
            .filter(|team| team.demand_per_s > 0 || team.share_milli > 0)
            .collect()
    }
}

/// Returns the time in which a team's rate adds up to its burst, in seconds.
#[expect(
    clippy::cast_precision_loss,
    reason = "a rate that a float cannot hold exactly limits nothing"
)]
fn burst_seconds(team: &TeamEntry) -> f64 {
    f64::from(team.burst) * MILLI / team.rate_milli.max(1) as f64
}

fn updated_quota(known: Option<TeamQuota>, team: &TeamEntry, now: Instant) -> TeamQuota {
    let burst_s = burst_seconds(team);
    let Some(mut quota) = known else {
        return TeamQuota {
            bucket: TokenBucket::new(now),
            rate_milli: team.rate_milli,
            burst_s,
        };
    };
    if team.rate_milli < quota.rate_milli {
        let lowered = quota.bucket.share_milli().saturating_mul(team.rate_milli);
        let share = lowered / quota.rate_milli.max(1);
        quota.bucket.set_share(share, burst_s, now);
    }
    quota.rate_milli = team.rate_milli;
    quota.burst_s = burst_s;
    quota
}
