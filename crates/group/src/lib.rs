//! The control role of a deployment whose control instances discover each other.
//!
//! See `docs/PLATFORM.md` for how the group forms, replaces lost members and keeps acknowledged
//! changes.

mod capacity;
mod discovery;
mod identity;
mod operators;
mod peer_links;
mod recorder;
mod registry;
mod repair;
mod run;
mod session;
mod start;
mod state;
mod strength;
mod traffic;

pub use crate::capacity::server_capacity;
pub use crate::discovery::MembersAnswer;
pub use crate::discovery::choose_members;
pub use crate::identity::instance_id;
pub use crate::identity::instance_ip;
pub use crate::registry::NodeChanges;
pub use crate::registry::NodeRegistry;
pub use crate::registry::ReportEffect;
pub use crate::repair::MemberView;
pub use crate::repair::RepairPolicy;
pub use crate::run::run;
pub use crate::start::DataDirectory;
pub use crate::start::StartPlan;
pub use crate::strength::GroupStrength;
