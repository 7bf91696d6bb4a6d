//! Tests of command-line parsing, exit codes and completions.

use std::time::Duration;
use std::time::UNIX_EPOCH;

use cli::arguments::CliArguments;
use cli::arguments::SinceTime;
use cli::arguments::command;
use cli::exit::ExitKind;

use crate::support::run;

#[test]
fn command_definition_is_valid_and_help_lists_exit_codes() {
    command().debug_assert();
    let help = command().render_long_help().to_string();
    let help = help.split_whitespace().collect::<Vec<_>>().join(" ");
    for part in [
        "0 done",
        "3 another change was accepted first",
        "5 no address could be reached",
    ] {
        assert!(help.contains(part), "{help}");
    }
}

#[test]
fn missing_or_invalid_arguments_are_usage_errors() {
    for args in [
        &["ragwortplank"][..],
        &["ragwortplank", "plan", "a.toml"],
        &["ragwortplank", "team", "key", "grant", "a"],
        &["ragwortplank", "cert", "issue", "--role", "owner"],
        &["ragwortplank", "status", "localhost"],
    ] {
        let error = CliArguments::parse_from(args).expect_err("refused");
        assert_eq!(error.exit_code(), 2, "{args:?}");
    }
}

#[test]
fn exit_codes_are_distinct() {
    let kinds = [
        ExitKind::Done,
        ExitKind::Failed,
        ExitKind::Usage,
        ExitKind::Conflict,
        ExitKind::Pending,
        ExitKind::Unreachable,
        ExitKind::NotInForce,
    ];
    let codes: Vec<u8> = kinds.iter().map(|kind| kind.code()).collect();
    assert_eq!(codes, [0, 1, 2, 3, 4, 5, 6]);
}

#[test]
fn since_accepts_absolute_and_relative_times() {
    let now = UNIX_EPOCH + Duration::from_secs(10_000);
    let unix_ms = |text: &str| text.parse::<SinceTime>().map(|since| since.unix_ms(now));
    assert_eq!(unix_ms("1234"), Ok(1_234));
    assert_eq!(unix_ms("90s"), Ok(9_910_000));
    assert_eq!(unix_ms("2h"), Ok(2_800_000));
    assert_eq!(unix_ms("9d"), Ok(0));
    for text in ["", "s", "-1", "1.5h", "99999999999999999999d", "10 m"] {
        assert!(unix_ms(text).is_err(), "{text}");
    }
}

#[test]
fn completion_script_names_the_program() {
    let script = run(&["completions", "bash"]);
    assert_eq!(script.exit, ExitKind::Done);
    assert!(script.output.contains("ragwortplank"));
}
