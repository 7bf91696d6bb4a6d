//! Values of fields as text, to compare and to show them.

use std::collections::HashSet;
use std::time::Duration;

use fleet::ColdLimit;
use fleet::FleetConfig;
use fleet::RouteEntry;
use fleet::ServiceEntry;
use fleet::TeamEntry;
use fleet::WeightedService;

use crate::FieldChange;

/// Factor from a request or a weight to thousandths of one.
const MILLI: f64 = 1000.0;

/// Name and value of a field.
type FieldValue = (&'static str, String);

/// Returns the fields whose values differ. Both lists name the same fields in the same order.
pub(super) fn field_changes<const N: usize>(
    before: [FieldValue; N],
    after: [FieldValue; N],
) -> Vec<FieldChange> {
    let pairs = before.into_iter().zip(after);
    pairs
        .filter(|((_, before), (_, after))| before != after)
        .map(|((field, before), (_, after))| FieldChange::Value {
            field,
            before,
            after,
        })
        .collect()
}

/// Returns how many keys differ, if any; never the keys.
pub(super) fn key_changes(before: &[String], after: &[String]) -> Option<FieldChange> {
    let before: HashSet<&String> = before.iter().collect();
    let after: HashSet<&String> = after.iter().collect();
    let added = after.difference(&before).count();
    let removed = before.difference(&after).count();
    (added + removed > 0).then_some(FieldChange::Keys { added, removed })
}

pub(super) fn global_fields(config: &FleetConfig) -> [FieldValue; 5] {
    let limits = &config.limits;
    [
        ("head-bytes", limits.head_bytes.to_string()),
        ("body-bytes", limits.body_bytes.to_string()),
        ("head-timeout", milliseconds(limits.head_timeout)),
        ("idle-timeout", milliseconds(limits.idle_timeout)),
        ("requires-keys", config.requires_keys.to_string()),
    ]
}

// The functions below name every field of an entry, so that a new field cannot be forgotten.

pub(super) fn route_fields(route: &RouteEntry) -> [FieldValue; 10] {
    let RouteEntry {
        name: _,
        host,
        prefix,
        idempotent,
        large_bodies,
        timeout,
        target_latency,
        priority,
        max_attempts,
        allow_anonymous,
        services,
    } = route;
    [
        ("host", host.clone()),
        ("prefix", prefix.clone()),
        ("idempotent", idempotent.to_string()),
        ("large-bodies", large_bodies.to_string()),
        ("timeout", milliseconds(*timeout)),
        ("target-latency", milliseconds(*target_latency)),
        ("priority", priority.to_string()),
        ("max-attempts", max_attempts.to_string()),
        ("allow-anonymous", allow_anonymous.to_string()),
        ("services", weights(services)),
    ]
}

pub(super) fn service_fields(service: &ServiceEntry) -> [FieldValue; 3] {
    let ServiceEntry {
        name: _,
        health_path,
        max_connections,
        cold,
    } = service;
    [
        ("health-path", health_path.clone()),
        ("max-connections", max_connections.to_string()),
        ("cold-limit", cold_limit(*cold)),
    ]
}

pub(super) fn team_fields(team: &TeamEntry) -> [FieldValue; 3] {
    let TeamEntry {
        name: _,
        keys: _,
        priority,
        rate_milli,
        burst,
    } = team;
    [
        ("priority", priority.to_string()),
        ("rate-per-s", from_milli(*rate_milli)),
        ("burst", burst.to_string()),
    ]
}

fn milliseconds(duration: Duration) -> String {
    format!("{} ms", duration.as_millis())
}

fn from_milli(milli: u64) -> String {
    (milli as f64 / MILLI).to_string()
}

fn weights(services: &[WeightedService]) -> String {
    let parts = services.iter();
    let parts = parts.map(|part| format!("{}={}", part.service, from_milli(part.weight_milli)));
    parts.collect::<Vec<_>>().join(" ")
}

fn cold_limit(limit: Option<ColdLimit>) -> String {
    limit.map_or_else(
        || "none".to_owned(),
        |limit| {
            let rate = from_milli(limit.rate_milli);
            format!("{rate}/s for {}", milliseconds(limit.duration))
        },
    )
}
