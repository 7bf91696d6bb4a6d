//! Parts of a team's rate at the nodes, so that all of them together keep its limit.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use model::ids::NodeId;
use model::ids::TeamName;

/// Thousandths in one request.
const MILLI: u64 = 1000;
/// Weight of the newest demand in its average, when demand rises and when it falls.
const RISING_WEIGHT: f64 = 0.5;
const FALLING_WEIGHT: f64 = 0.15;
/// Part of the overage that is given out.
const OVERAGE_GIVEN: f64 = 0.9;
/// Part of the mean demand that counts at every node, so that a node where a team turns up
/// is not dry, and few requests at a node don't decide its part.
const EVEN_PART: f64 = 0.8;
/// Demand that counts at every node besides, in requests per second.
const EVEN_PER_S: f64 = 1.0;

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

/// Shares of one team.
#[derive(Clone, Debug, Default)]
struct TeamShares {
    rate_milli: u64,
    nodes: HashMap<NodeId, NodeShare>,
}

/// Splits the rates of teams among nodes by what is asked there.
///
/// Load pattern: a team's callers move between nodes, and one team sends many
/// times its usual. A node's part is raised only by what others are known to
/// go without, so the parts never add up to more than the rate; the part of a
/// node that went silent stays taken until its lease has run out.
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

    /// Replaces the limits, in requests per second.
    pub fn declare(&mut self, limits: &[(TeamName, u32)]) {
        let declared = limits.iter().map(|(team, _)| team);
        let declared: std::collections::HashSet<_> = declared.collect();
        self.teams.retain(|team, _| declared.contains(team));
        for (team, rate_per_s) in limits {
            let shares = self.teams.entry(team.clone()).or_default();
            shares.rate_milli = rate_milli(*rate_per_s, self.overage);
        }
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
        let asked = f64::from(asked_per_s);
        let share = shares.nodes.entry(node).or_insert(NodeShare {
            asked_per_s: asked,
            out_milli: share_milli,
            granted_milli: share_milli,
            seen: now,
        });
        let weight = if asked > share.asked_per_s {
            RISING_WEIGHT
        } else {
            FALLING_WEIGHT
        };
        share.asked_per_s += weight * (asked - share.asked_per_s);
        share.out_milli = share_milli.max(share.granted_milli);
        if share_milli == share.granted_milli {
            share.out_milli = share_milli;
        }
        share.seen = now;
    }

    /// Forgets a node that has ended, so that its parts are free.
    pub fn forget(&mut self, node: NodeId) {
        for shares in self.teams.values_mut() {
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
fn rate_milli(rate_per_s: u32, overage: f64) -> u64 {
    (f64::from(rate_per_s) * MILLI as f64 * (1.0 + overage)) as u64
}

impl TeamShares {
    fn grant(&mut self, node: NodeId, may_raise: bool) -> Option<u64> {
        let wanted = self.wanted(node)?;
        let out: u64 = self.nodes.values().map(|share| share.out_milli).sum();
        let free = self.rate_milli.saturating_sub(out);
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
        let count = self.nodes.len() as f64;
        let asked: f64 = self.nodes.values().map(|share| share.asked_per_s).sum();
        let even_per_s = EVEN_PART * asked / count + EVEN_PER_S;
        let part = (share.asked_per_s + even_per_s) / (asked + count * even_per_s);
        Some((self.rate_milli as f64 * part) as u64)
    }
}
