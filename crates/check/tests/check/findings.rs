//! Each kind of finding, caused by one alteration of a sound configuration.

use check::FindingSeverity;
use fleet::DOCUMENT_BYTES_MAX;
use platform::PlatformAdapter;
use serde_json::Value;
use serde_json::json;

use crate::support::KEY;
use crate::support::check;
use crate::support::kinds_after;
use crate::support::sound_document;

/// Guards against warnings that operators learn to ignore.
#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(kinds_after(|_| ()), [""; 0]);
    let next = check(&sound_document(2, 1), Some(&sound_document(1, 0)));
    assert_eq!((next.findings, next.differences), (vec![], vec![]));
}

/// Guards against a check that stops at the first error, as control does.
#[test]
fn all_errors_are_reported_in_the_order_of_control() {
    let kinds = kinds_after(|document| {
        let route = &mut document["routes"][0];
        route["service"] = json!("nowhere");
        route["timeout"] = json!(0);
        route["aim"] = json!(0);
        route["maxAttempts"] = json!(0);
        route["pathPrefix"] = json!("orders");
        document["routes"][1]["service"] = Value::Null;
        document["routes"][1]["weightedBackends"] = json!([{"service": "stock", "weight": 0}]);
        let team = document["tenants"][0].clone();
        document["tenants"].as_array_mut().unwrap().push(team);
    });
    let errors = [
        "unknown-service",
        "timeout-out-of-range",
        "no-attempts",
        "invalid-prefix",
        "zero-weight",
        "duplicate-key",
    ];
    assert_eq!(kinds[..errors.len()], errors);
}

/// Guards against versions that control refuses only once the configuration is sent.
#[test]
fn versions_that_control_refuses_are_errors() {
    let in_force = sound_document(5, 0);
    let kinds = |version, base| -> Vec<_> {
        let outcome = check(&sound_document(version, base), Some(&in_force));
        outcome
            .findings
            .iter()
            .map(check::CheckFinding::kind)
            .collect()
    };
    assert_eq!(kinds(6, 4), ["base-conflict"]);
    assert_eq!(kinds(5, 5), ["old-version"]);
    assert_eq!(kinds(3, 2), ["base-conflict", "old-version"]);
    // The document in force is acknowledged again.
    assert_eq!(kinds(5, 0), [""; 0]);
    let alone = kinds_after(|document| document["baseVersion"] = json!(1));
    assert_eq!(alone, ["old-version"]);
}

/// Guards against routes, services and teams that have no effect.
#[test]
fn what_no_request_reaches_is_a_warning() {
    let with_host =
        |host: &str| kinds_after(|document| document["routes"][0]["host"] = json!(host));
    assert_eq!(with_host(""), ["empty-host"]);
    assert_eq!(with_host("Shop.example"), ["upper-case-host"]);
    assert_eq!(
        with_host("shop.example:80"),
        ["host-with-port", "unreachable-service"]
    );
    for host in ["*.example", "http://shop.example", "::1", "[shop]", "a b"] {
        assert_eq!(with_host(host), ["invalid-host", "unreachable-service"]);
    }
    assert_eq!(with_host("[::1]"), [""; 0]);
    let prefix = kinds_after(|document| document["routes"][0]["pathPrefix"] = json!("/a?b/"));
    assert_eq!(prefix, ["unmatchable-prefix", "unreachable-service"]);
    let shadowed = kinds_after(|document| {
        document["routes"][1]["host"] = json!("SHOP.example");
        document["routes"][1]["pathPrefix"] = json!("/orders/");
    });
    let expected = ["upper-case-host", "shadowed-route", "unreachable-service"];
    assert_eq!(shadowed, expected);
    let team = kinds_after(|document| document["tenants"][0] = json!({"name": "a", "apiKeys": []}));
    assert_eq!(team, ["unreachable-team"]);
}

/// Guards against items that differences and limits cannot tell apart by name.
#[test]
fn repeated_names_are_warnings() {
    let kinds = kinds_after(|document| {
        document["routes"][1]["name"] = json!("orders");
        let service = document["services"][0].clone();
        document["services"].as_array_mut().unwrap().push(service);
        let mut team = document["tenants"][0].clone();
        team["apiKeys"] = json!(["other"]);
        document["tenants"].as_array_mut().unwrap().push(team);
    });
    assert_eq!(
        kinds,
        ["repeated-route", "repeated-service", "repeated-team"]
    );
}

/// Guards against limits that contradict each other.
#[test]
fn contradictory_limits_are_warnings() {
    let target = kinds_after(|document| document["routes"][0]["aim"] = json!(2001));
    assert_eq!(target, ["target-above-timeout"]);
    let team = |field: &str, value: Value| {
        kinds_after(|document| document["tenants"][0][field] = value.clone())
    };
    assert_eq!(team("burst", json!(0)), ["rate-without-burst"]);
    assert_eq!(team("ratePerS", json!(0)), ["burst-without-rate"]);
    assert_eq!(
        team("apiKeys", json!(["", " a", "\u{e9}"])),
        ["unusable-rate"]
    );
    let body = kinds_after(|document| document["limits"]["maxBodyBytes"] = json!(16_383));
    assert_eq!(body, ["body-below-head"]);
    let weight = kinds_after(|document| {
        document["routes"][0]["weightedBackends"] = json!([{"service": "stock", "weight": 1}]);
    });
    assert_eq!(weight, ["unweighted-service"]);
}

/// Guards against errors without severity, and documents that control does not read.
#[test]
fn unreadable_documents_are_errors() {
    let missing = kinds_after(|document| document["limits"] = Value::Null);
    assert_eq!(missing, ["undecodable"]);
    let long = kinds_after(|document| document["x"] = json!("x".repeat(DOCUMENT_BYTES_MAX)));
    assert_eq!(long, ["document-too-large"]);
    let in_force = check::check_document(&PlatformAdapter, b"{}", Some(b"{}"));
    assert!(in_force.is_err());
}

/// Guards against keys in messages, also where a key is in a wrong place.
#[test]
fn keys_are_never_shown() {
    let quoted = format!("a\"b{KEY}");
    for (field, value) in [
        ("apiKeys", json!(KEY)),
        ("apiKeys", json!(quoted)),
        ("apiKeys", json!([7_654_321])),
        ("priority", json!(KEY)),
        ("name", json!([KEY])),
    ] {
        let mut document = sound_document(1, 0);
        document["tenants"][0][field] = value;
        let outcome = check(&document, None);
        assert_eq!(outcome.severity(), Some(FindingSeverity::Error));
        let shown = format!("{} {outcome:?}", outcome.findings[0]);
        assert!(
            !shown.contains(KEY) && !shown.contains("7654321"),
            "{shown}"
        );
        assert!(shown.contains("at line 1"), "{shown}");
    }
    let mut misplaced = sound_document(1, 0);
    misplaced["routes"][0]["routeType"] = json!(KEY);
    let shown = format!("{:?}", check(&misplaced, None));
    assert!(!shown.contains(KEY) && shown.contains("`safe`"), "{shown}");
}
