//! Keys are granted and withdrawn as changes that both owners sign.

use std::fs;

use cli::command::grant_key;
use cli::command::withdraw_key;
use cli::exit::ExitKind;
use model::hex;
use model::keys::digest_key;

use crate::fake_control::FakeControl;
use crate::support::ToolRun;
use crate::support::Workplace;

fn in_force(workplace: &Workplace, control: &FakeControl, teams: &[&str]) {
    let file = workplace.declaration("base.toml", teams);
    for owner in ["first.key", "second.key"] {
        workplace.propose(&file, owner, &control.first());
    }
}

fn key_command(
    workplace: &Workplace,
    control: &FakeControl,
    owner: &str,
    words: &[&str],
) -> ToolRun {
    let key = workplace.text(owner);
    let address = control.first();
    let mut all = vec!["team", "key"];
    all.extend(words);
    all.extend(["--key", &key, "--control", &address]);
    workplace.run(&all)
}

#[test]
fn both_owners_grant_and_withdraw_a_key() {
    let workplace = Workplace::new();
    let control = FakeControl::start(&workplace, 1);
    in_force(&workplace, &control, &["la-pluma"]);
    let grant = ["grant", "la-pluma", "--name", "shop"];
    let first = key_command(&workplace, &control, "first.key", &grant);
    assert_eq!(first.exit, ExitKind::Pending);
    let key = first.json()["key"].as_str().expect("key").to_owned();
    let digest = first.json()["digest"].as_str().expect("digest").to_owned();
    assert_eq!(hex::encode(&digest_key(&key)), digest);
    let copy = workplace.text("copy.toml");
    let mut same = grant.to_vec();
    same.extend(["--digest", &digest, "--write", &copy]);
    let second = key_command(&workplace, &control, "second.key", &same);
    assert_eq!(second.exit, ExitKind::Done);
    assert!(second.json().get("key").is_none());
    let text = fs::read_to_string(&copy).expect("written");
    assert!(text.starts_with("# Kept.\n"), "{text}");
    assert!(!text.contains(&key));
    let keys = control.state.lock().expect("state");
    assert_eq!(keys.ledger.config().declaration().keys.len(), 1);
    drop(keys);
    for owner in ["first.key", "second.key"] {
        key_command(&workplace, &control, owner, &["withdraw", "shop"]);
    }
    let keys = control.state.lock().expect("state");
    assert!(keys.ledger.config().declaration().keys.is_empty());
}

#[test]
fn an_unknown_team_or_key_and_a_repeated_name_are_refused_before_they_are_sent() {
    let workplace = Workplace::new();
    let control = FakeControl::start(&workplace, 1);
    in_force(&workplace, &control, &["la-pluma"]);
    let before = control.state.lock().expect("state").submissions;
    let unknown = ["grant", "el-nido", "--name", "shop"];
    for words in [&unknown[..], &["withdraw", "shop"]] {
        let refused = key_command(&workplace, &control, "first.key", words);
        assert_eq!(refused.exit, ExitKind::Usage);
    }
    assert_eq!(control.state.lock().expect("state").submissions, before);
}

#[test]
fn an_edit_leaves_the_rest_of_the_text_as_it_is() {
    let text = "# Ours.\nowners = [ 'a',\n 'b' ] # two\n\n[[key]]\nname = \"x\"\nteam = \"t\"\n";
    let granted = grant_key(text, "y", "t", &[7; 32]).expect("granted");
    assert!(granted.starts_with(text), "{granted}");
    assert!(grant_key(&granted, "y", "t", &[8; 32]).is_err());
    assert_eq!(withdraw_key(&granted, "y").expect("withdrawn"), text);
    assert!(withdraw_key(text, "y").is_err());
}
