//! Runs one member of the replicated log: storage, peers and the applied state machine.
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

/// Identity of a control instance; a wiped disk comes back with a new one.
pub type InstanceId = u64;

/// Position of an entry in the replicated log.
pub type LogIndex = u64;

/// Deterministic state on top of the log.
pub trait StateMachine: Send + Sync + 'static {
    /// What applying an entry answers to its proposer.
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
    /// Leadership was lost or time ran out: the entry may yet be committed.
    #[display("the outcome is not known")]
    Unknown,
}

/// Why leadership could not be confirmed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("no quorum confirmed the leader in time")]
pub struct ReadIndexError;

/// What the driver of a replica offers to the rest of a control instance.
pub trait ReplicatedState<M: StateMachine>: Clone + Send + Sync + 'static {
    /// Appends an entry and waits until it is applied here; only on the leader.
    fn propose(
        &self,
        entry: Vec<u8>,
    ) -> impl Future<Output = Result<M::Output, ProposeError>> + Send;

    /// Waits until a quorum confirmed, after this call began, who leads, and
    /// everything committed by then is applied here. Works on every member:
    /// a follower asks the leader. Calls made together share one round.
    fn read_index(&self) -> impl Future<Output = Result<LogIndex, ReadIndexError>> + Send;

    /// Reads the applied state.
    fn read<R>(&self, reader: impl FnOnce(&M) -> R) -> R;

    /// Hands in a message that another member's [`PeerLink`] sent.
    fn receive(&self, from: InstanceId, message: Vec<u8>);
}
