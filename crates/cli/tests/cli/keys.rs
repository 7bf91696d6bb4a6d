//! Tests of granting and withdrawing keys, which needs the signatures of both owners.

use std::fs;

use cli::command::grant_key;
use cli::command::withdraw_key;
use cli::exit::ExitKind;
use model::hex;
use model::keys::digest_key;

use crate::fake_control::FakeControl;
use crate::support::TestDeployment;
use crate::support::ToolRun;

fn bring_into_force(deployment: &TestDeployment, control: &FakeControl, teams: &[&str]) {
    let file = deployment.declaration("base.toml", teams);
    for owner in ["first.key", "second.key"] {
        deployment.propose(&file, owner, &control.first_address());
    }
}

fn key_command(
    deployment: &TestDeployment,
    control: &FakeControl,
    owner: &str,
    args: &[&str],
) -> ToolRun {
    let key = deployment.path_text(owner);
    let address = control.first_address();
    let mut all = vec!["team", "key"];
    all.extend(args);
    all.extend(["--key", &key, "--control", &address]);
    deployment.run(&all)
}

#[test]
fn key_is_granted_and_withdrawn_with_both_signatures() {
    let deployment = TestDeployment::new();
    let control = FakeControl::start(&deployment, 1);
    bring_into_force(&deployment, &control, &["la-pluma"]);
    let grant = ["grant", "la-pluma", "--name", "shop"];
    let first = key_command(&deployment, &control, "first.key", &grant);
    assert_eq!(first.exit, ExitKind::Pending);
    let key = first.json()["key"].as_str().expect("key").to_owned();
    let digest = first.json()["digest"].as_str().expect("digest").to_owned();
    assert_eq!(hex::encode(&digest_key(&key)), digest);
    let copy = deployment.path_text("copy.toml");
    let mut same = grant.to_vec();
    same.extend(["--digest", &digest, "--write", &copy]);
    let second = key_command(&deployment, &control, "second.key", &same);
    assert_eq!(second.exit, ExitKind::Done);
    assert!(second.json().get("key").is_none());
    let text = fs::read_to_string(&copy).expect("written");
    assert!(text.starts_with("# Kept.\n"), "{text}");
    assert!(!text.contains(&key));
    let state = control.state.lock().expect("state");
    assert_eq!(state.control_state.config().declaration().keys.len(), 1);
    drop(state);
    for owner in ["first.key", "second.key"] {
        key_command(&deployment, &control, owner, &["withdraw", "shop"]);
    }
    let state = control.state.lock().expect("state");
    assert!(state.control_state.config().declaration().keys.is_empty());
}

#[test]
fn unknown_team_or_key_is_refused_before_submission() {
    let deployment = TestDeployment::new();
    let control = FakeControl::start(&deployment, 1);
    bring_into_force(&deployment, &control, &["la-pluma"]);
    let before = control.state.lock().expect("state").submissions;
    let unknown = ["grant", "el-nido", "--name", "shop"];
    for args in [&unknown[..], &["withdraw", "shop"]] {
        let refused = key_command(&deployment, &control, "first.key", args);
        assert_eq!(refused.exit, ExitKind::Usage);
    }
    assert_eq!(control.state.lock().expect("state").submissions, before);
}

#[test]
fn edit_preserves_the_rest_of_the_text() {
    let text = "# Ours.\nowners = [ 'a',\n 'b' ] # two\n\n[[key]]\nname = \"x\"\nteam = \"t\"\n";
    let granted = grant_key(text, "y", "t", &[7; 32]).expect("granted");
    assert!(granted.starts_with(text), "{granted}");
    assert!(grant_key(&granted, "y", "t", &[8; 32]).is_err());
    assert_eq!(withdraw_key(&granted, "y").expect("withdrawn"), text);
    assert!(withdraw_key(text, "y").is_err());
}
