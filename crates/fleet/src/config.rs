//! The configuration that operators send: routes, services, teams and limits.

use std::time::Duration;

use model::ids::ConfigVersion;
use model::ids::RouteName;
use model::ids::ServiceName;
use model::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;

/// One whole configuration; a newer one replaces it as a whole.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Number of the configuration; it only grows.
    pub version: ConfigVersion,
    /// Version that the operator built this one on; 0 for the first.
    pub base: ConfigVersion,
    /// Routes in the order in which they were sent.
    pub routes: Vec<RouteEntry>,
    /// Services that routes may name.
    pub services: Vec<ServiceEntry>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Teams with their keys; requests need a key when there is any.
    pub teams: Vec<TeamEntry>,
}

/// Where requests of one host and path prefix go, and how they are treated.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: RouteName,
    /// Host that the request names, without a port.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller may be kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most to the caller.
    pub aim: Duration,
    /// Order among routes, 0 for the one refused last.
    pub order: u8,
    /// Most backend servers to which one request may be sent.
    pub attempts: u32,
    /// Whether no key is needed.
    pub anonymous: bool,
    /// Services that share the requests; a single one has all the weight.
    pub services: Vec<WeightedService>,
}

/// One service of a route with its part of the requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Part of the requests in thousandths, relative to the sum of all weights.
    pub weight_milli: u64,
}

/// One service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check of its backend servers.
    pub health_path: String,
    /// Connections that one of its backend servers accepts from all callers together.
    pub connections: u32,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: u32,
    /// Largest request body, in bytes.
    pub body_bytes: u32,
    /// Time within which a caller must have sent its head.
    pub head_timeout: Duration,
    /// Time for which a connection may be idle.
    pub idle_timeout: Duration,
}

/// One team with its keys and its limit over all nodes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamEntry {
    /// Name of the team.
    pub name: TeamName,
    /// Keys that its callers send.
    pub keys: Vec<String>,
    /// Order among teams, 0 for the one refused last; it goes before that of routes.
    pub order: u8,
    /// Requests per second over all nodes; 0 for no limit.
    pub rate_per_s: u32,
    /// Requests above the rate that may come at once.
    pub burst: u32,
}
