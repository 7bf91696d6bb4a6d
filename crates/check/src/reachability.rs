//! Routes that can never match, and services and teams that no request can reach.
//!
//! Follows `fleet::RouteTable`: the host of a request loses its port, is compared as it is and then
//! in lower case with the hosts of the routes in lower case, and the longest prefix of the path
//! without the query wins. A test compares both.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::Ipv6Addr;

use fleet::FleetConfig;
use fleet::RouteEntry;
use model::ids::RouteName;

use crate::CheckFinding;
use crate::contradiction::has_usable_key;

/// Returns the warnings for routes, services and teams that have no effect.
pub(crate) fn find_unreachable(config: &FleetConfig) -> Vec<CheckFinding> {
    let mut findings = Vec::new();
    let mut reached = HashSet::new();
    let mut owners: HashMap<(String, &str), &RouteEntry> = HashMap::new();
    for route in &config.routes {
        let faults = pattern_faults(route);
        let never_matches = faults.iter().any(prevents_match);
        findings.extend(faults);
        let pattern = (route.host.to_ascii_lowercase(), route.prefix.as_str());
        let owner = *owners.entry(pattern).or_insert(route);
        let is_shadowed = !std::ptr::eq(owner, route);
        // Equal hosts in equal case are an error already.
        if is_shadowed && owner.host != route.host {
            let (route, by) = (route.name.clone(), owner.name.clone());
            findings.push(CheckFinding::ShadowedRoute { route, by });
        }
        if !never_matches && !is_shadowed {
            reached.extend(weighted_services(route));
        }
    }
    findings.extend(unreachable_services(config, &reached));
    findings.extend(unreachable_teams(config));
    findings.extend(repeated_names(config));
    findings
}

/// Returns what prevents or alters the match of a route by its own host and prefix.
fn pattern_faults(entry: &RouteEntry) -> Vec<CheckFinding> {
    let mut faults = Vec::new();
    faults.extend(host_fault(entry));
    let prefix = entry.prefix.clone();
    if prefix.contains(|character: char| {
        matches!(character, '?' | '#' | ' ') || character.is_ascii_control()
    }) {
        let route = entry.name.clone();
        faults.push(CheckFinding::UnmatchablePrefix { route, prefix });
    }
    faults
}

fn host_fault(entry: &RouteEntry) -> Option<CheckFinding> {
    let (route, host) = (entry.name.clone(), entry.host.clone());
    if host.is_empty() {
        return Some(CheckFinding::EmptyHost { route });
    }
    let name = without_port(&host);
    if !is_host_name(name) {
        return Some(CheckFinding::InvalidHost { route, host });
    }
    if name.len() < host.len() {
        return Some(CheckFinding::HostWithPort { route, host });
    }
    let has_upper_case = host.contains(|character: char| character.is_ascii_uppercase());
    has_upper_case.then_some(CheckFinding::UpperCaseHost { route, host })
}

/// Removes a port; the colons of an IPv6 address are in brackets.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

fn is_host_name(name: &str) -> bool {
    let address = name
        .strip_prefix('[')
        .and_then(|name| name.strip_suffix(']'));
    let is_name_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    match address {
        Some(address) => address.parse::<Ipv6Addr>().is_ok(),
        None => !name.is_empty() && name.bytes().all(is_name_byte),
    }
}

const fn prevents_match(fault: &CheckFinding) -> bool {
    // Requests without a host match an empty one.
    !matches!(
        fault,
        CheckFinding::EmptyHost { .. } | CheckFinding::UpperCaseHost { .. }
    )
}

fn weighted_services(route: &RouteEntry) -> impl Iterator<Item = &str> {
    let services = route.services.iter();
    services
        .filter(|part| part.weight_milli > 0)
        .map(|part| &*part.service)
}

fn unreachable_services(config: &FleetConfig, reached: &HashSet<&str>) -> Vec<CheckFinding> {
    let parts = config.routes.iter().flat_map(|route| &route.services);
    let named: HashSet<&str> = parts.map(|part| &*part.service).collect();
    let weighted: HashSet<&str> = config.routes.iter().flat_map(weighted_services).collect();
    let services = config.services.iter().map(|entry| &entry.name);
    let unreached = services.filter(|name| !reached.contains(&***name));
    unreached
        .map(|name| {
            let service = name.clone();
            if named.contains(&**name) && !weighted.contains(&**name) {
                CheckFinding::UnweightedService { service }
            } else {
                CheckFinding::UnreachableService { service }
            }
        })
        .collect()
}

/// Returns teams without keys; a rate of such a team is a contradiction instead.
fn unreachable_teams(config: &FleetConfig) -> impl Iterator<Item = CheckFinding> {
    let teams = config.teams.iter();
    teams
        .filter(|team| team.rate_milli == 0 && !has_usable_key(team))
        .map(|team| CheckFinding::UnreachableTeam {
            team: team.name.clone(),
        })
}

fn repeated_names(config: &FleetConfig) -> Vec<CheckFinding> {
    let routes = repeated(config.routes.iter().map(|entry| &entry.name));
    let services = repeated(config.services.iter().map(|entry| &entry.name));
    let teams = repeated(config.teams.iter().map(|entry| &entry.name));
    let routes = routes.map(|route: RouteName| CheckFinding::RepeatedRoute { route });
    let services = services.map(|service| CheckFinding::RepeatedService { service });
    let teams = teams.map(|team| CheckFinding::RepeatedTeam { team });
    routes.chain(services).chain(teams).collect()
}

fn repeated<'a>(names: impl Iterator<Item = &'a RouteName>) -> impl Iterator<Item = RouteName> {
    let mut seen = HashSet::new();
    names.filter(move |name| !seen.insert(&***name)).cloned()
}
