//! Assignment of teams to control instances.

use ledger::CommandOutcome;
use ledger::ControlCommand;
use ledger::ControlState;
use ledger::TeamAssignment;
use ledger::TeamOwner;

use crate::support::TestOwners;
use crate::support::apply;
use crate::support::submit;

fn assign(
    state: &mut ControlState,
    team: &str,
    instance: u64,
    replaces_epoch: u64,
) -> Option<TeamOwner> {
    let assignment = TeamAssignment {
        team: team.into(),
        instance,
        incarnation: 7,
        replaces_epoch,
    };
    let command = ControlCommand::AssignTeamOwners {
        assignments: vec![assignment],
    };
    match apply(state, &command) {
        CommandOutcome::Owners(mut owners) => owners.pop(),
        other => panic!("unexpected {other:?}"),
    }
}

#[test]
fn only_one_of_two_concurrent_assignments_succeeds() {
    let owners = TestOwners::new();
    let mut state = owners.initialized_state();
    let both = [&owners.first, &owners.second];
    submit(&mut state, &owners.change(0, &["a"]), &both);
    let first = assign(&mut state, "a", 1, 0).expect("owned");
    let second = assign(&mut state, "a", 2, 0).expect("owned");
    assert_eq!(second, first);
    assert_eq!((first.instance, first.incarnation), (1, 7));
    assert!(first.is_first);
    // An instance that lost its token counts in a restart assigns its team to itself again.
    let third = assign(&mut state, "a", 1, first.epoch).expect("owned");
    assert!(third.epoch > first.epoch && !third.is_first);
    let taken = assign(&mut state, "a", 2, third.epoch).expect("owned");
    assert_eq!(taken.instance, 2);
    assert_eq!(state.team_owners().owner("a"), Some(&taken));
}

#[test]
fn removed_team_has_no_owner_and_returns_under_a_new_epoch() {
    let owners = TestOwners::new();
    let mut state = owners.initialized_state();
    let both = [&owners.first, &owners.second];
    assert_eq!(assign(&mut state, "a", 1, 0), None);
    submit(&mut state, &owners.change(0, &["a"]), &both);
    let first = assign(&mut state, "a", 1, 0).expect("owned");
    submit(&mut state, &owners.change(1, &[]), &both);
    assert_eq!(state.team_owners().owner("a"), None);
    submit(&mut state, &owners.change(2, &["a"]), &both);
    let second = assign(&mut state, "a", 1, 0).expect("owned");
    // Nodes may still hold tokens of the first ownership.
    assert!(second.epoch > first.epoch && !second.is_first);
}
