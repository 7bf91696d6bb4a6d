//! Validation of a configuration before it is replicated.

use std::collections::HashSet;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;

use crate::FleetConfig;
use crate::RouteEntry;
use crate::WeightedService;

/// Longest allowed timeout of a route, in seconds.
const TIMEOUT_MAX_S: u64 = 600;

/// Why a configuration is invalid.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// A route names a service that the configuration does not define.
    #[display("route {route}: service {service} is not listed")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the unknown service.
        service: String,
    },
    /// Two routes have the same host and path prefix.
    #[display("route {route}: another route has the same host and prefix")]
    DuplicateRoute {
        /// Name of the later of the two routes.
        route: String,
    },
    /// All weights of a route are zero.
    #[display("route {route}: the weights add up to 0")]
    ZeroWeight {
        /// Name of the route.
        route: String,
    },
    /// A timeout is zero or too long.
    #[display("route {route}: the timeout must lie between 1 ms and 10 minutes")]
    TimeoutOutOfRange {
        /// Name of the route.
        route: String,
    },
    /// A route allows no attempt.
    #[display("route {route}: at least one attempt is needed")]
    NoAttempts {
        /// Name of the route.
        route: String,
    },
    /// A path prefix does not begin and end with a slash.
    #[display("route {route}: the prefix must begin and end with a slash")]
    InvalidPrefix {
        /// Name of the route.
        route: String,
    },
    /// Two teams have the same key.
    #[display("team {team}: another team has one of its keys")]
    DuplicateKey {
        /// Name of the later of the two teams.
        team: String,
    },
}

/// Validates everything that depends on the configuration alone.
///
/// # Errors
///
/// Returns the first of the errors that [`collect_errors`] returns.
pub fn validate(config: &FleetConfig) -> Result<(), ConfigError> {
    collect_errors(config)
        .into_iter()
        .next()
        .map_or(Ok(()), Err)
}

/// Returns all errors that depend on the configuration alone: those of the routes in their order,
/// then those of the teams.
#[must_use]
pub fn collect_errors(config: &FleetConfig) -> Vec<ConfigError> {
    let services: HashSet<&str> = config.services.iter().map(|entry| &*entry.name).collect();
    let mut host_prefixes = HashSet::new();
    let mut errors = Vec::new();
    for route in &config.routes {
        collect_route_errors(route, &services, &mut errors);
        if !host_prefixes.insert((route.host.as_str(), route.prefix.as_str())) {
            let route = route.name.to_string();
            errors.push(ConfigError::DuplicateRoute { route });
        }
    }
    collect_key_errors(config, &mut errors);
    errors
}

fn collect_route_errors(
    entry: &RouteEntry,
    services: &HashSet<&str>,
    errors: &mut Vec<ConfigError>,
) {
    let route = || entry.name.to_string();
    let is_unknown = |part: &&WeightedService| !services.contains(&*part.service);
    errors.extend(entry.services.iter().filter(is_unknown).map(|part| {
        let service = part.service.to_string();
        ConfigError::UnknownService {
            route: route(),
            service,
        }
    }));
    if entry.services.iter().all(|part| part.weight_milli == 0) {
        errors.push(ConfigError::ZeroWeight { route: route() });
    }
    if entry.timeout.is_zero() || entry.timeout > Duration::from_secs(TIMEOUT_MAX_S) {
        errors.push(ConfigError::TimeoutOutOfRange { route: route() });
    }
    if entry.max_attempts == 0 {
        errors.push(ConfigError::NoAttempts { route: route() });
    }
    if !entry.prefix.starts_with('/') || !entry.prefix.ends_with('/') {
        errors.push(ConfigError::InvalidPrefix { route: route() });
    }
}

fn collect_key_errors(config: &FleetConfig, errors: &mut Vec<ConfigError>) {
    let mut keys = HashSet::new();
    for team in &config.teams {
        let own: HashSet<&str> = team.keys.iter().map(String::as_str).collect();
        let distinct = own.len();
        let before = keys.len();
        keys.extend(own);
        if keys.len() - before < distinct {
            let team = team.name.to_string();
            errors.push(ConfigError::DuplicateKey { team });
        }
    }
}
