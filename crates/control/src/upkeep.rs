//! Entries that no caller asks for: time, and attempts of nodes that are gone.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use ledger::LedgerCommand;
use model::ids::NodeId;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tracing::debug;

use crate::core::ControlCore;
use crate::log::ControlLog;

/// Period in which the upkeep is done, in milliseconds.
const UPKEEP_PERIOD_MS: u64 = 1_000;
/// Time after which a node that has not come back counts as gone, in milliseconds.
const GONE_MS: u64 = 5_000;
/// Time for which nodes that are gone are remembered, in seconds.
const GONE_RETENTION_S: u64 = 60;
/// Lag of the logged time that is made up for, in milliseconds.
const TIME_LAG_MS: u64 = 60_000;
/// Time to commit an entry, in milliseconds.
const COMMIT_TIMEOUT_MS: u64 = 1_000;

/// Nodes whose lease ran out, until all had time to give up their attempts.
#[derive(Clone, Debug, Default)]
pub struct DepartedNodes {
    nodes: BTreeMap<NodeId, Departure>,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    at: Instant,
    /// Whether the node exchanged with this instance.
    own: bool,
    given_up: bool,
}

impl DepartedNodes {
    /// Notes that a node's lease ended; `own` says whether it exchanged with this instance.
    pub fn record_departure(&mut self, node: NodeId, own: bool, at: Instant) {
        let departure = Departure {
            at,
            own,
            given_up: false,
        };
        self.nodes.insert(node, departure);
    }

    /// Notes that a node is back.
    pub fn record_return(&mut self, node: NodeId) {
        self.nodes.remove(&node);
    }

    /// Returns the nodes that are gone at `now` and whose attempts must be given up here.
    ///
    /// The instance that a node exchanged with does so, and the leader in
    /// case that instance is gone as well; doing it twice does no harm.
    #[must_use]
    pub fn nodes_to_abandon(&mut self, now: Instant, leading: bool) -> Vec<NodeId> {
        let retention = Duration::from_secs(GONE_RETENTION_S);
        self.nodes
            .retain(|_, departure| now.saturating_duration_since(departure.at) < retention);
        let gone = self.nodes.iter().filter(|(_, departure)| {
            let away = now.saturating_duration_since(departure.at);
            let due = away >= Duration::from_millis(GONE_MS);
            due && !departure.given_up && (departure.own || leading)
        });
        gone.map(|(node, _)| *node).collect()
    }

    /// Notes that a node's attempts are given up.
    pub fn mark_abandoned(&mut self, node: NodeId) {
        if let Some(departure) = self.nodes.get_mut(&node) {
            departure.given_up = true;
        }
    }
}

/// Does the upkeep until this instance stops.
///
/// # Errors
///
/// Never fails; the result fits the supervisor.
pub async fn run_upkeep<L: ControlLog, C: Clock>(core: ControlCore<L, C>) -> anyhow::Result<()> {
    let mut ticks = interval(Duration::from_millis(UPKEEP_PERIOD_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = core.stop.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
        }
        let leading = core.log.position().leader == Some(core.instance);
        core.give_up_attempts(leading).await;
        if leading {
            core.advance_time().await;
        }
    }
}

impl<L: ControlLog, C: Clock> ControlCore<L, C> {
    /// Lets re-sends of what a lost node ran learn that it may have run.
    async fn give_up_attempts(&self, leading: bool) {
        let gone = self
            .departed_nodes()
            .nodes_to_abandon(self.clock.now(), leading);
        for node in gone {
            if self.registry.contains(node) {
                self.departed_nodes().record_return(node);
                continue;
            }
            let wall_ms = self.wall_ms();
            let command = LedgerCommand::AbandonNode { node, wall_ms };
            if self.commit_upkeep(&command).await {
                self.departed_nodes().mark_abandoned(node);
            }
        }
    }

    /// Lets records expire on a group that gets no claims.
    async fn advance_time(&self) {
        let wall_ms = self.wall_ms();
        let lags = self.log.read(|state| {
            let once = state.once();
            !once.is_empty() && once.now_ms().saturating_add(TIME_LAG_MS) < wall_ms
        });
        if lags {
            let command = LedgerCommand::AdvanceTime { wall_ms };
            self.commit_upkeep(&command).await;
        }
    }

    async fn commit_upkeep(&self, command: &LedgerCommand) -> bool {
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
