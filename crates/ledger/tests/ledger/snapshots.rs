//! Rejection of invalid entries and snapshots.

use ledger::CommandOutcome;
use ledger::ControlState;
use replica::StateMachine;

use crate::support::TestOwners;
use crate::support::submit;

fn sample_state() -> ControlState {
    let owners = TestOwners::new();
    let mut state = owners.initialized_state();
    let both = [&owners.first, &owners.second];
    submit(&mut state, &owners.change(0, &["a", "b"]), &both);
    submit(&mut state, &owners.change(1, &["c"]), &[&owners.first]);
    state
}

#[test]
fn damaged_snapshot_is_rejected_and_leaves_the_state_unchanged() {
    let snapshot = sample_state().snapshot();
    for position in 0..snapshot.len() {
        let mut damaged = snapshot.clone();
        damaged[position] ^= 0x11;
        let mut state = ControlState::default();
        let before = state.digest();
        assert!(state.restore(&damaged).is_err(), "byte {position}");
        assert_eq!(state.digest(), before);
    }
    for length in 0..snapshot.len() {
        let mut state = ControlState::default();
        assert!(state.restore(&snapshot[..length]).is_err());
    }
}

#[test]
fn snapshot_keeps_the_applied_index_and_the_digest() {
    let mut state = sample_state();
    let outcome = state.apply(42, &[]);
    assert!(matches!(outcome, CommandOutcome::Refused(_)), "{outcome:?}");
    let mut restored = ControlState::default();
    restored.restore(&state.snapshot()).expect("restores");
    assert_eq!(
        (restored.applied_index(), restored.digest()),
        (42, state.digest())
    );
}

#[test]
fn snapshot_of_another_version_is_rejected_with_both_versions_named() {
    let mut snapshot = sample_state().snapshot();
    snapshot[0] = 9;
    let error = ControlState::default()
        .restore(&snapshot)
        .expect_err("refused");
    let text = format!("{error:#}");
    assert_eq!(
        text,
        "snapshot of the control state: version 9 is not supported, expected 1"
    );
}

#[test]
fn invalid_entries_change_nothing() {
    let mut state = sample_state();
    let before = state.digest();
    let entries: [&[u8]; 4] = [&[], &[1], &[9, 0], &[1, 200, 1, 1, 1, 1]];
    for entry in entries {
        let outcome = state.apply(1, entry);
        assert!(matches!(outcome, CommandOutcome::Refused(_)), "{outcome:?}");
    }
    assert_eq!(state.digest(), before);
}
