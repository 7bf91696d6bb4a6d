//! Raft consensus without I/O: events and the current time go in, writes and messages come out.
//!
//! Implements pre-votes, learners, membership changes of one voter at a time, leadership transfer,
//! chunked snapshots and linearizable reads without log entries (`ReadIndex`). See
//! `docs/QUORUM.md` for the protocol and the alternatives that were considered.

mod config;
mod core;
mod entry;
mod entry_log;
mod membership;
mod message;
mod output;
mod quorum_rule;
mod rng;

/// ID of a control instance; an instance whose disk was wiped rejoins under a new ID.
pub type InstanceId = u64;

/// Index of an entry in the replicated log; the first entry has index 1.
pub type LogIndex = u64;

/// Raft term; each election starts a new one, and a term has at most one leader.
pub type Term = u64;

/// Random ID of a data folder; a wiped and recreated folder gets a different one.
pub type FolderId = u64;

/// ID that the driver gives to a pending read.
pub type ReadId = u64;

/// Sequence number of a batch of writes; batches are synced in this order.
pub type BatchNumber = u64;

pub use crate::config::RaftConfig;
pub use crate::core::AppendError;
pub use crate::core::DurableState;
pub use crate::core::FatalError;
pub use crate::core::MemberRole;
pub use crate::core::RaftCore;
pub use crate::core::RaftStatus;
pub use crate::entry::EntryPayload;
pub use crate::entry::LogEntry;
pub use crate::entry::LogPosition;
pub use crate::entry::StateSnapshot;
pub use crate::membership::GroupMember;
pub use crate::membership::INITIAL_FOLDER;
pub use crate::membership::MemberChange;
pub use crate::membership::MemberChangeError;
pub use crate::membership::Membership;
pub use crate::message::AppendOutcome;
pub use crate::message::MessageBody;
pub use crate::message::PeerMessage;
pub use crate::output::DurableWrite;
pub use crate::output::OutgoingMessage;
pub use crate::output::RaftOutput;
pub use crate::output::ReadOutcome;
pub use crate::output::StateUpdate;
pub use crate::quorum_rule::QuorumRule;
pub use crate::quorum_rule::QuorumTerms;
pub use crate::rng::SplitMix64;
