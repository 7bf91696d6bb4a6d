//! Limits of the teams at this node.

use std::collections::HashMap;
use std::time::Instant;

use fleet::FleetConfig;
use fleet::TeamEntry;
use fleet::TeamShare;
use fleet::TeamUse;
use limit::TokenBucket;
use model::ids::TeamName;

/// One team's limit and this node's part of it.
#[derive(Clone, Debug)]
struct TeamQuota {
    bucket: TokenBucket,
    rate_per_s: u32,
    depth_s: f64,
}

/// Buckets of the teams that have a limit.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuotaTable {
    teams: HashMap<TeamName, TeamQuota>,
    /// Whether a leader that knows all nodes has given this node its parts.
    is_granted: bool,
}

impl QuotaTable {
    /// Takes over the limits; a part under a limit that was lowered shrinks at once.
    pub(crate) fn declare(&mut self, config: &FleetConfig, now: Instant) {
        let limited = |team: &&TeamEntry| team.rate_per_s > 0;
        let mut teams = HashMap::new();
        for team in config.teams.iter().filter(limited) {
            let known = self.teams.remove(&team.name);
            teams.insert(team.name.clone(), declared(known, team, now));
        }
        self.teams = teams;
    }

    /// Takes over the parts that the leader gave.
    pub(crate) fn share(&mut self, shares: &[TeamShare], now: Instant) {
        self.is_granted = true;
        for share in shares {
            if let Some(quota) = self.teams.get_mut(&share.team) {
                let depth_s = quota.depth_s;
                quota.bucket.set_share(share.share_milli, depth_s, now);
            }
        }
    }

    /// Lets a request of a team enter if there is a token for it here.
    pub(crate) fn take(&mut self, team: &TeamName, now: Instant) -> bool {
        let quota = self.teams.get_mut(team);
        quota.is_none_or(|quota| quota.bucket.take(now))
    }

    /// Returns whether a leader has given this node its parts, or none are needed.
    ///
    /// Before, nothing is known of how much the teams asked elsewhere, so a request
    /// must wait, but is not over the limit.
    pub(crate) fn is_granted(&self) -> bool {
        self.teams.is_empty() || self.is_granted
    }

    /// Returns this node's part of a team's rate, in thousandths of a request per second.
    pub(crate) fn share_milli(&self, team: &TeamName) -> u64 {
        let quota = self.teams.get(team);
        quota.map_or(0, |quota| quota.bucket.share_milli())
    }

    /// Keeps tokens that the leader lent and no request waits for any more.
    pub(crate) fn lend(&mut self, team: &TeamName, tokens: u32, now: Instant) {
        if let Some(quota) = self.teams.get_mut(team)
            && tokens > 0
        {
            quota.bucket.add_borrowed_tokens(tokens, now);
        }
    }

    /// Returns how many tokens beyond those needed now should be drawn.
    pub(crate) fn ahead(&self, team: &TeamName) -> u32 {
        let quota = self.teams.get(team);
        quota.map_or(0, |quota| quota.bucket.prefetch_tokens())
    }

    /// Takes back what a request took that did not enter after all.
    pub(crate) fn give_back(&mut self, team: &TeamName, now: Instant) {
        if let Some(quota) = self.teams.get_mut(team) {
            quota.bucket.return_token(now);
        }
    }

    /// Returns what was asked since the last report.
    pub(crate) fn uses(&mut self, now: Instant) -> Vec<TeamUse> {
        let teams = self.teams.iter_mut();
        teams
            .map(|(team, quota)| TeamUse {
                team: team.clone(),
                asked_per_s: quota.bucket.sample_demand_per_s(now),
                share_milli: quota.bucket.share_milli(),
            })
            .collect()
    }
}

fn declared(known: Option<TeamQuota>, team: &TeamEntry, now: Instant) -> TeamQuota {
    let depth_s = f64::from(team.burst) / f64::from(team.rate_per_s.max(1));
    let Some(mut quota) = known else {
        return TeamQuota {
            bucket: TokenBucket::new(now),
            rate_per_s: team.rate_per_s,
            depth_s,
        };
    };
    if team.rate_per_s < quota.rate_per_s {
        let share = quota.bucket.share_milli() * u64::from(team.rate_per_s)
            / u64::from(quota.rate_per_s.max(1));
        quota.bucket.set_share(share, depth_s, now);
    }
    quota.rate_per_s = team.rate_per_s;
    quota.depth_s = depth_s;
    quota
}
