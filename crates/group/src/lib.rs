//! The control role of a deployment whose control instances find each other by themselves.
//!
//! See `docs/PLATFORM.md`: how the group forms, heals, and keeps what it acknowledged.

mod identity;
mod mesh;
mod operators;
mod registry;
mod repair;
mod run;
mod session;
mod start;
mod state;

pub use crate::identity::instance_at;
pub use crate::identity::instance_ip;
pub use crate::registry::NodeRegistry;
pub use crate::registry::ReportEffect;
pub use crate::repair::MemberView;
pub use crate::repair::RepairPolicy;
pub use crate::run::run;
pub use crate::start::StartFile;
pub use crate::start::StartPlan;
