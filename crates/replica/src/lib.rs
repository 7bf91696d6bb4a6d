//! One member of a Raft group: its storage, its messages to peers and its state machine.
//!
//! See `docs/QUORUM.md` for the design and its measurements.

mod config;
mod driver;
mod envelope;
mod handle;
mod status;
pub mod storage;

use std::future::Future;

use derive_more::Display;
use derive_more::Error;

pub use quorum::MemberChange;
pub use quorum::MemberChangeError;
pub use quorum::MemberRole;
pub use quorum::Membership;
pub use quorum::RaftConfig;

pub use crate::config::ReplicaConfig;
pub use crate::handle::ReplicaHandle;
pub use crate::status::ReplicaError;
pub use crate::status::ReplicaStatus;

/// ID of a control instance; an instance whose disk was wiped must join under a new one.
pub type InstanceId = u64;

/// Position of an entry in the replicated log.
pub type LogIndex = u64;

/// Deterministic state machine that the entries of the log are applied to.
pub trait StateMachine: Send + Sync + 'static {
    /// Result of applying an entry, returned to its proposer.
    type Output: Send + 'static;

    /// Applies a committed entry; must depend on nothing but state and entry.
    fn apply(&mut self, index: LogIndex, entry: &[u8]) -> Self::Output;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the state by an encoded one.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a snapshot of a known version.
    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()>;
}

/// Sends messages to other members; loss, duplication and reordering are allowed.
pub trait PeerLink: Clone + Send + Sync + 'static {
    /// Queues an encoded message for a member; drops it when that is not possible.
    fn send(&self, to: InstanceId, message: Vec<u8>);
}

/// Why a proposal has no outcome.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum ProposeError {
    /// This instance does not lead, and nothing was appended.
    #[display("not the leader, try {leader:?}")]
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceId>,
    },
    /// Leadership was lost or the timeout passed: the entry may still be committed.
    #[display("the outcome is not known")]
    Unknown,
}

/// A linearizable read failed, because no quorum confirmed the leader in time.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("no quorum confirmed the leader in time")]
pub struct ReadIndexError;

/// Access to a replicated state machine: proposals, linearizable reads and peer messages.
pub trait ReplicatedState<M: StateMachine>: Clone + Send + Sync + 'static {
    /// Appends an entry and waits until it is applied here; only on the leader.
    fn propose(
        &self,
        entry: Vec<u8>,
    ) -> impl Future<Output = Result<M::Output, ProposeError>> + Send;

    /// Makes the next [`read`](Self::read) linearizable, as Raft's `ReadIndex` does.
    ///
    /// Waits until a quorum has confirmed the leader after this call began, and until
    /// everything committed by then is applied here; returns the applied index. Works on
    /// every member: a follower asks the leader. Calls made together share one round of
    /// heartbeats.
    fn read_index(&self) -> impl Future<Output = Result<LogIndex, ReadIndexError>> + Send;

    /// Reads the applied state.
    fn read<R>(&self, reader: impl FnOnce(&M) -> R) -> R;

    /// Receives a message that the [`PeerLink`] of another member sent.
    fn receive(&self, from: InstanceId, message: Vec<u8>);
}
