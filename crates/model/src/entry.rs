//! Work reports of nodes, and the share of requests admitted at the entry nodes.

use serde::Deserialize;
use serde::Serialize;

use crate::context::ServerPace;
use crate::ids::RouteName;
use crate::ids::ServiceName;

/// Requests that are admitted or refused alike; sorted with the kind refused last first.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestKind {
    /// Priority of the route, 0 for the one refused last.
    pub route_priority: u8,
    /// Priority of the team, 0 for the one refused last.
    pub team_priority: u8,
    /// The route.
    pub route: RouteName,
}

/// Number of requests of one kind that callers sent to one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OfferedRequests {
    /// The kind.
    pub kind: RequestKind,
    /// Requests received in the window, admitted or not.
    pub count: u32,
}

/// Calls of one route that a backend server ran in the window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteExecutions {
    /// The route.
    pub route: RouteName,
    /// Calls that started in the window.
    pub started: u32,
    /// Started calls that the backend server itself refused.
    pub refused: u32,
    /// Calls that completed in the window.
    pub count: u32,
    /// Total time that the completed calls spent in the backend server, in milliseconds.
    pub busy_ms: u32,
}

/// Calls that a backend server sent to other services in the window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteCalls {
    /// Route of the request that caused the calls.
    pub parent: RouteName,
    /// Route that was called.
    pub route: RouteName,
    /// Number of calls.
    pub count: u32,
}

/// Calls that a node sent to servers of one service in the window, in any data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SentCalls {
    /// The service that was called.
    pub service: ServiceName,
    /// Number of calls; one that was retried counts once.
    pub count: u32,
}

/// Work observed by one node in one time window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkReport {
    /// Length of the window, in milliseconds.
    pub window_ms: u32,
    /// Requests received from callers.
    pub offered: Vec<OfferedRequests>,
    /// Calls that the node's backend server ran.
    pub runs: Vec<RouteExecutions>,
    /// Calls that the backend server sent to other services.
    pub calls: Vec<RouteCalls>,
    /// Calls that the node sent, by service; empty while no traffic plan is in force.
    pub sent: Vec<SentCalls>,
    /// Calls refused at this node because their queueing time would have been too long.
    pub refused: u32,
}

impl WorkReport {
    /// Largest ratio of the demand at a server to what it ran, as estimated from refused calls.
    pub const DEMAND_RATIO_MAX: f64 = 2.5;

    /// Returns the ratio of the calls that were asked for to the calls that ran, at most
    /// [`Self::DEMAND_RATIO_MAX`].
    ///
    /// The number of slots in use does not show it once all are in use: a full service looks the
    /// same under any load.
    #[must_use]
    pub fn demand_ratio(&self) -> f64 {
        let started: u32 = self.runs.iter().map(|run| run.started).sum();
        let refused_ratio = f64::from(self.refused) / f64::from(started.max(1));
        (1.0 + refused_ratio).min(Self::DEMAND_RATIO_MAX)
    }
}

/// Capacity of the backend server that a report comes from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerCapacity {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Calls that it runs concurrently; 0 when it accepts no work.
    pub slots: u32,
    /// Pace that it last reported; `None` if it reports none or not lately.
    pub pace: Option<ServerPace>,
}

/// Share of the requests of one kind that is admitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryShare {
    /// The kind.
    pub kind: RequestKind,
    /// Admitted share, in thousandths.
    pub admitted_milli: u16,
}
