//! Limits that contradict each other.

use fleet::CallerLimits;
use fleet::FleetConfig;
use fleet::RouteEntry;
use fleet::TeamEntry;

use crate::CheckFinding;

/// Returns the warnings for limits that contradict each other.
pub(crate) fn find_contradictions(config: &FleetConfig) -> Vec<CheckFinding> {
    let routes = config.routes.iter().filter_map(check_target);
    let teams = config.teams.iter().flat_map(check_team);
    let limits = check_limits(&config.limits);
    routes.chain(teams).chain(limits).collect()
}

/// Returns whether requests can have one of the team's keys; a request without a key has none, also
/// not an empty one.
pub(crate) fn has_usable_key(team: &TeamEntry) -> bool {
    team.keys.iter().any(|key| !key.is_empty())
}

fn check_target(entry: &RouteEntry) -> Option<CheckFinding> {
    let route = entry.name.clone();
    (entry.target_latency > entry.timeout).then_some(CheckFinding::TargetAboveTimeout { route })
}

fn check_team(entry: &TeamEntry) -> Vec<CheckFinding> {
    let team = || entry.name.clone();
    let has_rate = entry.rate_milli > 0;
    let mut findings = Vec::new();
    if has_rate && entry.burst == 0 {
        findings.push(CheckFinding::RateWithoutBurst { team: team() });
    }
    if !has_rate && entry.burst > 0 {
        findings.push(CheckFinding::BurstWithoutRate { team: team() });
    }
    if has_rate && !has_usable_key(entry) {
        findings.push(CheckFinding::UnusableRate { team: team() });
    }
    findings
}

fn check_limits(limits: &CallerLimits) -> Option<CheckFinding> {
    let (body_bytes, head_bytes) = (limits.body_bytes, limits.head_bytes);
    (body_bytes < head_bytes).then_some(CheckFinding::BodyBelowHead {
        body_bytes,
        head_bytes,
    })
}
