//! Whole requests are let in or turned away where they enter, by the work that they cause.
//!
//! Load pattern: callers ask for more than the scarcest service can do, and that
//! service lies several calls below the ones they ask. Turning a call away down
//! there wastes all that its request has used already; so the leader plans which
//! part of each kind of request may enter, the most important kinds first.

mod cost;
mod keeper;
mod plan;

pub use keeper::DoorDecision;
pub use keeper::DoorKeeper;
pub use keeper::DoorRequest;
pub use plan::DoorPlanner;
