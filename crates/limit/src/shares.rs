//! Parts of a team's rate at the nodes and tokens drawn from the rest, within its limit.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use model::ids::NodeId;
use model::ids::TeamName;

use crate::TeamLimit;

/// Thousandths in one request.
const MILLI: u64 = 1000;
/// Weight of the newest demand in its average.
const ASKED_WEIGHT: f64 = 0.15;
/// Part of the overage that is given out.
const OVERAGE_GIVEN: f64 = 0.9;
/// Part of a team's rate that nodes get as rates of their own at the most; the rest is drawn
/// when needed.
const OWN_PART: f64 = 0.65;
/// Tokens that a node must be able to save for a rate of its own to be of use.
const SAVED_MIN: f64 = 1.5;
/// Part of the declared burst that may be saved up at the leader.
const POOL_DEPTH_PART: f64 = 0.8;

/// Part of one team's rate at one node.
#[derive(Clone, Copy, Debug)]
struct NodeShare {
    asked_per_s: f64,
    /// The most that the node may go by: granted last, or reported since.
    out_milli: u64,
    /// Granted and not yet reported back.
    granted_milli: u64,
    seen: Instant,
}

/// Shares of one team, and the tokens that nodes may draw.
#[derive(Clone, Debug)]
struct TeamShares {
    rate_milli: u64,
    /// Seconds of the rate that may be saved up: the declared burst over the rate.
    depth_s: f64,
    nodes: HashMap<NodeId, NodeShare>,
    pool: f64,
    pool_at: Instant,
}

/// Splits the rates of teams among nodes by what is asked there, and lends out the rest.
///
/// Load pattern: a small team's callers are spread over many nodes, where each
/// part would be less than a request; callers move between nodes; one team
/// sends many times its usual; the leader is away for seconds. A node has its
/// demand as its own rate as long as all of them fit into a part of the limit,
/// and draws single tokens from the rest. A part is raised only by what others
/// are known to go without, so parts and tokens never add up to more than the
/// rate; the part of a node that went silent stays taken until its lease has
/// run out.
#[derive(Clone, Debug)]
pub struct ShareBook {
    lease: Duration,
    overage: f64,
    teams: HashMap<TeamName, TeamShares>,
}

impl ShareBook {
    /// Creates an empty book; a silent node keeps its parts for `lease`.
    ///
    /// `overage` is the part by which a team may exceed its limit. Most of it
    /// is given out, to make up for parts that lie where nobody asks.
    #[must_use]
    pub fn new(lease: Duration, overage: f64) -> Self {
        Self {
            lease,
            overage: overage * OVERAGE_GIVEN,
            teams: HashMap::new(),
        }
    }

    /// Replaces the limits.
    pub fn declare(&mut self, limits: &[(TeamName, TeamLimit)], now: Instant) {
        let declared = limits.iter().map(|(team, _)| team);
        let declared: std::collections::HashSet<_> = declared.collect();
        self.teams.retain(|team, _| declared.contains(team));
        for (team, limit) in limits {
            let shares = self.teams.entry(team.clone());
            let shares = shares.or_insert_with(|| TeamShares::new(now));
            shares.refill(now);
            shares.rate_milli = with_overage(limit.rate_milli, self.overage);
            shares.depth_s = limit.burst_milli as f64 / limit.rate_milli.max(1) as f64;
        }
    }

    /// Draws up to `wanted` tokens of one team for a node; returns how many there were.
    ///
    /// Must not be called by a leader that does not know all nodes yet.
    pub fn draw(&mut self, team: &TeamName, wanted: u32, now: Instant) -> u32 {
        let shares = self.teams.get_mut(team);
        shares.map_or(0, |shares| shares.draw(wanted, now))
    }

    /// Takes what a node says of one team: requests asked per second, and the part it goes by.
    pub fn report(
        &mut self,
        node: NodeId,
        team: &TeamName,
        asked_per_s: u32,
        share_milli: u64,
        now: Instant,
    ) {
        let Some(shares) = self.teams.get_mut(team) else {
            return;
        };
        shares.refill(now);
        let asked = f64::from(asked_per_s);
        let share = shares.nodes.entry(node).or_insert(NodeShare {
            asked_per_s: asked,
            out_milli: share_milli,
            granted_milli: share_milli,
            seen: now,
        });
        share.asked_per_s += ASKED_WEIGHT * (asked - share.asked_per_s);
        share.out_milli = share_milli.max(share.granted_milli);
        if share_milli == share.granted_milli {
            share.out_milli = share_milli;
        }
        share.seen = now;
    }

    /// Forgets a node that has ended, so that its parts are free.
    pub fn forget(&mut self, node: NodeId, now: Instant) {
        for shares in self.teams.values_mut() {
            shares.refill(now);
            shares.nodes.remove(&node);
        }
    }

    /// Returns the parts that a node should go by from now on.
    ///
    /// `may_raise` is false for a leader that does not know all nodes yet.
    pub fn grant(&mut self, node: NodeId, may_raise: bool, now: Instant) -> Vec<(TeamName, u64)> {
        let lease = self.lease;
        let mut granted = Vec::new();
        for (team, shares) in &mut self.teams {
            shares.refill(now);
            shares
                .nodes
                .retain(|_, share| now.saturating_duration_since(share.seen) < lease);
            if let Some(share_milli) = shares.grant(node, may_raise) {
                granted.push((team.clone(), share_milli));
            }
        }
        granted
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate and an overage are not negative"
)]
fn with_overage(rate_milli: u64, overage: f64) -> u64 {
    (rate_milli as f64 * (1.0 + overage)) as u64
}

impl TeamShares {
    fn new(now: Instant) -> Self {
        Self {
            rate_milli: 0,
            depth_s: 1.0,
            nodes: HashMap::new(),
            pool: 0.0,
            pool_at: now,
        }
    }

    fn grant(&mut self, node: NodeId, may_raise: bool) -> Option<u64> {
        let wanted = self.wanted(node)?;
        let free = self.rate_milli.saturating_sub(self.out_milli());
        let share = self.nodes.get_mut(&node)?;
        let next = if wanted <= share.out_milli {
            wanted
        } else if may_raise {
            wanted.min(share.out_milli + free)
        } else {
            share.out_milli
        };
        share.granted_milli = next;
        share.out_milli = share.out_milli.max(next);
        Some(next)
    }

    /// Returns the part that a node should have, were all parts free.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of the rate, which is not negative"
    )]
    fn wanted(&self, node: NodeId) -> Option<u64> {
        let share = self.nodes.get(&node)?;
        let asked: f64 = self.nodes.values().map(|share| share.asked_per_s).sum();
        let rate_per_s = self.rate_milli as f64 / MILLI as f64;
        let fitting = (OWN_PART * rate_per_s / asked.max(1.0)).min(1.0);
        let own_per_s = share.asked_per_s * fitting;
        if own_per_s * self.depth_s < SAVED_MIN {
            return Some(0);
        }
        Some((own_per_s * MILLI as f64) as u64)
    }

    /// Returns the sum of the parts that nodes may go by.
    fn out_milli(&self) -> u64 {
        self.nodes.values().map(|share| share.out_milli).sum()
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "tokens are few and not negative"
    )]
    fn draw(&mut self, wanted: u32, now: Instant) -> u32 {
        self.refill(now);
        let drawn = wanted.min(self.pool as u32);
        self.pool -= f64::from(drawn);
        drawn
    }

    /// Saves up what the parts left free since the last call of this.
    ///
    /// Must be called before any of the parts or the rate changes.
    fn refill(&mut self, now: Instant) {
        let free_milli = self.rate_milli.saturating_sub(self.out_milli());
        let rate_per_s = free_milli as f64 / MILLI as f64;
        let elapsed_s = now.saturating_duration_since(self.pool_at).as_secs_f64();
        self.pool_at = now;
        let depth = (rate_per_s * self.depth_s * POOL_DEPTH_PART).max(1.0);
        self.pool = (self.pool + rate_per_s * elapsed_s).min(depth);
    }
}
