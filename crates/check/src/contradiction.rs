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

/// Returns whether a request can have one of the team's keys.
pub(crate) fn has_usable_key(team: &TeamEntry) -> bool {
    team.keys.iter().any(|key| is_sendable(key))
}

/// Returns whether a header can carry a key: neither empty, nor with white space around it, which
/// is removed, nor with other characters than visible ASCII.
fn is_sendable(key: &str) -> bool {
    let is_header_byte = |byte: u8| byte.is_ascii_graphic() || byte == b' ';
    !key.is_empty() && key.trim() == key && key.bytes().all(is_header_byte)
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
