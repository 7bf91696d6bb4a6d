//! Division of a team's rate into shares of nodes and a pool of single tokens.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use model::ids::NodeId;
use model::ids::TeamName;

use crate::TeamLimit;

/// Thousandths of a request in one request.
const MILLI_PER_REQUEST: u64 = 1000;
/// Weight of the newest report in the moving average of the demand.
const DEMAND_WEIGHT: f64 = 0.15;
/// Fraction of the overage that is granted.
const OVERAGE_FRACTION: f64 = 0.9;
/// Largest fraction of a team's rate that is granted as shares of nodes; the rest goes to the
/// pool, from which nodes borrow tokens when needed.
const SHARES_FRACTION: f64 = 0.65;
/// Smallest bucket capacity of a node, in tokens, at which a share of its own is useful.
const NODE_CAPACITY_MIN: f64 = 1.5;
/// Demand below which a node without a share is forgotten, in requests per second.
const DEMAND_MIN_PER_S: f64 = 0.01;
/// Fraction of the configured burst that the leader's pool may hold.
const POOL_DEPTH_FRACTION: f64 = 0.8;

/// One node's share of one team's rate.
#[derive(Clone, Copy, Debug)]
struct NodeShare {
    demand_per_s: f64,
    /// The largest share that the node may apply: the last granted, or one reported since.
    reserved_milli: u64,
    /// The share granted last, which the node may not have applied yet.
    granted_milli: u64,
    reported_at: Instant,
}

/// Shares of one team, and the pool of tokens that nodes may borrow.
#[derive(Clone, Debug)]
struct TeamShares {
    rate_milli: u64,
    /// Bucket depth in seconds of the rate: the configured burst divided by the rate.
    depth_s: f64,
    nodes: HashMap<NodeId, NodeShare>,
    pool_tokens: f64,
    pool_updated: Instant,
    /// When the pool began to fill; it was empty then.
    pool_begun: Instant,
}

/// Splits the rates of teams among nodes by demand, and keeps a pool of tokens for the rest.
///
/// It is made for these cases: the callers of a small team are spread over so
/// many nodes that each share would be less than a request; callers move
/// between nodes; one team sends many times its usual rate; the leader is
/// unavailable for seconds. A node's share is its demand, as long as all
/// demands fit into a fraction of the limit; beyond that, nodes borrow single
/// tokens from the pool. A share is raised only by rate that no other node may
/// still use, so shares and pool together never exceed the rate. The share of
/// a node that no longer reports stays reserved until its lease has expired.
///
/// All shares of a team together stay within [`SHARES_FRACTION`] of its rate, so
/// a new leader can lend from the rest before it knows who holds which share.
#[derive(Clone, Debug)]
pub struct RateAllocator {
    lease_length: Duration,
    overage: f64,
    teams: HashMap<TeamName, TeamShares>,
    /// Nodes that have reported before; a team that one of them names again had no demand there.
    reporters: HashSet<NodeId>,
    /// Whether all nodes that may hold shares have reported.
    knows_all_nodes: bool,
}

impl RateAllocator {
    /// Creates an allocator without teams; a node that stops reporting keeps its shares for
    /// `lease_length`.
    ///
    /// `overage` is the fraction by which a team may exceed its limit. Most of
    /// it is granted, to make up for shares of nodes that have no demand.
    #[must_use]
    pub fn new(lease_length: Duration, overage: f64) -> Self {
        Self {
            lease_length,
            overage: overage * OVERAGE_FRACTION,
            teams: HashMap::new(),
            reporters: HashSet::new(),
            knows_all_nodes: true,
        }
    }

    /// Sets whether all nodes that may hold shares have reported. Until then the pool gets only the
    /// part of the rate that is never granted as shares.
    pub fn set_knows_all_nodes(&mut self, knows_all_nodes: bool, now: Instant) {
        if self.knows_all_nodes == knows_all_nodes {
            return;
        }
        self.refill_all(now);
        self.knows_all_nodes = knows_all_nodes;
    }

    fn refill_all(&mut self, now: Instant) {
        for shares in self.teams.values_mut() {
            shares.refill(self.knows_all_nodes, now);
        }
    }

    /// Replaces the limits of all teams.
    pub fn set_limits(&mut self, limits: &[(TeamName, TeamLimit)], now: Instant) {
        let declared = limits.iter().map(|(team, _)| team);
        let declared: HashSet<_> = declared.collect();
        self.teams.retain(|team, _| declared.contains(team));
        for (team, limit) in limits {
            let shares = self.teams.entry(team.clone());
            let shares = shares.or_insert_with(|| TeamShares::new(now));
            shares.refill(self.knows_all_nodes, now);
            shares.rate_milli = with_overage(limit.rate_milli, self.overage);
            shares.depth_s = limit.burst_milli as f64 / limit.rate_milli.max(1) as f64;
        }
    }

    /// Lends up to `wanted` tokens of a team's pool to a node; returns how many.
    pub fn lend_tokens(&mut self, team: &TeamName, wanted: u32, now: Instant) -> u32 {
        let Some(shares) = self.teams.get_mut(team) else {
            return 0;
        };
        shares.refill(self.knows_all_nodes, now);
        shares.lend_tokens(wanted)
    }

    /// Returns whether a shortage of a team's pool shows that the team has used up its rate.
    ///
    /// Each pool begins empty, since an earlier leader may have lent its tokens just before. So it
    /// shows nothing before it has had the time to fill, or a lease has passed.
    #[must_use]
    pub fn shows_use(&self, team: &TeamName, now: Instant) -> bool {
        let shares = self.teams.get(team);
        shares.is_none_or(|shares| shares.has_had_time_to_fill(self.lease_length, now))
    }

    /// Records a node's report on one team: requests per second, and the share it applies.
    pub fn report(
        &mut self,
        node: NodeId,
        team: &TeamName,
        demand_per_s: u32,
        share_milli: u64,
        now: Instant,
    ) {
        let Some(shares) = self.teams.get_mut(team) else {
            return;
        };
        shares.refill(self.knows_all_nodes, now);
        let demand = f64::from(demand_per_s);
        let demand_before = if self.reporters.contains(&node) {
            0.0
        } else {
            demand
        };
        let share = shares.nodes.entry(node).or_insert(NodeShare {
            demand_per_s: demand_before,
            reserved_milli: share_milli,
            granted_milli: share_milli,
            reported_at: now,
        });
        share.demand_per_s += DEMAND_WEIGHT * (demand - share.demand_per_s);
        share.reserved_milli = share_milli.max(share.granted_milli);
        if share_milli == share.granted_milli {
            share.reserved_milli = share_milli;
        }
        share.reported_at = now;
    }

    /// Records that a node reported on no other teams than `reported`: it has neither demand nor a
    /// share of any other.
    pub fn report_rest(&mut self, node: NodeId, reported: &[&TeamName], now: Instant) {
        self.reporters.insert(node);
        let known = self.teams.iter();
        let silent: Vec<TeamName> = known
            .filter(|(team, shares)| shares.nodes.contains_key(&node) && !reported.contains(team))
            .map(|(team, _)| team.clone())
            .collect();
        for team in silent {
            self.report(node, &team, 0, 0, now);
            if let Some(shares) = self.teams.get_mut(&team) {
                shares.forget_if_idle(node);
            }
        }
    }

    /// Removes a node that has stopped, which frees its shares.
    pub fn remove_node(&mut self, node: NodeId, now: Instant) {
        self.reporters.remove(&node);
        self.refill_all(now);
        for shares in self.teams.values_mut() {
            shares.nodes.remove(&node);
        }
    }

    /// Returns the shares that a node should apply from now on; of any other team it has and gets
    /// none.
    ///
    /// `may_raise` is false for a leader that does not know all nodes yet.
    pub fn grant(&mut self, node: NodeId, may_raise: bool, now: Instant) -> Vec<(TeamName, u64)> {
        let lease_length = self.lease_length;
        let mut granted = Vec::new();
        for (team, shares) in &mut self.teams {
            if !shares.nodes.contains_key(&node) {
                continue;
            }
            shares.refill(self.knows_all_nodes, now);
            shares
                .nodes
                .retain(|_, share| now.saturating_duration_since(share.reported_at) < lease_length);
            let had_share = shares.has_share(node);
            if let Some(share_milli) = shares.grant(node, may_raise)
                && (share_milli > 0 || had_share)
            {
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
            pool_tokens: 0.0,
            pool_updated: now,
            pool_begun: now,
        }
    }

    fn grant(&mut self, node: NodeId, may_raise: bool) -> Option<u64> {
        let target = self.target_milli(node)?;
        let free = self
            .shares_max_milli()
            .saturating_sub(self.reserved_milli());
        let share = self.nodes.get_mut(&node)?;
        let granted = if target <= share.reserved_milli {
            target
        } else if may_raise {
            target.min(share.reserved_milli + free)
        } else {
            share.reserved_milli
        };
        share.granted_milli = granted;
        share.reserved_milli = share.reserved_milli.max(granted);
        Some(granted)
    }

    /// Returns whether a node may apply a share.
    fn has_share(&self, node: NodeId) -> bool {
        let share = self.nodes.get(&node);
        share.is_some_and(|share| share.reserved_milli > 0)
    }

    /// Forgets a node that has no share and hardly any demand.
    fn forget_if_idle(&mut self, node: NodeId) {
        let share = self.nodes.get(&node);
        let is_idle = share.is_some_and(|share| {
            share.reserved_milli == 0
                && share.granted_milli == 0
                && share.demand_per_s < DEMAND_MIN_PER_S
        });
        if is_idle {
            self.nodes.remove(&node);
        }
    }

    /// Returns the share that a node should have if no other share were reserved.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of the rate, which is not negative"
    )]
    fn target_milli(&self, node: NodeId) -> Option<u64> {
        let share = self.nodes.get(&node)?;
        let total_per_s: f64 = self.nodes.values().map(|share| share.demand_per_s).sum();
        let rate_per_s = self.rate_milli as f64 / MILLI_PER_REQUEST as f64;
        let scale = (SHARES_FRACTION * rate_per_s / total_per_s.max(1.0)).min(1.0);
        let share_per_s = share.demand_per_s * scale;
        if share_per_s * self.depth_s < NODE_CAPACITY_MIN {
            return Some(0);
        }
        Some((share_per_s * MILLI_PER_REQUEST as f64) as u64)
    }

    /// Returns the part of the rate that may be granted as shares.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a part of the rate, which is not negative"
    )]
    fn shares_max_milli(&self) -> u64 {
        (self.rate_milli as f64 * SHARES_FRACTION) as u64
    }

    /// Returns the sum of the shares that nodes may apply.
    fn reserved_milli(&self) -> u64 {
        self.nodes.values().map(|share| share.reserved_milli).sum()
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "tokens are few and not negative"
    )]
    fn lend_tokens(&mut self, wanted: u32) -> u32 {
        let lent = wanted.min(self.pool_tokens as u32);
        self.pool_tokens -= f64::from(lent);
        lent
    }

    fn has_had_time_to_fill(&self, time_max: Duration, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.pool_begun);
        age >= time_max || age.as_secs_f64() >= self.depth_s
    }

    /// Adds to the pool the rate that no share used since the previous call.
    ///
    /// Must be called before any of the shares or the rate changes. Unless all nodes are known,
    /// the unknown ones may use whatever may be granted as shares.
    fn refill(&mut self, knows_all_nodes: bool, now: Instant) {
        let used_milli = if knows_all_nodes {
            self.reserved_milli()
        } else {
            self.reserved_milli().max(self.shares_max_milli())
        };
        let free_milli = self.rate_milli.saturating_sub(used_milli);
        let rate_per_s = free_milli as f64 / MILLI_PER_REQUEST as f64;
        let elapsed_s = now
            .saturating_duration_since(self.pool_updated)
            .as_secs_f64();
        self.pool_updated = now;
        let depth = (rate_per_s * self.depth_s * POOL_DEPTH_FRACTION).max(1.0);
        self.pool_tokens = (self.pool_tokens + rate_per_s * elapsed_s).min(depth);
    }
}
