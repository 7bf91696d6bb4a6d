//! Admits or refuses whole requests at their entry node, by the work that they cause.
//!
//! Load pattern: callers send more than the bottleneck service can do, and that
//! service lies several calls below the ones that they call. Refusing a call there
//! wastes all the work already done for its request. So the leader plans which
//! fraction of each kind of request is admitted, the most important kinds first.

mod cost;
mod keeper;
mod plan;

pub use keeper::DoorDecision;
pub use keeper::DoorKeeper;
pub use keeper::DoorRequest;
pub use plan::DoorPlanner;
