//! Assigns each team to the instance that grants its tokens.

use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use ledger::ControlCommand;
use ledger::TeamAssignment;
use ledger::TeamOwnerTable;
use model::declaration::Declaration;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tracing::info;
use tracing::warn;

use crate::core::ControlCore;
use crate::log::ControlLog;
use crate::rollout::LiveInstance;

/// Period of the checks of team owners, in milliseconds.
const CHECK_PERIOD_MS: u64 = 100;
/// Time without a report after which an instance loses its teams, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 2_000;
/// Time for which a new leader waits for reports of all peers, in milliseconds.
const PEER_DISCOVERY_MS: u64 = 500;
/// Timeout for the commit of an assignment, in milliseconds.
const ASSIGN_TIMEOUT_MS: u64 = 1_000;

/// Assigns every team to a live instance, until this one stops.
///
/// # Errors
///
/// Never fails; the supervisor requires a result.
pub async fn assign_owners<L: ControlLog, C: Clock>(core: ControlCore<L, C>) -> anyhow::Result<()> {
    let mut ticks = interval(Duration::from_millis(CHECK_PERIOD_MS));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut leading_since = None;
    loop {
        tokio::select! {
            () = core.stop.cancelled() => return Ok(()),
            _ = ticks.tick() => {}
        }
        let to_reclaim = core
            .log
            .read(|state| core.token_allocators.teams_to_reclaim(state));
        core.commit_assignments(to_reclaim).await;
        if core.log.status().leader != Some(core.instance) {
            leading_since = None;
            continue;
        }
        // The first reports of peers take a while, and peers must not lose their teams before.
        let since = *leading_since.get_or_insert_with(|| core.clock.now());
        let leading_for = core.clock.now().saturating_duration_since(since);
        core.set_initial_owners().await;
        core.commit_assignments(core.plan_team_assignments(leading_for))
            .await;
    }
}

impl<L: ControlLog, C: Clock> ControlCore<L, C> {
    /// Commits the initial declaration owners of a new group.
    async fn set_initial_owners(&self) {
        if self.has_initial_owners() {
            return;
        }
        let owners = self.config.owners.clone();
        match self
            .log
            .propose(&ControlCommand::SetInitialOwners { owners })
            .await
        {
            Ok(outcome) => info!(event = "group-founded", outcome = ?outcome),
            Err(error) => warn!(event = "group-not-founded", %error),
        }
    }

    /// Plans assignments as the leader, which this instance has been for `leading_for`.
    fn plan_team_assignments(&self, leading_for: Duration) -> Vec<TeamAssignment> {
        let peer_timeout = Duration::from_millis(PEER_TIMEOUT_MS);
        let mut live = self.rollout.live_peers(peer_timeout);
        let all_peers_heard = live.len() >= self.mesh.peers().len();
        if !all_peers_heard && leading_for < Duration::from_millis(PEER_DISCOVERY_MS) {
            return Vec::new();
        }
        let reassign_lost = leading_for >= peer_timeout;
        live.push(LiveInstance {
            instance: self.instance,
            incarnation: self.incarnation,
        });
        self.log.read(|state| {
            let declaration = state.config().declaration();
            plan_assignments(declaration, state.team_owners(), &live, reassign_lost)
        })
    }

    async fn commit_assignments(&self, assignments: Vec<TeamAssignment>) {
        if assignments.is_empty() {
            return;
        }
        let teams = assignments.len();
        let command = ControlCommand::AssignTeamOwners { assignments };
        let deadline = Instant::now() + Duration::from_millis(ASSIGN_TIMEOUT_MS);
        match self.propose(&command, deadline).await {
            Ok(_) => info!(event = "owners-assigned", teams),
            Err(error) => warn!(event = "owners-not-assigned", teams, %error),
        }
    }
}

/// Returns assignments for teams without an owner and, with `reassign_lost`, for
/// teams whose owner is not live.
///
/// A restarted instance reclaims its teams itself.
#[must_use]
pub fn plan_assignments(
    declaration: &Declaration,
    owners: &TeamOwnerTable,
    live: &[LiveInstance],
    reassign_lost: bool,
) -> Vec<TeamAssignment> {
    let mut loads: Vec<_> = live
        .iter()
        .map(|live| InstanceLoad::new(*live, owners))
        .collect();
    let mut planned = Vec::new();
    for team in &declaration.teams {
        let owner = owners.owner(&team.name);
        let is_live = |instance| live.iter().any(|live| live.instance == instance);
        if owner.is_some_and(|owner| !reassign_lost || is_live(owner.instance)) {
            continue;
        }
        let Some(least_loaded) = loads.iter_mut().min_by_key(|load| load.teams) else {
            continue;
        };
        least_loaded.teams += 1;
        planned.push(TeamAssignment {
            team: team.name.clone(),
            instance: least_loaded.live.instance,
            incarnation: least_loaded.live.incarnation,
            replaces_epoch: owner.map_or(0, |owner| owner.epoch),
        });
    }
    planned
}

/// Number of teams that a live instance owns.
struct InstanceLoad {
    live: LiveInstance,
    teams: usize,
}

impl InstanceLoad {
    fn new(live: LiveInstance, owners: &TeamOwnerTable) -> Self {
        let owned = owners
            .iter()
            .filter(|owner| owner.instance == live.instance);
        Self {
            live,
            teams: owned.count(),
        }
    }
}
