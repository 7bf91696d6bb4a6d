//! Tests of the assignment of teams to instances.

use std::time::Duration;

use clock::SystemClock;
use clock::VirtualClock;
use control::assignment::plan_assignments;
use control::log::ControlLog;
use control::rollout::LiveInstance;
use control::tokens::TokenAllocators;
use ledger::ControlCommand;
use ledger::TeamAssignment;
use model::exchange::TokenDemand;

use crate::common::fake_log::FakeGroup;
use crate::common::fake_log::FakeLog;
use crate::common::standalone_core;

const LEASE: Duration = Duration::from_millis(2_450);
const TEAMS: &str = r#"
    [[team]]
    name = "a"
    rate = 0.001
    burst = 10
    [[team]]
    name = "b"
    rate = 0.001
    burst = 10
"#;

async fn assign(log: &FakeLog, assignments: Vec<TeamAssignment>) {
    let command = ControlCommand::AssignTeamOwners { assignments };
    log.propose(&command).await.unwrap();
}

fn assignment(instance: u64, replaces_epoch: u64) -> TeamAssignment {
    TeamAssignment {
        team: "a".into(),
        instance,
        incarnation: 10 * instance,
        replaces_epoch,
    }
}

fn demand(sequence: u64) -> TokenDemand {
    TokenDemand {
        team: "a".into(),
        sequence,
        term: 0,
        want_milli: 4_000,
        urgent_milli: 4_000,
        held_milli: 0,
        returned_milli: 0,
        spent_milli: 0,
        spent_age: Duration::ZERO,
    }
}

fn granted(
    allocators: &TokenAllocators<VirtualClock>,
    log: &FakeLog,
    sequence: u64,
) -> Option<u64> {
    let grants = allocators.grant(log, 1, &[demand(sequence)]);
    grants.first().map(|grant| grant.granted_milli)
}

fn update_allocators(allocators: &TokenAllocators<VirtualClock>, log: &FakeLog) {
    log.read(|state| allocators.update_from(state));
}

#[tokio::test]
async fn teams_are_balanced_over_live_instances_and_not_moved() {
    let group = FakeGroup::new(1);
    group.declare(TEAMS);
    let log = group.log(1);
    let planned = |live: &[u64], settled| {
        let live = live.iter().map(|instance| LiveInstance {
            instance: *instance,
            incarnation: 10 * instance,
        });
        let live: Vec<_> = live.collect();
        log.read(|state| {
            let declaration = state.config().declaration();
            plan_assignments(declaration, state.team_owners(), &live, settled)
        })
    };
    let first = planned(&[1, 2], false);
    assert_eq!(first.len(), 2);
    assert_ne!(first[0].instance, first[1].instance);
    assign(&log, first).await;
    assert!(planned(&[1, 2], true).is_empty());
    // A new leader waits for the first reports of its peers.
    assert!(planned(&[1], false).is_empty());
    let moved = planned(&[1], true);
    assert_eq!(moved.len(), 1);
    assert_eq!(moved[0].instance, 1);
    assert_ne!(moved[0].replaces_epoch, 0);
}

#[tokio::test]
async fn the_first_owner_of_a_team_has_the_whole_burst_at_once() {
    let group = FakeGroup::new(1);
    group.declare(TEAMS);
    let log = group.log(1);
    let allocators = TokenAllocators::new(1, 10, LEASE, VirtualClock::new());
    assign(&log, vec![assignment(1, 0)]).await;
    update_allocators(&allocators, &log);
    assert_eq!(granted(&allocators, &log, 1), Some(4_000));
}

#[tokio::test]
async fn a_later_owner_waits_until_earlier_tokens_expire() {
    let group = FakeGroup::new(1);
    group.declare(TEAMS);
    let log = group.log(1);
    let clock = VirtualClock::new();
    let allocators = TokenAllocators::new(1, 10, LEASE, clock.clone());
    assign(&log, vec![assignment(2, 0)]).await;
    update_allocators(&allocators, &log);
    assert_eq!(granted(&allocators, &log, 1), None);
    assign(&log, vec![assignment(1, 1)]).await;
    update_allocators(&allocators, &log);
    assert_eq!(granted(&allocators, &log, 2), Some(0));
    clock.advance(LEASE);
    // The burst counts as spent, and a rate of 0.001/s yields no token within a lease.
    assert_eq!(granted(&allocators, &log, 3), Some(0));
    // Another instance owns the team again: the allocator kept here grants nothing.
    assign(&log, vec![assignment(2, 2)]).await;
    assert_eq!(granted(&allocators, &log, 4), None);
}

#[tokio::test]
async fn a_redeclared_team_starts_without_tokens() {
    let group = FakeGroup::new(1);
    group.declare(TEAMS);
    let log = group.log(1);
    let allocators = TokenAllocators::new(1, 10, LEASE, VirtualClock::new());
    assign(&log, vec![assignment(1, 0)]).await;
    update_allocators(&allocators, &log);
    assert_eq!(granted(&allocators, &log, 1), Some(4_000));
    group.declare("");
    group.declare(TEAMS);
    assign(&log, vec![assignment(1, 0)]).await;
    update_allocators(&allocators, &log);
    assert_eq!(granted(&allocators, &log, 2), Some(0));
}

#[tokio::test]
async fn a_restarted_owner_reclaims_its_teams() {
    let group = FakeGroup::new(1);
    group.declare(TEAMS);
    let log = group.log(1);
    assign(&log, vec![assignment(1, 0)]).await;
    let allocators = TokenAllocators::new(1, 11, LEASE, VirtualClock::new());
    update_allocators(&allocators, &log);
    assert_eq!(granted(&allocators, &log, 1), None);
    let again = log.read(|state| allocators.teams_to_reclaim(state));
    assert_eq!((again[0].incarnation, again[0].replaces_epoch), (11, 1));
    assign(&log, again).await;
    update_allocators(&allocators, &log);
    assert_eq!(granted(&allocators, &log, 2), Some(0));
    assert!(
        log.read(|state| allocators.teams_to_reclaim(state))
            .is_empty()
    );
}

#[tokio::test]
async fn a_command_is_committed_once_a_leader_is_found() {
    let group = FakeGroup::new(2);
    group.declare(TEAMS);
    let core = standalone_core(group.log(1), SystemClock);
    group.elect(None);
    let command = ControlCommand::AssignTeamOwners {
        assignments: vec![assignment(1, 0)],
    };
    let deadline = std::time::Instant::now() + Duration::from_secs(30);
    let (outcome, ()) = tokio::join!(core.propose(&command, deadline), async {
        tokio::task::yield_now().await;
        group.elect(Some(1));
    });
    outcome.unwrap();
    assert_eq!(core.log.read(|state| state.team_owners().iter().count()), 1);
}
