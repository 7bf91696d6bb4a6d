//! Raft consensus without I/O: events and the current time go in, writes and messages come out.
//!
//! Implements pre-votes, learners, single-server membership changes, leadership transfer,
//! chunked snapshots and linearizable reads without log entries (`ReadIndex`). See
//! `docs/QUORUM.md` for the protocol and the alternatives that were considered.

mod core;
mod entry;
mod entry_log;
mod generator;
mod membership;
mod message;
mod output;
mod timing;

/// ID of a control instance; an instance whose disk was wiped rejoins under a new ID.
pub type InstanceId = u64;

/// Index of an entry in the replicated log; the first entry has index 1.
pub type LogIndex = u64;

/// Raft term; each election starts a new one, and a term has at most one leader.
pub type Term = u64;

/// Random ID of a data folder; a wiped and recreated folder gets a different one.
pub type FolderId = u64;

/// ID that the driver gives to a pending read.
pub type ReadTicket = u64;

/// Sequence number of a batch of writes; batches are synced in this order.
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
