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
use crate::support::change_by;
use crate::support::public;
use crate::support::submit;
use crate::support::submit_signed;

#[test]
fn two_signatures_bring_a_change_into_force() {
    let owners = TestOwners::new();
    let mut state = owners.founded();
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
fn both_owners_submit_on_one_base_at_the_same_instant() {
    let owners = TestOwners::new();
    let mut state = owners.founded();
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
fn each_owner_signs_their_own_change_and_the_loser_is_told() {
    let owners = TestOwners::new();
    let mut state = owners.founded();
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
fn a_resend_gets_the_first_answer_even_from_owners_of_the_past() {
    let owners = TestOwners::new();
    let mut state = owners.founded();
    let both = [&owners.first, &owners.second];
    let change = owners.change(0, &["a"]);
    submit(&mut state, &change, &both);
    let replaced = change_by(&owners.first, &owners.third, 1, &["a"]);
    let accepted = submit(&mut state, &replaced, &both);
    assert_eq!(accepted, ChangeStatus::Accepted(2));
    let again = submit(&mut state, &change, &[&owners.second]);
    assert_eq!(again, ChangeStatus::Accepted(1));
    assert_eq!(state.config().version(), 2);
}

#[test]
fn repeated_wrong_and_foreign_signatures_never_count() {
    let owners = TestOwners::new();
    let mut state = owners.founded();
    let change = owners.change(0, &["a"]);
    let hash = change.hash();
    let valid = OwnerSignature::sign(&owners.first, &hash);
    let mut wrong = OwnerSignature::sign(&owners.second, &hash);
    wrong.signature[3] ^= 1;
    let mut posing = OwnerSignature::sign(&owners.first, &hash);
    posing.owner = public(&owners.second);
    let other_change = OwnerSignature::sign(&owners.second, &owners.change(0, &["b"]).hash());
    let foreign = OwnerSignature::sign(&owners.stranger, &hash);
    let useless = [wrong, posing, other_change, foreign, valid.clone()];
    for signature in useless.clone() {
        let signatures = vec![valid.clone(), signature, valid.clone()];
        let status = submit_signed(&mut state, &change, signatures);
        assert_eq!(status, ChangeStatus::Pending);
    }
    let other = owners.change(0, &["c"]);
    for signature in useless {
        let status = submit_signed(&mut state, &other, vec![signature]);
        assert!(matches!(status, ChangeStatus::Invalid(_)), "{status:?}");
    }
    assert_eq!(state.config().version(), 0);
    // Ignored signatures do not prevent the acceptance.
    let accepted = submit(&mut state, &change, &[&owners.second]);
    assert_eq!(accepted, ChangeStatus::Accepted(1));
}

#[test]
fn replaced_owners_need_the_signatures_of_those_in_force() {
    let owners = TestOwners::new();
    let mut state = owners.founded();
    let replaced = change_by(&owners.first, &owners.third, 0, &[]);
    let status = submit(&mut state, &replaced, &[&owners.first, &owners.third]);
    assert_eq!(status, ChangeStatus::Pending);
    let status = submit(&mut state, &replaced, &[&owners.second]);
    assert_eq!(status, ChangeStatus::Accepted(1));
    let next = change_by(&owners.first, &owners.third, 1, &["a"]);
    let status = submit(&mut state, &next, &[&owners.second]);
    assert!(matches!(status, ChangeStatus::Invalid(_)), "{status:?}");
    let status = submit(&mut state, &next, &[&owners.first, &owners.third]);
    assert_eq!(status, ChangeStatus::Accepted(2));
}

#[test]
fn an_invalid_text_or_a_base_ahead_is_refused_and_may_be_sent_later() {
    let owners = TestOwners::new();
    let mut state = owners.founded();
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
fn one_owner_cannot_push_out_what_the_other_proposed() {
    let owners = TestOwners::new();
    let mut state = owners.founded();
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
fn only_the_first_genesis_counts() {
    let owners = TestOwners::new();
    let mut state = owners.founded();
    let swapped = vec![public(&owners.second), public(&owners.first)];
    let again = ControlCommand::SetInitialOwners { owners: swapped };
    assert_eq!(apply(&mut state, &again), CommandOutcome::Done);
    let others = vec![public(&owners.second), public(&owners.third)];
    let other = ControlCommand::SetInitialOwners { owners: others };
    let outcome = apply(&mut state, &other);
    assert!(matches!(outcome, CommandOutcome::Refused(_)), "{outcome:?}");
    let mut fresh = ControlState::default();
    let repeated = vec![public(&owners.first); 2];
    let outcome = apply(
        &mut fresh,
        &ControlCommand::SetInitialOwners { owners: repeated },
    );
    assert!(matches!(outcome, CommandOutcome::Refused(_)), "{outcome:?}");
}

#[test]
fn before_genesis_nothing_is_accepted() {
    let owners = TestOwners::new();
    let mut state = ControlState::default();
    let both = [&owners.first, &owners.second];
    let status = submit(&mut state, &owners.change(0, &["a"]), &both);
    assert!(matches!(status, ChangeStatus::Invalid(_)), "{status:?}");
    assert_eq!(state.config().version(), 0);
}

#[test]
fn nodes_get_deltas_and_those_far_behind_the_whole() {
    let owners = TestOwners::new();
    let mut state = owners.founded();
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
