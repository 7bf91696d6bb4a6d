//! Traffic between data centres: how much of it the leader plans, and where a node sends a call.
//!
//! See `docs/design/traffic.md`.

mod estimate;
mod plan;
mod planner;
mod target;

pub use estimate::NodePlace;
pub use plan::TrafficPlan;
pub use planner::PlannedShare;
pub use planner::TrafficCosts;
pub use planner::TrafficPlanner;
