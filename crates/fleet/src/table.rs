//! Lookup of routes, key owners and services in a configuration.

use std::collections::HashMap;

use model::ids::ConfigVersion;

use crate::FleetConfig;
use crate::RouteEntry;
use crate::ServiceEntry;
use crate::TeamEntry;

/// Owner of the key that came with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyOwner<'a> {
    /// No key was sent, and the configuration requires none.
    NotNeeded,
    /// The team that holds the key.
    Team(&'a TeamEntry),
    /// No team holds the key, or the request had none.
    Unknown,
}

/// A configuration with lookup indexes, built once for each version.
#[derive(Clone, Debug)]
pub struct RouteTable {
    config: FleetConfig,
    /// Positions of the routes of each host, the longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    by_key: HashMap<String, usize>,
}

impl RouteTable {
    /// Builds the indexes of a configuration.
    #[must_use]
    pub fn new(config: FleetConfig) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (position, route) in config.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(position);
        }
        for positions in by_host.values_mut() {
            positions
                .sort_by_key(|&position| std::cmp::Reverse(config.routes[position].prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (position, team) in config.teams.iter().enumerate() {
            by_key.extend(team.keys.iter().map(|key| (key.clone(), position)));
        }
        Self {
            config,
            by_host,
            by_key,
        }
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.config.version
    }

    /// Returns the configuration itself.
    #[must_use]
    pub const fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Returns the route of the host with the longest matching path prefix.
    ///
    /// `host` may include a port, `path` a query string.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteEntry> {
        let name = without_port(host);
        let path = path.split('?').next().unwrap_or(path);
        let positions = match self.by_host.get(name) {
            Some(positions) => positions,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        let routes = positions
            .iter()
            .map(|&position| &self.config.routes[position]);
        routes
            .into_iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the owner of a key.
    ///
    /// A key that is sent must be known even where none is required: a configuration without teams
    /// withdraws the keys of the one before it.
    #[must_use]
    pub fn key_owner(&self, key: Option<&str>) -> KeyOwner<'_> {
        if key.is_none() && !self.config.requires_keys {
            return KeyOwner::NotNeeded;
        }
        let position = key.and_then(|key| self.by_key.get(key));
        position.map_or(KeyOwner::Unknown, |&position| {
            KeyOwner::Team(&self.config.teams[position])
        })
    }

    /// Returns the configuration of a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.config
            .services
            .iter()
            .find(|entry| &*entry.name == name)
    }
}

/// Returns the host without a port; the colons of an IPv6 literal are within brackets.
fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if !port.ends_with(']') => name,
        _ => host,
    }
}
