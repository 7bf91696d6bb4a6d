//! Command line of the daemon.

use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ragwortplankd"));
    command.args(arguments).output().expect("the daemon starts")
}

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../settings/tests/fixtures")
        .join(name)
}

#[test]
fn check_of_valid_settings_exits_with_success() {
    let file = fixture("valid/node.toml");
    let output = run(&["--config", &file.display().to_string(), "--check"]);
    assert!(output.status.success());
}

#[test]
fn invalid_settings_exit_with_status_2_and_the_reason() {
    let file = fixture("invalid/local-not-loopback.toml");
    for arguments in [&["--check"][..], &[]] {
        let file = file.display().to_string();
        let mut all = vec!["--config", file.as_str()];
        all.extend_from_slice(arguments);
        let output = run(&all);
        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(text.contains("key `listen.local`"), "{text}");
    }
}

#[test]
fn a_missing_tls_file_is_named_in_the_error() {
    let file = fixture("valid/node.toml");
    let output = run(&["--config", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.contains("authority.pem"), "{text}");
}
