//! Valid settings files are accepted; invalid ones are rejected with the expected error.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use settings::CheckedSettings;

fn fixtures(kind: &str) -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(kind);
    let entries = fs::read_dir(directory).expect("fixtures exist");
    let paths = entries.map(|entry| entry.expect("readable").path());
    let is_toml = |path: &PathBuf| path.extension().is_some_and(|end| end == "toml");
    let files: Vec<PathBuf> = paths.filter(is_toml).collect();
    assert!(!files.is_empty());
    files
}

#[test]
fn valid_settings_are_accepted() {
    for path in fixtures("valid") {
        let loaded = CheckedSettings::load(&path);
        assert!(loaded.is_ok(), "{}: {loaded:?}", path.display());
    }
}

#[test]
fn invalid_settings_are_rejected_with_file_and_reason() {
    for path in fixtures("invalid") {
        let expected = fs::read_to_string(path.with_extension("error")).expect("an error file");
        let Err(error) = CheckedSettings::load(&path) else {
            panic!("{} is accepted", path.display());
        };
        let text = error.to_string();
        assert!(text.contains(expected.trim()), "{text}");
        assert!(text.contains(&path.display().to_string()), "{text}");
    }
}

/// Guards against bounds on cold servers that are not applied, and against an assumed excess where
/// the platform allows none.
#[test]
fn bounds_on_cold_servers_are_optional() {
    for path in fixtures("valid") {
        let bounds = match CheckedSettings::load(&path).expect("valid") {
            CheckedSettings::Proxy(settings) => settings.bounds,
            CheckedSettings::Group(settings) => settings.bounds,
            CheckedSettings::Node(_) | CheckedSettings::Control(_) => continue,
        };
        let states_bounds = path.ends_with("proxy.toml");
        let expected = if states_bounds {
            "(1.5, 8.0)"
        } else {
            "(1.0, 0.0)"
        };
        let found = (bounds.cold_overage_factor, bounds.cold_slack_requests);
        assert_eq!(format!("{found:?}"), expected, "{}", path.display());
    }
}

#[test]
fn a_missing_settings_file_is_named_in_the_error() {
    let error = CheckedSettings::load(Path::new("missing.toml")).expect_err("there is no file");
    assert!(
        error
            .to_string()
            .starts_with("missing.toml: cannot be read")
    );
}

#[test]
fn relative_paths_start_at_the_directory_of_the_settings_file() {
    let paths = fixtures("valid");
    let mut named = paths.iter().filter(|path| path.ends_with("node.toml"));
    let path = named.next().expect("settings of a node");
    let tls = match CheckedSettings::load(path).expect("valid") {
        CheckedSettings::Node(settings) => settings.tls,
        CheckedSettings::Control(settings) => settings.tls,
        CheckedSettings::Proxy(_) | CheckedSettings::Group(_) => panic!("it has no keys"),
    };
    assert_eq!(tls.authority, path.with_file_name("tls/authority.pem"));
}
