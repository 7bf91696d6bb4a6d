//! Entries of the replicated log and what they answer.

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

/// An entry of the replicated log.
///
/// Times are the proposer's wall time in milliseconds since the epoch; they
/// are part of the entry, so that every instance reads the same time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum LedgerCommand {
    /// Sets the first two owners; only the first such entry counts.
    Genesis {
        /// The two owners of the settings.
        owners: Vec<OwnerKey>,
    },
    /// Submits a change with the signatures at hand.
    Submit {
        /// The change.
        change: ProposedChange,
        /// Signatures of one or both owners.
        signatures: Vec<OwnerSignature>,
    },
    /// Claims the right to run a request for the first time.
    Claim {
        /// The claim.
        claim: IdempotencyClaim,
        /// Wall time of the proposer.
        wall_ms: u64,
    },
    /// Ends an attempt.
    Settle {
        /// The end.
        settle: IdempotencySettlement,
        /// Wall time of the proposer.
        wall_ms: u64,
    },
    /// Gives up all attempts of a node that is gone for good.
    AbandonNode {
        /// The node.
        node: NodeId,
        /// Wall time of the proposer.
        wall_ms: u64,
    },
    /// Gives teams' rates and bursts to control instances.
    AssignOwners {
        /// One assignment for each team.
        assignments: Vec<TeamAssignment>,
    },
    /// Moves the logged time on when nothing else does.
    AdvanceTime {
        /// Wall time of the proposer.
        wall_ms: u64,
    },
}

/// Version of encoded outcomes.
const OUTCOME_VERSION: u8 = 1;

/// What an entry answers to its proposer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum LedgerOutcome {
    /// Done, or already done before.
    Done,
    /// Where a submitted change stands.
    Change(ChangeStatus),
    /// Outcome of a claim.
    Claim(ClaimOutcome),
    /// Owners of the teams named, after the assignment.
    Owners(Vec<TeamOwner>),
    /// The entry cannot be read or does not apply, with the reason.
    Refused(String),
}

impl LedgerCommand {
    /// Encodes the command as an entry.
    ///
    /// # Errors
    ///
    /// Fails only when the codec has no encoding for a value.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        codec::encode(COMMAND_VERSION, self)
    }

    /// Decodes an entry.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no command of the version that this process reads.
    pub fn decode(entry: &[u8]) -> Result<Self, CodecError> {
        codec::decode(COMMAND_VERSION, entry)
    }
}

impl LedgerOutcome {
    /// Encodes the outcome, for the instance that forwarded the command.
    ///
    /// # Errors
    ///
    /// Fails only when the codec has no encoding for a value.
    pub fn encode(&self) -> Result<Vec<u8>, CodecError> {
        codec::encode(OUTCOME_VERSION, self)
    }

    /// Decodes an outcome.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no outcome of the version that this process reads.
    pub fn decode(outcome: &[u8]) -> Result<Self, CodecError> {
        codec::decode(OUTCOME_VERSION, outcome)
    }
}
