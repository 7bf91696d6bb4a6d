//! The configuration that operators submit: routes, services, teams and limits.

use std::time::Duration;

use model::ids::ConfigVersion;
use model::ids::RouteName;
use model::ids::ServiceName;
use model::ids::TeamName;
use serde::Deserialize;
use serde::Serialize;

/// Largest document of a configuration that control reads, in bytes.
pub const DOCUMENT_BYTES_MAX: usize = 8 * 1024 * 1024;

/// A complete configuration; a newer one replaces it entirely.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    /// Version of the configuration; each accepted version is above the one before.
    pub version: ConfigVersion,
    /// Version that the operator edited to get this one; 0 for the first.
    pub base_version: ConfigVersion,
    /// Routes in the order of the operator's document.
    pub routes: Vec<RouteEntry>,
    /// Services that routes may refer to.
    pub services: Vec<ServiceEntry>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Whether requests need the key of a team, even while there is no team.
    pub requires_keys: bool,
    /// Teams with their keys.
    pub teams: Vec<TeamEntry>,
}

/// Where requests of one host and path prefix go, and how they are treated.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: RouteName,
    /// Host of the request, without the port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Whether request or response bodies are large, so that traffic between data centres is
    /// planned.
    pub large_bodies: bool,
    /// Longest time within which a caller must get a response.
    pub timeout: Duration,
    /// Response time up to which a response has its full value to the caller.
    pub target_latency: Duration,
    /// Priority among routes; 0 is the most important and is refused last under overload.
    pub priority: u8,
    /// Maximum number of backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests without a valid key are allowed.
    pub allow_anonymous: bool,
    /// Services among which requests are split by weight; a single one gets all of them.
    pub services: Vec<WeightedService>,
}

/// A service of a route with its weight.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight in thousandths, relative to the sum of all weights of the route.
    pub weight_milli: u64,
}

/// A service whose backend servers routes can select.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check on its backend servers.
    pub health_path: String,
    /// Maximum number of connections that one backend server accepts from all callers together.
    pub max_connections: u32,
    /// What its backend servers tolerate while they are cold; `None` for any rate.
    pub cold: Option<ColdLimit>,
}

/// Rate of requests that a backend server tolerates while it is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// Requests per second at one backend server over all nodes, in thousandths.
    pub rate_milli: u64,
    /// Time for which a backend server is cold after its start; zero if it is not stated.
    pub duration: Duration,
}

/// Limits on the size of callers' requests and on the time that callers may take.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: u32,
    /// Largest request body, in bytes.
    pub body_bytes: u32,
    /// Time within which a caller must have sent the request head.
    pub head_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

/// A team with its keys and its rate limit over all nodes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamEntry {
    /// Name of the team.
    pub name: TeamName,
    /// Keys with which its callers authenticate.
    pub keys: Vec<String>,
    /// Priority among teams; 0 is the most important and is refused last under overload.
    /// Takes precedence over the priority of the route.
    pub priority: u8,
    /// Rate limit over all nodes, in thousandths of a request per second; 0 for no limit.
    pub rate_milli: u64,
    /// Number of requests that may exceed the rate at once.
    pub burst: u32,
}
