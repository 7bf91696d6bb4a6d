//! Admits or refuses whole requests at their entry node, by the work that they cause.
//!
//! Load pattern: callers send more than the bottleneck service can do, and that
//! service lies several calls below the ones that they call. Refusing a call there
//! wastes all the work already done for its request. So the leader plans which
//! fraction of each kind of request is admitted, the most important kinds first.

mod admission;
mod demand;
mod fanout;
mod mean_speed;
mod plan_gate;
mod plan_history;
mod planner;
mod refusals;

pub use admission::EntryAdmission;
pub use admission::EntryDecision;
pub use admission::EntryRequest;
pub use plan_gate::GateState;
pub use plan_gate::PlanGate;
pub use plan_gate::PlanInputs;
pub use planner::EntryPlanner;
