//! Parts of the reports that the replays send to the planner.

use std::sync::Arc;

use model::entry::OfferedRequests;
use model::entry::RequestKind;
use model::entry::RouteExecutions;
use model::entry::ServerCapacity;
use model::ids::RouteName;

/// Length of the window of a report, in milliseconds.
pub(crate) const WINDOW_MS: u32 = 300;

pub(crate) fn offer(route: &str, route_priority: u8, count: f64) -> OfferedRequests {
    let kind = RequestKind {
        route_priority,
        team_priority: 0,
        route: RouteName::from(route),
    };
    let count = whole(count);
    OfferedRequests { kind, count }
}

/// Calls of which some were refused by the server and the others took `busy_ms` each.
pub(crate) fn run(route: &str, sent: f64, refused: f64, busy_ms: f64) -> RouteExecutions {
    RouteExecutions {
        route: RouteName::from(route),
        started: whole(sent),
        refused: whole(refused),
        count: whole(sent - refused),
        busy_ms: whole((sent - refused) * busy_ms),
    }
}

pub(crate) fn place(service: &str, slots: u32) -> ServerCapacity {
    ServerCapacity {
        service: Arc::from(service),
        slots,
        pace: None,
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "small counts"
)]
fn whole(count: f64) -> u32 {
    count.round() as u32
}
