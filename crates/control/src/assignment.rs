//! The choice of which instance grants the tokens of which team.

use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use ledger::LedgerCommand;
use ledger::OwnerTable;
use ledger::TeamAssignment;
use model::declaration::Declaration;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tracing::info;
use tracing::warn;

use crate::core::ControlCore;
use crate::log::ControlLog;
use crate::rollout::LiveInstance;

/// Period in which the owners are checked, in milliseconds.
const CHECK_PERIOD_MS: u64 = 100;
/// Silence after which an instance loses its teams, in milliseconds.
const SILENCE_MS: u64 = 2_000;
/// Time for which a new leader waits to hear of all peers, in milliseconds.
const GREETING_MS: u64 = 500;
/// Time to commit an assignment, in milliseconds.
const ASSIGN_TIMEOUT_MS: u64 = 1_000;

/// Keeps every team owned by a live instance, until this one stops.
///
/// # Errors
///
/// Never fails; the result fits the supervisor.
pub async fn assign_owners<L: ControlLog, C: Clock>(core: ControlCore<L, C>) -> anyhow::Result<()> {
    let mut ticks = interval(Duration::from_millis(CHECK_PERIOD_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leading_since = None;
    loop {
        tokio::select! {
            () = core.stop.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
        }
        let stale = core
            .log
            .read(|state| core.token_allocators.teams_to_reclaim(state));
        core.assign(stale).await;
        if core.log.position().leader != Some(core.instance) {
            leading_since = None;
            continue;
        }
        // Peers are heard of only after a while, and must not lose their teams before.
        let since = *leading_since.get_or_insert_with(|| core.clock.now());
        let led = core.clock.now().saturating_duration_since(since);
        core.set_initial_owners().await;
        core.assign(core.planned_owners(led)).await;
    }
}

impl<L: ControlLog, C: Clock> ControlCore<L, C> {
    /// Sets the first owners of a new group.
    async fn set_initial_owners(&self) {
        if self.has_initial_owners() {
            return;
        }
        let owners = self.config.owners.clone();
        match self.log.propose(&LedgerCommand::Genesis { owners }).await {
            Ok(outcome) => info!(event = "group-founded", outcome = ?outcome),
            Err(error) => warn!(event = "group-not-founded", %error),
        }
    }

    /// Plans what a leader commits that has led for the time `led`.
    fn planned_owners(&self, led: Duration) -> Vec<TeamAssignment> {
        let silence = Duration::from_millis(SILENCE_MS);
        let mut live = self.rollout.live_peers(silence);
        let all_heard = live.len() >= self.mesh.peers().len();
        if !all_heard && led < Duration::from_millis(GREETING_MS) {
            return Vec::new();
        }
        let settled = led >= silence;
        live.push(LiveInstance {
            instance: self.instance,
            incarnation: self.incarnation,
        });
        self.log.read(|state| {
            let declaration = state.config().declaration();
            plan_assignments(declaration, state.owners(), &live, settled)
        })
    }

    async fn assign(&self, assignments: Vec<TeamAssignment>) {
        if assignments.is_empty() {
            return;
        }
        let teams = assignments.len();
        let command = LedgerCommand::AssignOwners { assignments };
        let deadline = Instant::now() + Duration::from_millis(ASSIGN_TIMEOUT_MS);
        match self.propose(&command, deadline).await {
            Ok(_) => info!(event = "owners-assigned", teams),
            Err(error) => warn!(event = "owners-not-assigned", teams, %error),
        }
    }
}

/// Returns assignments for teams without an owner and, once `settled`, for
/// those whose owner is not live.
///
/// A restarted instance takes its teams again by itself.
#[must_use]
pub fn plan_assignments(
    declaration: &Declaration,
    owners: &OwnerTable,
    live: &[LiveInstance],
    settled: bool,
) -> Vec<TeamAssignment> {
    let mut loads: Vec<_> = live
        .iter()
        .map(|live| OwnerLoad::of(*live, owners))
        .collect();
    let mut planned = Vec::new();
    for team in &declaration.teams {
        let owner = owners.owner(&team.name);
        let is_live = |instance| live.iter().any(|live| live.instance == instance);
        if owner.is_some_and(|owner| !settled || is_live(owner.instance)) {
            continue;
        }
        let Some(least) = loads.iter_mut().min_by_key(|load| load.teams) else {
            continue;
        };
        least.teams += 1;
        planned.push(TeamAssignment {
            team: team.name.clone(),
            instance: least.live.instance,
            incarnation: least.live.incarnation,
            replaces: owner.map_or(0, |owner| owner.epoch),
        });
    }
    planned
}

/// Teams that a live instance owns.
struct OwnerLoad {
    live: LiveInstance,
    teams: usize,
}

impl OwnerLoad {
    fn of(live: LiveInstance, owners: &OwnerTable) -> Self {
        let own = owners
            .iter()
            .filter(|owner| owner.instance == live.instance);
        Self {
            live,
            teams: own.count(),
        }
    }
}
