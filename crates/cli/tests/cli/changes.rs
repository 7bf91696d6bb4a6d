//! Two owners propose, lose answers, and meet conflicts.

use std::fs;

use cli::exit::ExitKind;
use serde_json::json;

use crate::fake_control::FakeControl;
use crate::support::Workplace;
use crate::support::list;
use crate::support::run;

#[test]
fn two_owners_bring_a_declaration_into_force() {
    let workplace = Workplace::new();
    let control = FakeControl::start(&workplace, 1);
    let file = workplace.declaration("new.toml", &["la-pluma"]);
    let first = workplace.propose(&file, "first.key", &control.first());
    assert_eq!(first.exit, ExitKind::Pending);
    let second = workplace.propose(&file, "second.key", &control.first());
    assert_eq!(second.exit, ExitKind::Done);
    assert_eq!(second.json()["hash"], first.json()["hash"]);
    assert_eq!(second.json()["status"], json!({ "Accepted": 1 }));
    assert_eq!(second.json()["plan"]["rows"][0]["name"], "la-pluma");
}

#[test]
fn a_lost_answer_is_asked_for_again_elsewhere_and_is_the_first_answer() {
    let workplace = Workplace::new();
    let control = FakeControl::start(&workplace, 2);
    let file = workplace.declaration("new.toml", &["la-pluma"]);
    let both = list(&control.addresses);
    workplace.propose(&file, "first.key", &both);
    control.state.lock().expect("state").lost_answers = 1;
    let second = workplace.propose(&file, "second.key", &both);
    assert_eq!(second.exit, ExitKind::Done);
    assert_eq!(second.json()["status"], json!({ "Accepted": 1 }));
    assert_eq!(control.state.lock().expect("state").submissions, 3);
}

#[test]
fn an_owner_who_lost_every_answer_proposes_again_without_a_second_version() {
    let workplace = Workplace::new();
    let control = FakeControl::start(&workplace, 1);
    let file = workplace.declaration("new.toml", &["la-pluma"]);
    workplace.propose(&file, "first.key", &control.first());
    control.state.lock().expect("state").lost_answers = 1;
    let lost = workplace.propose(&file, "second.key", &control.first());
    assert_eq!(lost.exit, ExitKind::Unreachable);
    let again = workplace.propose(&file, "second.key", &control.first());
    assert_eq!(again.exit, ExitKind::Done);
    assert_eq!(again.json()["status"], json!({ "Accepted": 1 }));
    let state = control.state.lock().expect("state");
    assert_eq!(state.ledger.config().version(), 1);
}

#[test]
fn the_loser_of_two_changes_on_one_base_is_shown_what_now_differs() {
    let workplace = Workplace::new();
    let control = FakeControl::start(&workplace, 1);
    let left = workplace.declaration("left.toml", &["left"]);
    let right = workplace.declaration("right.toml", &["right"]);
    let address = control.first();
    let propose = |file: &str, owner: &str| {
        let key = workplace.text(owner);
        workplace.run(&[
            "propose",
            file,
            "--base",
            "0",
            "--key",
            &key,
            "--control",
            &address,
        ])
    };
    propose(&left, "first.key");
    propose(&right, "second.key");
    assert_eq!(propose(&left, "second.key").exit, ExitKind::Done);
    let refused = propose(&right, "first.key");
    assert_eq!(refused.exit, ExitKind::Conflict);
    assert_eq!(
        refused.json()["status"],
        json!({ "Conflict": { "current": 1 } })
    );
    let rows = &refused.json()["plan"]["rows"];
    assert_eq!(rows[0]["action"], "remove");
    assert_eq!(rows[0]["name"], "left");
    assert_eq!(rows[1]["action"], "add");
    assert_eq!(rows[1]["name"], "right");
}

#[test]
fn a_change_that_was_overtaken_on_its_way_is_compared_with_the_winner() {
    let workplace = Workplace::new();
    let control = FakeControl::start(&workplace, 1);
    let seen = control.state.lock().expect("state").declaration();
    let left = workplace.declaration("left.toml", &["left"]);
    for owner in ["first.key", "second.key"] {
        workplace.propose(&left, owner, &control.first());
    }
    control.state.lock().expect("state").stale = Some(seen);
    let right = workplace.declaration("right.toml", &["right"]);
    let refused = workplace.propose(&right, "first.key", &control.first());
    assert_eq!(refused.exit, ExitKind::Conflict);
    assert_eq!(refused.json()["plan"]["version"], 1);
    assert_eq!(refused.json()["plan"]["rows"][0]["name"], "left");
}

#[test]
fn waiting_tells_accepted_from_in_force() {
    let workplace = Workplace::new();
    let control = FakeControl::start(&workplace, 1);
    let file = workplace.declaration("new.toml", &["la-pluma"]);
    workplace.propose(&file, "first.key", &control.first());
    let key = workplace.text("second.key");
    let address = control.first();
    let mut words = vec![
        "propose",
        &file,
        "--base",
        "0",
        "--key",
        &key,
        "--control",
        &address,
    ];
    words.extend(["--wait", "0"]);
    assert_eq!(workplace.run(&words).exit, ExitKind::NotInForce);
    control.state.lock().expect("state").in_force = true;
    assert_eq!(workplace.run(&words).exit, ExitKind::Done);
}

#[test]
fn a_signature_made_without_a_connection_counts() {
    let workplace = Workplace::new();
    let control = FakeControl::start(&workplace, 1);
    let file = workplace.declaration("new.toml", &["la-pluma"]);
    let second = workplace.text("second.key");
    let signed = run(&["sign", &file, "--base", "0", "--key", &second]);
    let signature = workplace.text("signature.json");
    fs::write(&signature, &signed.output).expect("written");
    let key = workplace.text("first.key");
    let address = control.first();
    let mut words = vec!["propose", &file, "--key", &key, "--control", &address];
    words.extend(["--signature", &signature]);
    assert_eq!(workplace.run(&words).exit, ExitKind::Done);
    // The same signature does not fit another declaration.
    let other = workplace.declaration("other.toml", &["el-nido"]);
    words[1] = &other;
    assert_eq!(workplace.run(&words).exit, ExitKind::Usage);
}

#[test]
fn a_plan_changes_nothing() {
    let workplace = Workplace::new();
    let control = FakeControl::start(&workplace, 1);
    let file = workplace.declaration("new.toml", &["la-pluma"]);
    let plan = workplace.run(&["plan", &file, "--control", &control.first()]);
    assert_eq!(plan.exit, ExitKind::Done);
    assert_eq!(plan.json()["rows"][0]["after"], "5/s, burst 10");
    assert_eq!(control.state.lock().expect("state").submissions, 0);
}

#[test]
fn nobody_listening_and_the_wrong_certificate_are_told_as_unreachable() {
    let workplace = Workplace::new();
    let control = FakeControl::start(&workplace, 1);
    let file = workplace.declaration("new.toml", &["la-pluma"]);
    let address = control.first();
    let words = ["plan", &file, "--control", &address];
    assert_eq!(workplace.run_as("node", &words).exit, ExitKind::Unreachable);
    let node = FakeControl::start_as(&workplace, "node", 1);
    let words = ["plan", &file, "--control", &node.first()];
    assert_eq!(workplace.run(&words).exit, ExitKind::Unreachable);
}
