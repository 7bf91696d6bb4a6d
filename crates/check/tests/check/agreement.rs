//! Agreement of the check with control and with the matching of requests.

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use check::CheckFinding;
use check::FindingSeverity;
use check::check_document;
use fleet::ConfigError;
use fleet::FleetConfig;
use fleet::ProtocolAdapter;
use fleet::RouteTable;
use platform::PlatformAdapter;
use serde_json::Value;
use serde_json::json;

use crate::support::control_accepts;
use crate::support::sound_document;

/// Returns a document with few different values, so that they often collide.
fn random_document(source: &mut Unstructured) -> Result<Value> {
    let mut document = sound_document(source.int_in_range(0..=3)?, source.int_in_range(0..=2)?);
    let routes: Vec<Value> = (0..source.int_in_range(1..=4)?)
        .map(|number| random_route(source, number))
        .collect::<Result<_>>()?;
    document["routes"] = json!(routes);
    let teams: Vec<Value> = (0..source.int_in_range(0..=2)?)
        .map(|number| {
            let keys = [source.int_in_range(0..=9)?, source.int_in_range(0..=9)?];
            let rate = source.int_in_range(-1..=30)?;
            let keys = keys.map(|key: u8| key.to_string());
            Ok(json!({"name": number.to_string(), "apiKeys": keys, "ratePerS": rate}))
        })
        .collect::<Result<_>>()?;
    document["tenants"] = json!(teams);
    Ok(document)
}

fn random_route(source: &mut Unstructured, number: u8) -> Result<Value> {
    let mostly = |source: &mut Unstructured, usual: Value, other: Value| {
        Ok(if source.ratio(1, 16)? { other } else { usual })
    };
    Ok(json!({
        "name": number.to_string(),
        "host": *source.choose(&["a", "A", "b", "a:80", "B:1"])?,
        "pathPrefix": *source.choose(&["/", "/x/", "/x/y/", "/x/?/", "/x"])?,
        "routeType": mostly(source, json!("safe"), json!("other"))?,
        "timeout": mostly(source, json!(2_000), json!(600_001))?,
        "aim": 1_500,
        "priority": mostly(source, json!(0), json!(256))?,
        "service": mostly(source, json!("stock"), json!("nowhere"))?,
        "maxAttempts": mostly(source, json!(2), json!(0))?,
    }))
}

fn random_config(source: &mut Unstructured) -> Result<Option<FleetConfig>> {
    let document = serde_json::to_vec(&random_document(source)?).unwrap();
    Ok(PlatformAdapter.decode_config(&document).ok())
}

/// Guards against a check that passes what control refuses, or refuses what it accepts.
#[test]
fn the_check_finds_an_error_exactly_if_control_refuses() {
    let in_force = serde_json::to_vec(&sound_document(1, 0)).unwrap();
    arbtest::arbtest(|source| {
        let mut document = serde_json::to_vec(&random_document(source)?).unwrap();
        if source.ratio(1, 16)? {
            document.clone_from(&in_force);
        }
        let in_force = source.ratio(1, 2)?.then_some(in_force.as_slice());
        let outcome = check_document(&PlatformAdapter, &document, in_force).unwrap();
        let has_error = outcome.severity() == Some(FindingSeverity::Error);
        let accepted = control_accepts(&document, in_force);
        if in_force.is_some() {
            assert_eq!(has_error, !accepted, "{outcome:?}");
        } else {
            // Control may refuse the base version, which is unknown to the check.
            assert!(!(has_error && accepted), "{outcome:?}");
        }
        Ok(())
    });
}

/// Guards against a configuration that `validate` refuses for a reason that the check misses.
#[test]
fn every_configuration_that_validate_refuses_has_that_error() {
    arbtest::arbtest(|source| {
        let Some(config) = random_config(source)? else {
            return Ok(());
        };
        let findings = check::check_config(&config, None);
        let refused = fleet::validate(&config).err().map(CheckFinding::Invalid);
        let is_invalid = |finding: &&CheckFinding| matches!(finding, CheckFinding::Invalid(_));
        assert_eq!(findings.iter().find(is_invalid), refused.as_ref());
        Ok(())
    });
}

/// Guards against a check that follows other rules of matching than the table of the nodes.
#[test]
fn a_route_is_reported_exactly_if_the_table_never_returns_it() {
    arbtest::arbtest(|source| {
        let Some(config) = random_config(source)? else {
            return Ok(());
        };
        let findings = check::check_config(&config, None);
        let table = RouteTable::new(config);
        for entry in &table.config().routes {
            let found = table.route(&entry.host, &entry.prefix);
            let matches = found.is_some_and(|found| found.name == entry.name);
            let is_reported = findings.iter().any(|finding| match finding {
                CheckFinding::HostWithPort { route, .. }
                | CheckFinding::UnmatchablePrefix { route, .. }
                | CheckFinding::ShadowedRoute { route, .. } => *route == entry.name,
                CheckFinding::Invalid(ConfigError::DuplicateRoute { route }) => {
                    **route == *entry.name
                }
                _ => false,
            });
            assert_eq!(matches, !is_reported, "{entry:?}: {findings:?}");
        }
        Ok(())
    });
}
