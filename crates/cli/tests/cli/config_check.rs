//! Output and exit codes of `check-config`, by the program itself.

use std::fs;
use std::process::Command;
use std::process::Output;

use tempfile::TempDir;

const KEY: &str = "secret-key-1";

/// A folder with a sound configuration in force, `1.json`, and a sound successor, `2.json`.
fn folder() -> TempDir {
    let folder = TempDir::new().expect("folder");
    for (version, base) in [("1", "0"), ("2", "1")] {
        let text = include_str!("../../../daemon/tests/fleet/config.json")
            .replace("VERSION", version)
            .replace("BASE", base)
            .replace("KEY", KEY);
        write(&folder, &format!("{version}.json"), &text);
    }
    folder
}

fn write(folder: &TempDir, name: &str, text: &str) {
    fs::write(folder.path().join(name), text).expect("written");
}

/// Writes `3.json`, the successor with one text replaced.
fn write_altered(folder: &TempDir, from: &str, to: &str) {
    let text = fs::read_to_string(folder.path().join("2.json")).expect("file");
    assert!(text.contains(from));
    write(folder, "3.json", &text.replace(from, to));
}

fn check(folder: &TempDir, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_ragwortplank"))
        .current_dir(folder.path())
        .args(args)
        .output()
        .expect("started")
}

fn code(folder: &TempDir, args: &[&str]) -> Option<i32> {
    check(folder, args).status.code()
}

/// Guards against scripts that send a configuration although the check failed.
#[test]
fn the_exit_code_states_the_outcome() {
    let folder = folder();
    let pair = ["check-config", "2.json", "--in-force", "1.json"];
    assert_eq!(code(&folder, &pair), Some(0));
    assert_eq!(code(&folder, &["check-config", "2.json"]), Some(0));
    write_altered(&folder, "\"aim\":1500", "\"aim\":2001");
    assert_eq!(code(&folder, &["check-config", "3.json"]), Some(2));
    let conflict = ["check-config", "1.json", "--in-force", "2.json"];
    assert_eq!(code(&folder, &conflict), Some(1));
    write(&folder, "3.json", "{");
    assert_eq!(code(&folder, &["check-config", "3.json"]), Some(1));
    let in_force = ["check-config", "2.json", "--in-force", "3.json"];
    assert_eq!(code(&folder, &in_force), Some(66));
    assert_eq!(code(&folder, &["check-config", "none.json"]), Some(66));
    assert_eq!(code(&folder, &["check-config"]), Some(64));
    let format = [
        "--output",
        "json",
        "check-config",
        "2.json",
        "--format",
        "x",
    ];
    assert_eq!(code(&folder, &format), Some(64));
    assert_eq!(code(&folder, &["check-config", "--help"]), Some(0));
    // Other subcommands keep their code for a wrong command line.
    assert_eq!(code(&folder, &["check"]), Some(2));
}

/// Guards against another form of the output than programs expect, and against keys in it.
#[test]
fn json_and_plain_output_name_findings_and_differences() {
    let folder = folder();
    write_altered(&folder, "\"aim\":1500", "\"aim\":2001");
    let text = fs::read_to_string(folder.path().join("3.json")).expect("file");
    write(&folder, "3.json", &text.replace(KEY, "other-key"));
    let args = ["check-config", "3.json", "--in-force", "1.json", "--format"];
    let json = check(&folder, &[&args[..], &["json"]].concat()).stdout;
    let report: serde_json::Value = serde_json::from_slice(&json).expect("JSON");
    let expected = serde_json::json!({
        "severity": "warning",
        "kind": "target-above-timeout",
        "message": "route orders: the target latency is above the timeout",
    });
    assert_eq!(report["findings"][0], expected);
    assert_eq!(
        (&report["errors"], &report["warnings"]),
        (&0.into(), &2.into())
    );
    let expected = serde_json::json!({
        "change": "changed",
        "item": "team",
        "name": "north",
        "fields": ["keys 1 added, 1 removed"],
    });
    assert_eq!(report["differences"][2], expected);
    let plain = check(&folder, &[&args[..], &["plain"]].concat()).stdout;
    let plain = String::from_utf8(plain).expect("UTF-8");
    let lines: Vec<&str> = plain.lines().collect();
    assert_eq!(
        lines[1..4],
        [
            "warning: route stock: the target latency is above the timeout [target-above-timeout]",
            "changed: route orders: target-latency 1500 ms -> 2001 ms",
            "changed: route stock: target-latency 1500 ms -> 2001 ms",
        ]
    );
    assert_eq!(lines[5], "3.json: 0 errors, 2 warnings, 3 differences");
    for shown in [plain, String::from_utf8(json).expect("UTF-8")] {
        assert!(
            !shown.contains(KEY) && !shown.contains("other-key"),
            "{shown}"
        );
    }
}
