//! One node's share of a service's retry budget.

use std::time::Duration;
use std::time::Instant;

/// Fraction of the allowed ratio that a node uses, since nodes do not see each other's requests.
const RATIO_FRACTION: f64 = 0.7;
/// Fraction of the allowed slack that all nodes together use.
const SLACK_FRACTION: f64 = 0.5;
/// Smallest cap of the balance, so that a node with few requests can retry at all.
const BALANCE_CAP_MIN: f64 = 1.0;

/// Limits the retries that one node sends to one service.
///
/// A backend server that fails or sheds load makes every request sent there a
/// candidate for a retry. Each first attempt earns a fraction of a retry and the
/// balance is capped, so no time window sees more retries than ratio ×
/// requests + slack.
#[derive(Clone, Debug)]
pub struct ServiceRetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    cap: f64,
    balance: f64,
    refill_per_s: f64,
    updated: Instant,
}

impl ServiceRetryBudget {
    /// Creates the budget of one of `nodes` nodes for a limit of ratio × requests + slack
    /// per `window`.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Duration, nodes: usize, now: Instant) -> Self {
        let mut budget = Self {
            ratio: ratio * RATIO_FRACTION,
            slack,
            window,
            cap: 0.0,
            balance: 0.0,
            refill_per_s: 0.0,
            updated: now,
        };
        budget.set_nodes(nodes, now);
        budget.balance = budget.cap;
        budget
    }

    /// Sets the number of nodes that share the slack; what this node may have saved up shrinks with
    /// its part.
    pub fn set_nodes(&mut self, nodes: usize, now: Instant) {
        self.refill(now);
        let own_slack = self.slack * SLACK_FRACTION / nodes.max(1) as f64;
        self.cap = (own_slack / 2.0).max(BALANCE_CAP_MIN);
        self.refill_per_s = own_slack / 2.0 / self.window.as_secs_f64().max(1.0);
        self.balance = self.balance.min(self.cap);
    }

    /// Credits the budget for a first attempt.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.cap);
    }

    /// Spends one retry; returns whether the budget allowed it.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.refill(now);
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        self.balance = (self.balance + elapsed_s * self.refill_per_s).min(self.cap);
    }
}
