//! Supervisor tree: restarts failed tasks with backoff and gives up on crash loops.

mod backoff;
mod task_supervisor;

pub use backoff::RestartBackoff;
pub use backoff::RestartDecision;
pub use task_supervisor::TaskSupervisor;
