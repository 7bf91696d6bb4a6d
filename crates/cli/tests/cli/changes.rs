//! Tests of proposals: two signatures, lost responses, conflicts and waiting.

use std::fs;

use cli::exit::ExitKind;
use serde_json::json;

use crate::fake_control::FakeControl;
use crate::support::TestDeployment;
use crate::support::join_addresses;
use crate::support::run;

#[test]
fn declaration_is_accepted_after_both_owners_sign() {
    let deployment = TestDeployment::new();
    let control = FakeControl::start(&deployment, 1);
    let file = deployment.declaration("new.toml", &["la-pluma"]);
    let first = deployment.propose(&file, "first.key", &control.first_address());
    assert_eq!(first.exit, ExitKind::Pending);
    let second = deployment.propose(&file, "second.key", &control.first_address());
    assert_eq!(second.exit, ExitKind::Done);
    assert_eq!(second.json()["hash"], first.json()["hash"]);
    assert_eq!(second.json()["status"], json!({ "Accepted": 1 }));
    assert_eq!(second.json()["plan"]["rows"][0]["name"], "la-pluma");
}

#[test]
fn lost_response_is_retried_at_another_instance_with_the_same_result() {
    let deployment = TestDeployment::new();
    let control = FakeControl::start(&deployment, 2);
    let file = deployment.declaration("new.toml", &["la-pluma"]);
    let both = join_addresses(&control.addresses);
    deployment.propose(&file, "first.key", &both);
    control.state.lock().expect("state").lost_responses = 1;
    let second = deployment.propose(&file, "second.key", &both);
    assert_eq!(second.exit, ExitKind::Done);
    assert_eq!(second.json()["status"], json!({ "Accepted": 1 }));
    assert_eq!(control.state.lock().expect("state").submissions, 3);
}

#[test]
fn proposing_again_after_a_lost_response_creates_no_second_version() {
    let deployment = TestDeployment::new();
    let control = FakeControl::start(&deployment, 1);
    let file = deployment.declaration("new.toml", &["la-pluma"]);
    deployment.propose(&file, "first.key", &control.first_address());
    control.state.lock().expect("state").lost_responses = 1;
    let lost = deployment.propose(&file, "second.key", &control.first_address());
    assert_eq!(lost.exit, ExitKind::Unreachable);
    let again = deployment.propose(&file, "second.key", &control.first_address());
    assert_eq!(again.exit, ExitKind::Done);
    assert_eq!(again.json()["status"], json!({ "Accepted": 1 }));
    let state = control.state.lock().expect("state");
    assert_eq!(state.control_state.config().version(), 1);
}

#[test]
fn conflict_reports_the_differences_to_the_accepted_change() {
    let deployment = TestDeployment::new();
    let control = FakeControl::start(&deployment, 1);
    let left = deployment.declaration("left.toml", &["left"]);
    let right = deployment.declaration("right.toml", &["right"]);
    let address = control.first_address();
    let propose = |file: &str, owner: &str| {
        let key = deployment.path_text(owner);
        deployment.run(&[
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
fn conflict_after_a_stale_read_is_compared_with_the_accepted_version() {
    let deployment = TestDeployment::new();
    let control = FakeControl::start(&deployment, 1);
    let seen = control.state.lock().expect("state").declaration();
    let left = deployment.declaration("left.toml", &["left"]);
    for owner in ["first.key", "second.key"] {
        deployment.propose(&left, owner, &control.first_address());
    }
    control.state.lock().expect("state").stale_declaration = Some(seen);
    let right = deployment.declaration("right.toml", &["right"]);
    let refused = deployment.propose(&right, "first.key", &control.first_address());
    assert_eq!(refused.exit, ExitKind::Conflict);
    assert_eq!(refused.json()["plan"]["version"], 1);
    assert_eq!(refused.json()["plan"]["rows"][0]["name"], "left");
}

#[test]
fn wait_distinguishes_accepted_from_in_force() {
    let deployment = TestDeployment::new();
    let control = FakeControl::start(&deployment, 1);
    let file = deployment.declaration("new.toml", &["la-pluma"]);
    deployment.propose(&file, "first.key", &control.first_address());
    let key = deployment.path_text("second.key");
    let address = control.first_address();
    let mut args = vec![
        "propose",
        &file,
        "--base",
        "0",
        "--key",
        &key,
        "--control",
        &address,
    ];
    args.extend(["--wait", "0"]);
    assert_eq!(deployment.run(&args).exit, ExitKind::NotInForce);
    control.state.lock().expect("state").in_force = true;
    assert_eq!(deployment.run(&args).exit, ExitKind::Done);
}

#[test]
fn offline_signature_is_accepted_for_its_declaration_only() {
    let deployment = TestDeployment::new();
    let control = FakeControl::start(&deployment, 1);
    let file = deployment.declaration("new.toml", &["la-pluma"]);
    let second = deployment.path_text("second.key");
    let signed = run(&["sign", &file, "--base", "0", "--key", &second]);
    let signature = deployment.path_text("signature.json");
    fs::write(&signature, &signed.output).expect("written");
    let key = deployment.path_text("first.key");
    let address = control.first_address();
    let mut args = vec!["propose", &file, "--key", &key, "--control", &address];
    args.extend(["--signature", &signature]);
    assert_eq!(deployment.run(&args).exit, ExitKind::Done);
    // The signature is not valid for another declaration.
    let other = deployment.declaration("other.toml", &["el-nido"]);
    args[1] = &other;
    assert_eq!(deployment.run(&args).exit, ExitKind::Usage);
}

#[test]
fn plan_submits_nothing() {
    let deployment = TestDeployment::new();
    let control = FakeControl::start(&deployment, 1);
    let file = deployment.declaration("new.toml", &["la-pluma"]);
    let plan = deployment.run(&["plan", &file, "--control", &control.first_address()]);
    assert_eq!(plan.exit, ExitKind::Done);
    assert_eq!(plan.json()["rows"][0]["after"], "5/s, burst 10");
    assert_eq!(control.state.lock().expect("state").submissions, 0);
}

#[test]
fn wrong_certificate_on_either_side_is_reported_as_unreachable() {
    let deployment = TestDeployment::new();
    let control = FakeControl::start(&deployment, 1);
    let file = deployment.declaration("new.toml", &["la-pluma"]);
    let address = control.first_address();
    let args = ["plan", &file, "--control", &address];
    assert_eq!(deployment.run_as("node", &args).exit, ExitKind::Unreachable);
    let node = FakeControl::start_as(&deployment, "node", 1);
    let args = ["plan", &file, "--control", &node.first_address()];
    assert_eq!(deployment.run(&args).exit, ExitKind::Unreachable);
}
