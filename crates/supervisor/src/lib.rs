//! Supervision tree: restarts failed tasks with exponential backoff and stops on a crash loop.

mod backoff;
mod task_supervisor;

pub use backoff::RestartBackoff;
pub use backoff::RestartDecision;
pub use task_supervisor::TaskSupervisor;
