//! Replicated state machine of the control instances.
//!
//! The commands of the replicated log change three parts of the state: the declaration, every
//! change of which two owners sign, the control instance that issues each team's tokens, and the
//! records of requests that must run at most once.

mod codec;
mod command;
mod config;
mod state;
mod team_owners;

pub use codec::CodecError;
pub use command::CommandOutcome;
pub use command::ControlCommand;
pub use config::ConfigState;
pub use state::ControlState;
pub use team_owners::TeamAssignment;
pub use team_owners::TeamOwner;
pub use team_owners::TeamOwnerTable;
