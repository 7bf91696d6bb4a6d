//! Commands of the replicated log and their outcomes.

use model::change::ChangeStatus;
use model::change::OwnerSignature;
use model::change::ProposedChange;
use model::idempotency::ClaimOutcome;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencySettlement;
use model::ids::NodeId;
use model::ids::OwnerKey;
use serde::Deserialize;
use serde::Serialize;

use crate::CodecError;
use crate::TeamAssignment;
use crate::TeamOwner;
use crate::codec;

/// Version of encoded commands.
const COMMAND_VERSION: u8 = 1;

/// Command in an entry of the replicated log.
///
/// Times are the proposer's wall clock in milliseconds since the Unix epoch. They are part of
/// the command, so that every instance applies it with the same time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum ControlCommand {
    /// Sets the initial two owners, who sign changes; only the first such command takes effect.
    SetInitialOwners {
        /// Public keys of the two owners.
        owners: Vec<OwnerKey>,
    },
    /// Submits a change of the declaration with the signatures collected so far.
    SubmitChange {
        /// Proposed change.
        change: ProposedChange,
        /// Signatures of one or both owners.
        signatures: Vec<OwnerSignature>,
    },
    /// Claims the right to run a request that must run at most once.
    Claim {
        /// Request and attempt that claim it.
        claim: IdempotencyClaim,
        /// Proposer's wall clock, in milliseconds since the Unix epoch.
        wall_ms: u64,
    },
    /// Reports the result of an attempt that was claimed.
    Settle {
        /// Attempt and its result.
        settle: IdempotencySettlement,
        /// Proposer's wall clock, in milliseconds since the Unix epoch.
        wall_ms: u64,
    },
    /// Ends all attempts of a node that will not come back.
    AbandonNode {
        /// ID of the node.
        node: NodeId,
        /// Proposer's wall clock, in milliseconds since the Unix epoch.
        wall_ms: u64,
    },
    /// Assigns teams to the control instances that issue their tokens.
    AssignTeamOwners {
        /// Assignments, one per team.
        assignments: Vec<TeamAssignment>,
    },
    /// Advances the time of the replicated state when no other command does.
    AdvanceTime {
        /// Proposer's wall clock, in milliseconds since the Unix epoch.
        wall_ms: u64,
    },
}

/// Version of encoded outcomes.
const OUTCOME_VERSION: u8 = 1;

/// Outcome of a command, returned to its proposer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The command took effect, now or before.
    Done,
    /// Status of a submitted change.
    Change(ChangeStatus),
    /// Outcome of a claim.
    Claim(ClaimOutcome),
    /// Owners of the teams that the command named, after the assignment.
    Owners(Vec<TeamOwner>),
    /// The command cannot be decoded or applied, for the given reason.
    Refused(String),
}

impl ControlCommand {
    /// Encodes the command as a log entry.
    ///
    /// # Errors
    ///
    /// Fails only if a value has no encoding.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        codec::encode(COMMAND_VERSION, self)
    }

    /// Decodes a log entry.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a command of the version that this process supports.
    pub fn decode(entry: &[u8]) -> Result<Self, CodecError> {
        codec::decode(COMMAND_VERSION, entry)
    }
}

impl CommandOutcome {
    /// Encodes the outcome for the instance that forwarded the command.
    ///
    /// # Errors
    ///
    /// Fails only if a value has no encoding.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        codec::encode(OUTCOME_VERSION, self)
    }

    /// Decodes an outcome.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not an outcome of the version that this process supports.
    pub fn decode(outcome: &[u8]) -> Result<Self, CodecError> {
        codec::decode(OUTCOME_VERSION, outcome)
    }
}
