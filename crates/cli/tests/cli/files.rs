//! Tests of the commands that work offline.

use std::fs;
use std::os::unix::fs::PermissionsExt;

use cli::exit::ExitKind;

use crate::support::TestDeployment;
use crate::support::run;

#[test]
fn owner_key_file_is_private_and_never_overwritten() {
    let deployment = TestDeployment::new();
    let file = deployment.path_text("first.key");
    let mode = fs::metadata(&file).expect("file").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let before = fs::read_to_string(&file).expect("file");
    let again = run(&["keygen", "owner", "--out", &file]);
    assert_eq!(again.exit, ExitKind::Usage);
    assert_eq!(fs::read_to_string(&file).expect("file"), before);
}

#[test]
fn owner_key_file_readable_by_others_or_altered_is_refused() {
    let deployment = TestDeployment::new();
    let file = deployment.path_text("first.key");
    let hash = "ab".repeat(32);
    let sign = ["sign", &hash, "--key", &file];
    assert_eq!(run(&sign).exit, ExitKind::Done);
    fs::set_permissions(&file, fs::Permissions::from_mode(0o640)).expect("permissions");
    assert_eq!(run(&sign).exit, ExitKind::Usage);
    fs::set_permissions(&file, fs::Permissions::from_mode(0o600)).expect("permissions");
    let altered = fs::read_to_string(&file)
        .expect("file")
        .replace("secret = \"", "secret = \"0");
    fs::write(&file, altered).expect("written");
    assert_eq!(run(&sign).exit, ExitKind::Usage);
}

#[test]
fn signing_a_declaration_requires_its_base() {
    let deployment = TestDeployment::new();
    let file = deployment.declaration("new.toml", &["a"]);
    let key = deployment.path_text("first.key");
    let signed = run(&["sign", &file, "--key", &key]);
    assert_eq!(signed.exit, ExitKind::Usage);
    let signed = run(&["sign", &file, "--base", "3", "--key", &key]);
    assert_eq!(signed.exit, ExitKind::Done);
    assert_eq!(signed.json()["owner"], deployment.owners[0].as_str());
}

#[test]
fn check_validates_declarations_and_counts_items() {
    let deployment = TestDeployment::new();
    let valid = deployment.declaration("valid.toml", &["a", "b"]);
    let checked = run(&["check", &valid]);
    assert_eq!(checked.exit, ExitKind::Done);
    let lines: Vec<&str> = checked.output.lines().collect();
    assert!(lines[0].starts_with("FILE"), "{}", checked.output);
    assert!(
        lines[1].ends_with("0         0        0       2      0"),
        "{}",
        checked.output
    );
    let invalid = deployment.declaration("invalid.toml", &["a", "a"]);
    assert_eq!(run(&["check", &valid, &invalid]).exit, ExitKind::Usage);
    assert_eq!(run(&["check", "/nowhere.toml"]).exit, ExitKind::Usage);
}

#[test]
fn each_generated_team_key_is_unique() {
    let first = run(&["--output", "json", "keygen", "team-key"]).json();
    let second = run(&["--output", "json", "keygen", "team-key"]).json();
    assert_ne!(first["key"], second["key"]);
    assert_ne!(first["digest"], second["digest"]);
}
