//! The state machine on top of the replicated log.

use anyhow::Context;
use model::idempotency::ClaimOutcome;
use once::OnceTable;
use replica::LogIndex;
use replica::StateMachine;
use serde::Deserialize;
use serde::Serialize;

use crate::CodecError;
use crate::LedgerCommand;
use crate::LedgerOutcome;
use crate::OwnerTable;
use crate::TeamAssignment;
use crate::codec;
use crate::config::ConfigState;

/// Version of encoded snapshots.
const SNAPSHOT_VERSION: u8 = 1;

/// Most teams in one assignment.
const ASSIGNMENTS_MAX: usize = 4_096;

/// Context of the digest over all parts of the state.
const DIGEST_CONTEXT: &str = "ragwortplank ledger state v1";

/// Digest of a state.
type StateDigest = [u8; 32];

/// Everything that the control instances agree on.
///
/// Applying the same entries leads to the same state on every instance, and
/// equal states have equal digests.
#[derive(Clone, Debug)]
pub struct LedgerState {
    /// Position of the last entry that was applied.
    applied: LogIndex,
    config: ConfigState,
    owners: OwnerTable,
    once: OnceTable,
    /// Digest of `config`, which is large and seldom changes.
    config_digest: StateDigest,
}

/// What a snapshot holds, as it is read.
#[derive(Deserialize)]
struct LedgerSnapshot {
    applied: LogIndex,
    config: ConfigState,
    owners: OwnerTable,
    once: OnceTable,
}

/// What a snapshot holds, as it is written.
#[derive(Serialize)]
struct LedgerImage<'a> {
    applied: LogIndex,
    config: &'a ConfigState,
    owners: &'a OwnerTable,
    once: &'a OnceTable,
}

impl Default for LedgerState {
    fn default() -> Self {
        Self::new(
            ConfigState::default(),
            OwnerTable::default(),
            OnceTable::default(),
        )
    }
}

impl LedgerState {
    fn new(config: ConfigState, owners: OwnerTable, once: OnceTable) -> Self {
        let config_digest = digest_of(&config);
        Self {
            applied: 0,
            config,
            owners,
            once,
            config_digest,
        }
    }

    /// Returns the declaration in force and the changes to it.
    #[must_use]
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Returns the owners of the teams' rates and bursts.
    #[must_use]
    pub fn owners(&self) -> &OwnerTable {
        &self.owners
    }

    /// Returns the records of requests that must run at most once.
    #[must_use]
    pub fn once(&self) -> &OnceTable {
        &self.once
    }

    /// Returns the position of the last entry that was applied.
    ///
    /// Read together with [`Self::digest`], it tells which digests must be
    /// equal; the log's own position may have moved on between two reads.
    #[must_use]
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns a digest that is equal for equal states.
    #[must_use]
    pub fn digest(&self) -> StateDigest {
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        hasher.update(&self.config_digest);
        hasher.update(&digest_of(&self.owners));
        hasher.update(&self.once.digest());
        *hasher.finalize().as_bytes()
    }

    /// Applies a command.
    pub fn execute(&mut self, command: LedgerCommand) -> LedgerOutcome {
        match command {
            LedgerCommand::Genesis { owners } => {
                let founded = self.change_config(|config| config.found(&owners));
                done_if(founded, "the group has other owners")
            }
            LedgerCommand::Submit { change, signatures } => {
                let status = self.change_config(|config| config.submit(change, &signatures));
                self.drop_undeclared_owners();
                LedgerOutcome::Change(status)
            }
            LedgerCommand::Claim { claim, wall_ms } => {
                let outcome: ClaimOutcome = self.once.claim(&claim, wall_ms);
                LedgerOutcome::Claim(outcome)
            }
            LedgerCommand::Settle { settle, wall_ms } => {
                self.once.settle(&settle, wall_ms);
                LedgerOutcome::Done
            }
            LedgerCommand::AbandonNode { node, wall_ms } => {
                self.once.abandon(node, wall_ms);
                LedgerOutcome::Done
            }
            LedgerCommand::AssignOwners { assignments } => self.assign(&assignments),
            LedgerCommand::AdvanceTime { wall_ms } => {
                self.once.advance(wall_ms);
                LedgerOutcome::Done
            }
        }
    }

    fn change_config<R>(&mut self, change: impl FnOnce(&mut ConfigState) -> R) -> R {
        let result = change(&mut self.config);
        self.config_digest = digest_of(&self.config);
        result
    }

    fn assign(&mut self, assignments: &[TeamAssignment]) -> LedgerOutcome {
        if assignments.len() > ASSIGNMENTS_MAX {
            return LedgerOutcome::Refused(format!("more than {ASSIGNMENTS_MAX} assignments"));
        }
        let mut owners = Vec::with_capacity(assignments.len());
        for assignment in assignments {
            if self.is_declared(&assignment.team) {
                self.owners.assign(assignment);
            }
            owners.extend(self.owners.owner(&assignment.team).cloned());
        }
        LedgerOutcome::Owners(owners)
    }

    fn is_declared(&self, team: &str) -> bool {
        let teams = &self.config.declaration().teams;
        teams.iter().any(|spec| spec.name.as_ref() == team)
    }

    fn drop_undeclared_owners(&mut self) {
        let declaration = self.config.declaration();
        let declared = |team: &str| {
            let mut teams = declaration.teams.iter();
            teams.any(|spec| spec.name.as_ref() == team)
        };
        self.owners.retain(declared);
    }

    fn encode(&self) -> Result<Vec<u8>, CodecError> {
        let image = LedgerImage {
            applied: self.applied,
            config: &self.config,
            owners: &self.owners,
            once: &self.once,
        };
        codec::encode_sealed(SNAPSHOT_VERSION, &image)
    }

    fn decode(snapshot: &[u8]) -> Result<Self, CodecError> {
        let snapshot: LedgerSnapshot = codec::decode_sealed(SNAPSHOT_VERSION, snapshot)?;
        let state = Self::new(snapshot.config, snapshot.owners, snapshot.once);
        Ok(Self {
            applied: snapshot.applied,
            ..state
        })
    }
}

impl StateMachine for LedgerState {
    type Output = LedgerOutcome;

    fn apply(&mut self, index: LogIndex, entry: &[u8]) -> LedgerOutcome {
        self.applied = index;
        match LedgerCommand::decode(entry) {
            Ok(command) => self.execute(command),
            Err(error) => LedgerOutcome::Refused(error.to_string()),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        // Nothing in the state lacks an encoding; an empty snapshot is refused
        // by `restore`, so that a fault here cannot replace a state.
        self.encode().unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()> {
        *self = Self::decode(snapshot).context("snapshot of the ledger")?;
        Ok(())
    }
}

fn done_if(done: bool, reason: &str) -> LedgerOutcome {
    if done {
        return LedgerOutcome::Done;
    }
    LedgerOutcome::Refused(reason.to_owned())
}

fn digest_of(part: &impl Serialize) -> StateDigest {
    // All parts have an encoding; see `snapshot`.
    let encoded = postcard::to_stdvec(part).unwrap_or_default();
    *blake3::hash(&encoded).as_bytes()
}
