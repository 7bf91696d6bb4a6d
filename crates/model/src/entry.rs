//! What nodes tell of the work that requests cause, and which part of them may enter.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::RouteName;
use crate::ids::ServiceName;

/// Kind of requests that are let in or turned away alike, the one refused last first.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct RequestKind {
    /// Order among routes, 0 for the one refused last.
    pub route_priority: u8,
    /// Order among teams, 0 for the one refused last.
    pub team_priority: u8,
    /// The route.
    pub route: RouteName,
}

/// Requests of callers of one kind, at one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OfferedRequests {
    /// The kind.
    pub kind: RequestKind,
    /// Requests that asked to enter in the window.
    pub count: u32,
}

/// Calls on one route that a backend server ran.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteExecutions {
    /// The route.
    pub route: RouteName,
    /// Calls that began in the window.
    pub started: u32,
    /// Calls that completed in the window.
    pub count: u32,
    /// Sum of their times in the backend server, in milliseconds.
    pub busy_ms: u32,
}

/// Calls that a backend server made in the window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteCalls {
    /// Route of the run that made them.
    pub parent: RouteName,
    /// The route.
    pub route: RouteName,
    /// How many.
    pub count: u32,
}

/// What one node saw in one window.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkReport {
    /// Length of the window, in milliseconds.
    pub window_ms: u32,
    /// What callers asked for.
    pub offered: Vec<OfferedRequests>,
    /// What the backend server beside the node ran.
    pub runs: Vec<RouteExecutions>,
    /// What that backend server asked others for.
    pub calls: Vec<RouteCalls>,
    /// Calls that were refused here because they would have waited for too long.
    pub refused: u32,
}

/// Where the work of a report was done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerCapacity {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Calls that it runs at once; 0 when it takes no work.
    pub slots: u32,
}

/// Part of the requests of one kind that may enter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryShare {
    /// The kind.
    pub kind: RequestKind,
    /// Part that may enter, in thousandths.
    pub admitted_milli: u16,
}
