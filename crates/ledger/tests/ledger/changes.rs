//! Changes of the declaration: each takes effect exactly once, after both owners signed it.

use ledger::CommandOutcome;
use ledger::ControlCommand;
use ledger::ControlState;
use model::change::ChangeStatus;
use model::change::OwnerSignature;
use model::declaration::Declaration;
use model::exchange::ConfigUpdate;

use crate::support::TestOwners;
use crate::support::apply;
use crate::support::change_with_owners;
use crate::support::public_key;
use crate::support::submit;
use crate::support::submit_signed;

#[test]
fn change_takes_effect_once_both_owners_signed() {
    let owners = TestOwners::new();
    let mut state = owners.initialized_state();
    let change = owners.change(0, &["a"]);
    let first = submit(&mut state, &change, &[&owners.first]);
    assert_eq!(first, ChangeStatus::Pending);
    assert_eq!(state.config().status(&change.hash()), ChangeStatus::Pending);
    assert_eq!(state.config().version(), 0);
    let second = submit(&mut state, &change, &[&owners.second]);
    assert_eq!(second, ChangeStatus::Accepted(1));
    assert_eq!(state.config().text(), change.text);
    assert_eq!(state.config().declaration().teams.len(), 1);
}

#[test]
fn second_change_on_the_same_base_is_a_conflict() {
    let owners = TestOwners::new();
    let mut state = owners.initialized_state();
    let left = owners.change(0, &["left"]);
    let right = owners.change(0, &["right"]);
    let both = [&owners.first, &owners.second];
    assert_eq!(submit(&mut state, &left, &both), ChangeStatus::Accepted(1));
    let conflict = ChangeStatus::Conflict { current: 1 };
    assert_eq!(submit(&mut state, &right, &both), conflict);
    assert_eq!(state.config().text(), left.text);
    // Later changes do not alter the original results.
    let next = owners.change(1, &["left", "next"]);
    assert_eq!(submit(&mut state, &next, &both), ChangeStatus::Accepted(2));
    assert_eq!(submit(&mut state, &left, &both), ChangeStatus::Accepted(1));
    assert_eq!(submit(&mut state, &right, &both), conflict);
    assert_eq!(state.config().status(&right.hash()), conflict);
    assert_eq!(state.config().version(), 2);
}

#[test]
fn pending_change_becomes_a_conflict_once_another_is_accepted() {
    let owners = TestOwners::new();
    let mut state = owners.initialized_state();
    let left = owners.change(0, &["left"]);
    let right = owners.change(0, &["right"]);
    submit(&mut state, &left, &[&owners.first]);
    submit(&mut state, &right, &[&owners.second]);
    let accepted = submit(&mut state, &right, &[&owners.first]);
    assert_eq!(accepted, ChangeStatus::Accepted(1));
    let conflict = ChangeStatus::Conflict { current: 1 };
    assert_eq!(state.config().status(&left.hash()), conflict);
    assert_eq!(submit(&mut state, &left, &[&owners.second]), conflict);
}

#[test]
fn resubmission_gets_the_original_result_after_owners_were_replaced() {
    let owners = TestOwners::new();
    let mut state = owners.initialized_state();
    let both = [&owners.first, &owners.second];
    let change = owners.change(0, &["a"]);
    submit(&mut state, &change, &both);
    let replaced = change_with_owners(&owners.first, &owners.third, 1, &["a"]);
    let accepted = submit(&mut state, &replaced, &both);
    assert_eq!(accepted, ChangeStatus::Accepted(2));
    let repeated = submit(&mut state, &change, &[&owners.second]);
    assert_eq!(repeated, ChangeStatus::Accepted(1));
    assert_eq!(state.config().version(), 2);
}

#[test]
fn repeated_invalid_and_foreign_signatures_are_ignored() {
    let owners = TestOwners::new();
    let mut state = owners.initialized_state();
    let change = owners.change(0, &["a"]);
    let hash = change.hash();
    let valid = OwnerSignature::sign(&owners.first, &hash);
    let mut wrong = OwnerSignature::sign(&owners.second, &hash);
    wrong.signature[3] ^= 1;
    let mut impersonating = OwnerSignature::sign(&owners.first, &hash);
    impersonating.owner = public_key(&owners.second);
    let other_change = OwnerSignature::sign(&owners.second, &owners.change(0, &["b"]).hash());
    let foreign = OwnerSignature::sign(&owners.non_owner, &hash);
    let ignored = [wrong, impersonating, other_change, foreign, valid.clone()];
    for signature in ignored.clone() {
        let signatures = vec![valid.clone(), signature, valid.clone()];
        let status = submit_signed(&mut state, &change, signatures);
        assert_eq!(status, ChangeStatus::Pending);
    }
    let other = owners.change(0, &["c"]);
    for signature in ignored {
        let status = submit_signed(&mut state, &other, vec![signature]);
        assert!(matches!(status, ChangeStatus::Invalid(_)), "{status:?}");
    }
    assert_eq!(state.config().version(), 0);
    // Ignored signatures do not prevent the acceptance.
    let accepted = submit(&mut state, &change, &[&owners.second]);
    assert_eq!(accepted, ChangeStatus::Accepted(1));
}

#[test]
fn replacing_owners_needs_the_signatures_of_those_in_force() {
    let owners = TestOwners::new();
    let mut state = owners.initialized_state();
    let replaced = change_with_owners(&owners.first, &owners.third, 0, &[]);
    let status = submit(&mut state, &replaced, &[&owners.first, &owners.third]);
    assert_eq!(status, ChangeStatus::Pending);
    let status = submit(&mut state, &replaced, &[&owners.second]);
    assert_eq!(status, ChangeStatus::Accepted(1));
    let next = change_with_owners(&owners.first, &owners.third, 1, &["a"]);
    let status = submit(&mut state, &next, &[&owners.second]);
    assert!(matches!(status, ChangeStatus::Invalid(_)), "{status:?}");
    let status = submit(&mut state, &next, &[&owners.first, &owners.third]);
    assert_eq!(status, ChangeStatus::Accepted(2));
}

#[test]
fn change_with_invalid_text_or_future_base_is_rejected_and_may_be_resubmitted() {
    let owners = TestOwners::new();
    let mut state = owners.initialized_state();
    let both = [&owners.first, &owners.second];
    let mut broken = owners.change(0, &["a"]);
    broken.text.push_str("weight = 3\n");
    let status = submit(&mut state, &broken, &both);
    let ChangeStatus::Invalid(reason) = status else {
        panic!("unexpected {status:?}");
    };
    assert!(reason.contains("weight"), "{reason}");
    let ahead = owners.change(1, &["b"]);
    let status = submit(&mut state, &ahead, &both);
    assert!(matches!(status, ChangeStatus::Invalid(_)), "{status:?}");
    submit(&mut state, &owners.change(0, &["a"]), &both);
    assert_eq!(submit(&mut state, &ahead, &both), ChangeStatus::Accepted(2));
}

#[test]
fn one_owner_cannot_evict_the_pending_changes_of_the_other() {
    let owners = TestOwners::new();
    let mut state = owners.initialized_state();
    let kept = owners.change(0, &["kept"]);
    submit(&mut state, &kept, &[&owners.second]);
    let oldest = owners.change(0, &["team-0"]);
    for number in 0..100 {
        let name = format!("team-{number}");
        submit(&mut state, &owners.change(0, &[&name]), &[&owners.first]);
    }
    let status = |state: &ControlState, hash| state.config().status(&hash);
    assert_eq!(status(&state, oldest.hash()), ChangeStatus::Unknown);
    assert_eq!(status(&state, kept.hash()), ChangeStatus::Pending);
    let accepted = submit(&mut state, &kept, &[&owners.first]);
    assert_eq!(accepted, ChangeStatus::Accepted(1));
}

#[test]
fn initial_owners_are_set_only_once() {
    let owners = TestOwners::new();
    let mut state = owners.initialized_state();
    let swapped = vec![public_key(&owners.second), public_key(&owners.first)];
    let swapped_command = ControlCommand::SetInitialOwners { owners: swapped };
    assert_eq!(apply(&mut state, &swapped_command), CommandOutcome::Done);
    let others = vec![public_key(&owners.second), public_key(&owners.third)];
    let other = ControlCommand::SetInitialOwners { owners: others };
    let outcome = apply(&mut state, &other);
    assert!(matches!(outcome, CommandOutcome::Refused(_)), "{outcome:?}");
    let mut fresh = ControlState::default();
    let repeated = vec![public_key(&owners.first); 2];
    let outcome = apply(
        &mut fresh,
        &ControlCommand::SetInitialOwners { owners: repeated },
    );
    assert!(matches!(outcome, CommandOutcome::Refused(_)), "{outcome:?}");
}

#[test]
fn changes_are_rejected_before_the_initial_owners_are_set() {
    let owners = TestOwners::new();
    let mut state = ControlState::default();
    let both = [&owners.first, &owners.second];
    let status = submit(&mut state, &owners.change(0, &["a"]), &both);
    assert!(matches!(status, ChangeStatus::Invalid(_)), "{status:?}");
    assert_eq!(state.config().version(), 0);
}

#[test]
fn nodes_get_deltas_or_the_full_declaration_if_far_behind() {
    let owners = TestOwners::new();
    let mut state = owners.initialized_state();
    let both = [&owners.first, &owners.second];
    let mut seen = vec![state.config().declaration().as_ref().clone()];
    for version in 0..100 {
        let name = format!("team-{version}");
        let change = owners.change(version, &["a", &name]);
        submit(&mut state, &change, &both);
        seen.push(state.config().declaration().as_ref().clone());
    }
    let current = state.config().declaration().as_ref();
    assert_eq!(state.config().update_from(100), ConfigUpdate::Current);
    assert_eq!(state.config().update_from(101), ConfigUpdate::Current);
    assert!(matches!(
        state.config().update_from(35),
        ConfigUpdate::Full(_)
    ));
    for old in &seen[36..100] {
        let update = state.config().update_from(old.version);
        let ConfigUpdate::Delta(delta) = update else {
            panic!("unexpected {update:?}");
        };
        let reached: Declaration = old.apply(&delta).expect("fits");
        assert_eq!(&reached, current);
    }
}
