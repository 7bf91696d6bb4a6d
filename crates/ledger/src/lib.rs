//! The state that the control instances agree on, driven by the replicated log.

mod codec;
mod command;
mod config;
mod owners;
mod state;

pub use codec::CodecError;
pub use command::LedgerCommand;
pub use command::LedgerOutcome;
pub use config::ConfigState;
pub use owners::OwnerTable;
pub use owners::TeamAssignment;
pub use owners::TeamOwner;
pub use state::LedgerState;
