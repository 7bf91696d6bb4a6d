//! Supervisor tree: restarts failed tasks with backoff and gives up on crash loops.

mod backoff;
mod tree;

pub use backoff::RestartBackoff;
pub use backoff::RestartVerdict;
pub use tree::TaskSupervisor;
