//! Tests with fixture files: valid declarations, and invalid ones with their expected errors.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use model::declaration::Declaration;
use model::declaration::RefusalOrder;

fn fixtures(kind: &str) -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(kind);
    let entries = fs::read_dir(folder).expect("fixtures exist");
    let paths = entries.map(|entry| entry.expect("readable").path());
    let mut files: Vec<PathBuf> = paths
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "toml")
        })
        .collect();
    files.sort();
    assert!(!files.is_empty());
    files
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

#[test]
fn valid_declarations_are_accepted() {
    for path in fixtures("valid") {
        let parsed = Declaration::parse(&read(&path), 3);
        let declaration = parsed.unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        assert_eq!(declaration.version, 3);
    }
}

#[test]
fn invalid_declarations_give_their_errors() {
    for path in fixtures("invalid") {
        let expected = read(&path.with_extension("error"));
        let parsed = Declaration::parse(&read(&path), 3);
        let error = parsed.expect_err(&path.display().to_string());
        assert_eq!(error.to_string(), expected.trim_end(), "{}", path.display());
    }
}

#[test]
fn every_key_of_the_text_is_parsed() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/valid");
    let text = read(&folder.join("every-key.toml"));
    let declaration = Declaration::parse(&text, 1).expect("valid");
    assert_eq!(declaration.owners, [[0x11; 32], [0x22; 32]]);
    let class = &declaration.classes[0];
    assert_eq!(class.refusal_order, RefusalOrder::Last);
    assert_eq!(class.deadline, Duration::from_secs(2));
    assert_eq!(class.target_share_milli, 999);
    let route = &declaration.routes[0];
    assert!(route.at_most_once && !route.allow_anonymous && !route.idempotent);
    let team = &declaration.teams[0];
    assert_eq!((team.rate_milli, team.burst_milli), (2_500, 10_000));
    assert_eq!(declaration.keys[0].digest, [0xab; 32]);
}

#[test]
fn a_text_beyond_the_limit_is_refused() {
    let text = "#".repeat(1024 * 1024 + 1);
    let error = Declaration::parse(&text, 1).expect_err("too long");
    let expected = "the text has 1048577 bytes, expected at most 1048576";
    assert_eq!(error.to_string(), expected);
}
