//! Limits of the teams at this node.

use std::collections::HashMap;
use std::time::Duration;
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
        for share in shares {
            if let Some(quota) = self.teams.get_mut(&share.team) {
                let depth_s = quota.depth_s;
                quota.bucket.set_share(share.share_milli, depth_s, now);
            }
        }
    }

    /// Lets a request of a team enter, or says when it may.
    pub(crate) fn take(&mut self, team: &TeamName, now: Instant) -> Result<(), Duration> {
        match self.teams.get_mut(team) {
            Some(quota) => quota.bucket.take(now),
            None => Ok(()),
        }
    }

    /// Returns whether this node was given no part of a team's limit yet.
    ///
    /// Then nothing is known of how much the team asked elsewhere, so a request
    /// must wait, but is not over the limit.
    pub(crate) fn lacks_share(&self, team: &TeamName) -> bool {
        let quota = self.teams.get(team);
        quota.is_some_and(|quota| quota.bucket.share_milli() == 0)
    }

    /// Returns whether this node was given a part of some limit, or needs none.
    pub(crate) fn has_shares(&self) -> bool {
        let mut quotas = self.teams.values();
        self.teams.is_empty() || quotas.any(|quota| quota.bucket.share_milli() > 0)
    }

    /// Takes back what a request took that did not enter after all.
    pub(crate) fn give_back(&mut self, team: &TeamName) {
        if let Some(quota) = self.teams.get_mut(team) {
            quota.bucket.give_back();
        }
    }

    /// Returns what was asked since the last report.
    pub(crate) fn uses(&mut self, now: Instant) -> Vec<TeamUse> {
        let teams = self.teams.iter_mut();
        teams
            .map(|(team, quota)| TeamUse {
                team: team.clone(),
                asked_per_s: quota.bucket.asked_per_s(now),
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
