//! Consensus core of the replicated log: a pure state machine, events and time in, effects out.
//!
//! See `docs/QUORUM.md` for the rules and what was weighed.

mod core;
mod entry;
mod entry_log;
mod generator;
mod membership;
mod message;
mod output;
mod timing;

/// Identity of a control instance; a wiped disk comes back with a new one.
pub type InstanceId = u64;

/// Position of an entry in the replicated log; the first entry has index 1.
pub type LogIndex = u64;

/// Number of an election; at most one leader exists in each.
pub type Term = u64;

/// Random name of a data folder, so that a wiped one is told from its predecessor.
pub type FolderId = u64;

/// Name that the driver gives to a waiting read.
pub type ReadTicket = u64;

/// Number of a batch of writes; they are synced in this order.
pub type BatchNumber = u64;

pub use crate::core::CoreError;
pub use crate::core::CoreFault;
pub use crate::core::CoreStatus;
pub use crate::core::DurableState;
pub use crate::core::MemberDuty;
pub use crate::core::QuorumCore;
pub use crate::entry::EntryPayload;
pub use crate::entry::LogEntry;
pub use crate::entry::LogPosition;
pub use crate::entry::StateSnapshot;
pub use crate::generator::SeededGenerator;
pub use crate::membership::ChangeError;
pub use crate::membership::GroupMember;
pub use crate::membership::INITIAL_FOLDER;
pub use crate::membership::MemberChange;
pub use crate::membership::Membership;
pub use crate::message::AppendOutcome;
pub use crate::message::MessageBody;
pub use crate::message::PeerMessage;
pub use crate::output::AppliedEffect;
pub use crate::output::CoreOutput;
pub use crate::output::DurableWrite;
pub use crate::output::OutgoingMessage;
pub use crate::output::ReadOutcome;
pub use crate::timing::CoreTiming;
