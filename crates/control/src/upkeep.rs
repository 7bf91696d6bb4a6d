//! Periodic maintenance commands: the logged time, and attempts of departed nodes.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use ledger::ControlCommand;
use model::ids::NodeId;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tracing::debug;

use crate::core::ControlCore;
use crate::log::ControlLog;

/// Period of the upkeep, in milliseconds.
const UPKEEP_PERIOD_MS: u64 = 1_000;
/// Time without a new lease after which a node's attempts are abandoned, in milliseconds.
const ABANDON_DELAY_MS: u64 = 5_000;
/// Retention time of departed nodes, in seconds.
const DEPARTURE_RETENTION_S: u64 = 60;
/// Lag of the logged time behind the wall clock above which it is advanced, in milliseconds.
const TIME_LAG_MAX_MS: u64 = 60_000;
/// Timeout for the commit of an entry, in milliseconds.
const COMMIT_TIMEOUT_MS: u64 = 1_000;

/// Nodes whose lease ended, kept for the time that instances need to abandon their attempts.
#[derive(Clone, Debug, Default)]
pub struct DepartedNodes {
    nodes: BTreeMap<NodeId, Departure>,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    at: Instant,
    /// Whether this instance served the node.
    local: bool,
    abandoned: bool,
}

impl DepartedNodes {
    /// Records that a node's lease ended; `local` tells whether this instance served it.
    pub fn record_departure(&mut self, node: NodeId, local: bool, at: Instant) {
        let departure = Departure {
            at,
            local,
            abandoned: false,
        };
        self.nodes.insert(node, departure);
    }

    /// Records that a node holds a lease again.
    pub fn record_return(&mut self, node: NodeId) {
        self.nodes.remove(&node);
    }

    /// Returns the departed nodes whose attempts this instance must abandon at `now`.
    ///
    /// The instance that served the node does so, and the leader as well in case
    /// that instance is lost; abandoning a node twice does no harm.
    #[must_use]
    pub fn nodes_to_abandon(&mut self, now: Instant, leading: bool) -> Vec<NodeId> {
        let retention = Duration::from_secs(DEPARTURE_RETENTION_S);
        self.nodes
            .retain(|_, departure| now.saturating_duration_since(departure.at) < retention);
        let departed = self.nodes.iter().filter(|(_, departure)| {
            let away = now.saturating_duration_since(departure.at);
            let due = away >= Duration::from_millis(ABANDON_DELAY_MS);
            due && !departure.abandoned && (departure.local || leading)
        });
        departed.map(|(node, _)| *node).collect()
    }

    /// Records that a node's attempts are abandoned.
    pub fn mark_abandoned(&mut self, node: NodeId) {
        if let Some(departure) = self.nodes.get_mut(&node) {
            departure.abandoned = true;
        }
    }
}

/// Runs the upkeep until this instance stops.
///
/// # Errors
///
/// Never fails; the supervisor requires a result.
pub async fn run_upkeep<L: ControlLog, C: Clock>(core: ControlCore<L, C>) -> anyhow::Result<()> {
    let mut ticks = interval(Duration::from_millis(UPKEEP_PERIOD_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = core.stop.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
        }
        let leading = core.log.status().leader == Some(core.instance);
        core.abandon_attempts(leading).await;
        if leading {
            core.advance_time().await;
        }
    }
}

impl<L: ControlLog, C: Clock> ControlCore<L, C> {
    /// Abandons the attempts of lost nodes, so that repeated requests learn that they may have
    /// run.
    async fn abandon_attempts(&self, leading: bool) {
        let departed = self
            .departed_nodes()
            .nodes_to_abandon(self.clock.now(), leading);
        for node in departed {
            if self.registry.contains(node) {
                self.departed_nodes().record_return(node);
                continue;
            }
            let wall_ms = self.wall_ms();
            let command = ControlCommand::AbandonNode { node, wall_ms };
            if self.commit_entry(&command).await {
                self.departed_nodes().mark_abandoned(node);
            }
        }
    }

    /// Advances the logged time, so that records expire in a group that gets no claims.
    async fn advance_time(&self) {
        let wall_ms = self.wall_ms();
        let lags = self.log.read(|state| {
            let records = state.idempotency_table();
            !records.is_empty() && records.now_ms().saturating_add(TIME_LAG_MAX_MS) < wall_ms
        });
        if lags {
            let command = ControlCommand::AdvanceTime { wall_ms };
            self.commit_entry(&command).await;
        }
    }

    async fn commit_entry(&self, command: &ControlCommand) -> bool {
        let deadline = Instant::now() + Duration::from_millis(COMMIT_TIMEOUT_MS);
        match self.propose(command, deadline).await {
            Ok(_) => true,
            Err(error) => {
                debug!(event = "upkeep-failed", %error);
                false
            }
        }
    }
}
