//! Differences from the configuration in force.

use check::ConfigDifference;
use check::DifferenceKind;
use serde_json::json;

use crate::support::KEY;
use crate::support::check;
use crate::support::sound_document;

fn describe(difference: &ConfigDifference) -> String {
    let ConfigDifference { item, name, kind } = difference;
    match kind {
        DifferenceKind::Added => format!("{item} {name} added"),
        DifferenceKind::Removed => format!("{item} {name} removed"),
        DifferenceKind::Changed(fields) => {
            let fields: Vec<String> = fields.iter().map(ToString::to_string).collect();
            format!("{item} {name}: {}", fields.join("; "))
        }
    }
}

/// Guards against an unnoticed difference, and against keys in the differences.
#[test]
fn differences_name_the_item_and_the_fields_but_no_keys() {
    let in_force = sound_document(1, 0);
    let mut document = sound_document(2, 1);
    document["limits"]["idleTimeout"] = json!(9);
    document["routes"][0]["timeout"] = json!(3_000);
    document["routes"][0]["routeType"] = json!("safe");
    document["routes"][1]["name"] = json!("goods");
    document["services"][0]["coldPerS"] = json!(17);
    document["services"][0]["coldStart"] = json!(2);
    document["tenants"][0]["apiKeys"] = json!(["new-1", "new-2"]);
    document["tenants"][0]["ratePerS"] = json!(0.5);
    let differences = check(&document, Some(&in_force)).differences;
    let described: Vec<String> = differences.iter().map(describe).collect();
    let expected = [
        "limits : idle-timeout 15000 ms -> 9 ms",
        "route orders: idempotent false -> true; timeout 2000 ms -> 3000 ms",
        "route goods added",
        "route stock removed",
        "service orders: cold-limit none -> 17/s for 2000 ms",
        "team north: rate-per-s 500 -> 0.5; keys 2 added, 1 removed",
    ];
    assert_eq!(described, expected);
    let shown = format!("{differences:?}");
    assert!(!shown.contains(KEY) && !shown.contains("new-1"), "{shown}");
}

/// Guards against a difference that reads as new because its name occurs twice.
#[test]
fn items_of_the_same_name_are_compared_in_their_order() {
    let mut in_force = sound_document(1, 0);
    in_force["routes"][1]["name"] = json!("orders");
    let mut document = in_force.clone();
    document["routes"][1]["priority"] = json!(7);
    let differences = check(&document, Some(&in_force)).differences;
    let described: Vec<String> = differences.iter().map(describe).collect();
    assert_eq!(described, ["route orders: priority 1 -> 7"]);
}
