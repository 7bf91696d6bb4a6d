//! The leader's choice of which instance grants the tokens of which team.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Clock;
use model::declaration::Declaration;
use model::ids::InstanceId;
use model::ids::TeamName;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;
use tracing::info;
use tracing::warn;

use crate::core::ControlCore;
use crate::force::LiveInstance;
use crate::log::ControlLog;
use crate::log::TeamOwner;

/// Period in which the leader checks the owners, in milliseconds.
const CHECK_PERIOD_MS: u64 = 200;
/// Silence after which an instance loses its teams, in milliseconds.
const SILENCE_MS: u64 = 2_000;

/// Assigns teams without a live owner while this instance leads.
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
        if core.log.position().leader != Some(core.own) {
            leading_since = None;
            continue;
        }
        // Peers are heard of only after a while, and must not lose their teams before.
        let since = *leading_since.get_or_insert_with(|| core.clock.now());
        let silence = Duration::from_millis(SILENCE_MS);
        let settled = core.clock.now() >= since + silence;
        assign_once(&core, settled).await;
    }
}

async fn assign_once<L: ControlLog, C: Clock>(core: &ControlCore<L, C>, settled: bool) {
    let mut live = core.force.live_peers(Duration::from_millis(SILENCE_MS));
    live.push(LiveInstance {
        instance: core.own,
        incarnation: core.incarnation,
    });
    let owners = core.log.owners();
    let config = core.log.config();
    let planned = plan_owners(&config.declaration, &owners, &live, settled);
    if planned.is_empty() {
        return;
    }
    let teams = planned.len();
    match core.log.assign(planned).await {
        Ok(()) => info!(event = "owners-assigned", teams),
        Err(error) => warn!(event = "owners-not-assigned", teams, %error),
    }
}

/// Returns the owners to commit: for teams that have none, and, once
/// `settled`, for those whose owner is not live or was restarted.
#[must_use]
pub fn plan_owners(
    declaration: &Declaration,
    owners: &[TeamOwner],
    live: &[LiveInstance],
    settled: bool,
) -> Vec<TeamOwner> {
    let known: BTreeMap<&TeamName, &TeamOwner> =
        owners.iter().map(|owner| (&owner.team, owner)).collect();
    let mut counts: BTreeMap<InstanceId, usize> =
        live.iter().map(|live| (live.instance, 0)).collect();
    for owner in owners {
        if let Some(count) = counts.get_mut(&owner.instance) {
            *count += 1;
        }
    }
    let mut planned = Vec::new();
    for team in &declaration.teams {
        let owner = known.get(&team.name);
        if owner.is_some_and(|owner| keeps_team(owner, live, settled)) {
            continue;
        }
        let Some(chosen) = live.iter().min_by_key(|live| counts[&live.instance]) else {
            continue;
        };
        *counts.entry(chosen.instance).or_default() += 1;
        planned.push(TeamOwner {
            team: team.name.clone(),
            instance: chosen.instance,
            incarnation: chosen.incarnation,
            term: owner.map_or(0, |owner| owner.term) + 1,
            first: owner.is_none(),
        });
    }
    planned
}

fn keeps_team(owner: &TeamOwner, live: &[LiveInstance], settled: bool) -> bool {
    let heard = live.iter().find(|live| live.instance == owner.instance);
    match heard {
        Some(heard) => heard.incarnation == owner.incarnation,
        None => !settled,
    }
}
