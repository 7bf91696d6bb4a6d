//! Whether a configuration may come into force at all.

use std::collections::HashSet;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::FleetConfig;
use crate::RouteEntry;

/// Longest timeout of a route, in seconds.
const TIMEOUT_MAX_S: u64 = 600;

/// Why a configuration is refused.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ConfigFault {
    /// A route names a service that is not listed.
    #[display("route {route}: service {service} is not listed")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
    /// Two routes have the same host and prefix.
    #[display("route {route}: another route has the same host and prefix")]
    SamePlace {
        /// The later of the two.
        route: String,
    },
    /// No service of a route has a weight.
    #[display("route {route}: the weights add up to 0")]
    NoWeight {
        /// The route.
        route: String,
    },
    /// A timeout is zero or too long.
    #[display("route {route}: the timeout must lie between 1 ms and 10 minutes")]
    Timeout {
        /// The route.
        route: String,
    },
    /// A route allows no attempt.
    #[display("route {route}: at least one attempt is needed")]
    NoAttempts {
        /// The route.
        route: String,
    },
    /// A prefix does not begin and end with a slash.
    #[display("route {route}: the prefix must begin and end with a slash")]
    Prefix {
        /// The route.
        route: String,
    },
    /// Two teams have the same key.
    #[display("team {team}: another team has one of its keys")]
    SharedKey {
        /// The later of the two.
        team: String,
    },
}

/// Checks what can be told from the configuration alone.
///
/// # Errors
///
/// Names the first fault that is found.
pub fn check(config: &FleetConfig) -> Result<(), ConfigFault> {
    let services: HashSet<&str> = config.services.iter().map(|entry| &*entry.name).collect();
    let mut places = HashSet::new();
    for route in &config.routes {
        check_route(route, &services)?;
        if !places.insert((route.host.as_str(), route.prefix.as_str())) {
            let route = route.name.to_string();
            return Err(ConfigFault::SamePlace { route });
        }
    }
    check_keys(config)
}

fn check_route(entry: &RouteEntry, services: &HashSet<&str>) -> Result<(), ConfigFault> {
    let route = entry.name.to_string();
    let unknown = entry
        .services
        .iter()
        .find(|part| !services.contains(&*part.service));
    if let Some(part) = unknown {
        let service = part.service.to_string();
        return Err(ConfigFault::UnknownService { route, service });
    }
    if entry.services.iter().all(|part| part.weight_milli == 0) {
        return Err(ConfigFault::NoWeight { route });
    }
    if entry.timeout.is_zero() || entry.timeout > Duration::from_secs(TIMEOUT_MAX_S) {
        return Err(ConfigFault::Timeout { route });
    }
    if entry.attempts == 0 {
        return Err(ConfigFault::NoAttempts { route });
    }
    if !entry.prefix.starts_with('/') || !entry.prefix.ends_with('/') {
        return Err(ConfigFault::Prefix { route });
    }
    Ok(())
}

fn check_keys(config: &FleetConfig) -> Result<(), ConfigFault> {
    let mut keys = HashSet::new();
    for team in &config.teams {
        let own: HashSet<&str> = team.keys.iter().map(String::as_str).collect();
        if own.into_iter().any(|key| !keys.insert(key)) {
            let team = team.name.to_string();
            return Err(ConfigFault::SharedKey { team });
        }
    }
    Ok(())
}
