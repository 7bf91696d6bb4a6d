//! Agreement of `check` with the answers of real control instances.

use check::CheckFinding;
use check::FindingSeverity;
use platform::PlatformAdapter;

use crate::control_group::ControlGroup;
use crate::control_group::document;
use crate::http;
use crate::http::HttpResponse;
use crate::wait::eventually;

const SIZE: u8 = 5;

/// Returns the documents to send one after the other while version 3 is in force; the last one is
/// sound.
fn documents() -> Vec<String> {
    let next = document(5, 3);
    vec![
        document(3, 0),
        document(5, 2),
        document(3, 3),
        document(2, 1),
        next.replace("\"limits\"", "\"other\""),
        next.replace("\"ratePerS\":500", "\"ratePerS\":-1"),
        next.replace("\"service\":\"stock\"", "\"service\":\"nowhere\""),
        next.replace("\"timeout\":2000", "\"timeout\":0"),
        document(5, 2).replace("\"timeout\":2000", "\"timeout\":0"),
        next.replace("\"maxAttempts\":2", "\"maxAttempts\":0"),
        next.replace("/stock/", "/orders/"),
        next.replace("/stock/", "stock"),
        next,
    ]
}

/// Sends a document until the instance that leads decides on it.
fn decided(group: &ControlGroup, document: &str) -> HttpResponse {
    let mut decided = None;
    eventually("the leader decides on a change", || {
        let headers = [("Host", "control")];
        let mut responses = group.numbers().filter_map(|number| {
            let to = group.address(number, 0);
            http::send(to, "PUT /v1/config", &headers, document).ok()
        });
        decided = responses.find(|response| response.status != 307 && response.status < 500);
        decided.is_some()
    });
    decided.unwrap()
}

/// Guards against a check that passes what control refuses, or refuses what it accepts, and against
/// another reason than the one that control states.
#[test]
fn the_check_and_control_agree() {
    let group = ControlGroup::start(SIZE, SIZE);
    let in_force = document(3, 0);
    group.put(&in_force);
    for document in documents() {
        let current = Some(in_force.as_bytes());
        let outcome = check::check_document(&PlatformAdapter, document.as_bytes(), current);
        let outcome = outcome.unwrap();
        let response = decided(&group, &document);
        let expected = match outcome.findings.first() {
            Some(CheckFinding::BaseConflict { .. }) => 412,
            Some(finding) if finding.severity() == FindingSeverity::Error => 400,
            _ => 200,
        };
        assert_eq!(response.status, expected, "{outcome:?}: {response:?}");
        if let Some(finding @ CheckFinding::Invalid(_)) = outcome.findings.first() {
            let reason = finding.to_string();
            assert!(response.body.contains(&reason), "{reason}: {response:?}");
        }
    }
}
