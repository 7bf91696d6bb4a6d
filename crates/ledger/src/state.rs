//! State machine that applies the commands of the replicated log.

use anyhow::Context;
use model::idempotency::ClaimOutcome;
use once::IdempotencyTable;
use replica::LogIndex;
use replica::StateMachine;
use serde::Deserialize;
use serde::Serialize;

use crate::CodecError;
use crate::CommandOutcome;
use crate::ControlCommand;
use crate::TeamAssignment;
use crate::TeamOwnerTable;
use crate::codec;
use crate::config::ConfigState;

/// Version of encoded snapshots.
const SNAPSHOT_VERSION: u8 = 1;

/// Maximum number of teams in one assignment command.
const ASSIGNMENTS_MAX: usize = 4_096;

/// BLAKE3 key derivation context of the digest over all parts of the state.
const DIGEST_CONTEXT: &str = "ragwortplank ledger state v1";

/// Digest of the state or of a part of it.
type StateDigest = [u8; 32];

/// State that is replicated to all control instances.
///
/// Applying the same entries leads to the same state on every instance, and equal states have
/// equal digests.
#[derive(Clone, Debug)]
pub struct ControlState {
    /// Index of the last entry applied.
    applied_index: LogIndex,
    config: ConfigState,
    team_owners: TeamOwnerTable,
    idempotency_table: IdempotencyTable,
    /// Cached digest of `config`, which is large and rarely changes.
    config_digest: StateDigest,
}

/// Contents of a snapshot, for decoding.
#[derive(Deserialize)]
struct SnapshotContents {
    applied_index: LogIndex,
    config: ConfigState,
    team_owners: TeamOwnerTable,
    idempotency_table: IdempotencyTable,
}

/// Contents of a snapshot by reference, for encoding; has the same fields as
/// [`SnapshotContents`].
#[derive(Serialize)]
struct SnapshotContentsRef<'a> {
    applied_index: LogIndex,
    config: &'a ConfigState,
    team_owners: &'a TeamOwnerTable,
    idempotency_table: &'a IdempotencyTable,
}

impl Default for ControlState {
    fn default() -> Self {
        Self::new(
            ConfigState::default(),
            TeamOwnerTable::default(),
            IdempotencyTable::default(),
        )
    }
}

impl ControlState {
    fn new(
        config: ConfigState,
        team_owners: TeamOwnerTable,
        idempotency_table: IdempotencyTable,
    ) -> Self {
        let config_digest = digest_of(&config);
        Self {
            applied_index: 0,
            config,
            team_owners,
            idempotency_table,
            config_digest,
        }
    }

    /// Returns the declaration in force, with the changes to it.
    #[must_use]
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Returns the control instances that own the teams.
    #[must_use]
    pub fn team_owners(&self) -> &TeamOwnerTable {
        &self.team_owners
    }

    /// Returns the records of requests that must run at most once.
    #[must_use]
    pub fn idempotency_table(&self) -> &IdempotencyTable {
        &self.idempotency_table
    }

    /// Returns the index of the last entry applied.
    ///
    /// Two instances with the same index must have the same [`Self::digest`]. Both values must be
    /// read together from this state, because the index that the log reports may advance in
    /// between.
    #[must_use]
    pub fn applied_index(&self) -> LogIndex {
        self.applied_index
    }

    /// Returns the digest of the state, which is equal for equal states.
    #[must_use]
    pub fn digest(&self) -> StateDigest {
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        hasher.update(&self.config_digest);
        hasher.update(&digest_of(&self.team_owners));
        hasher.update(&self.idempotency_table.digest());
        *hasher.finalize().as_bytes()
    }

    /// Applies a command and returns its outcome.
    pub fn execute(&mut self, command: ControlCommand) -> CommandOutcome {
        match command {
            ControlCommand::SetInitialOwners { owners } => {
                let accepted = self.update_config(|config| config.set_initial_owners(&owners));
                done_if(accepted, "the group has other owners")
            }
            ControlCommand::SubmitChange { change, signatures } => {
                let status = self.update_config(|config| config.submit(change, &signatures));
                self.drop_undeclared_owners();
                CommandOutcome::Change(status)
            }
            ControlCommand::Claim { claim, wall_ms } => {
                let outcome: ClaimOutcome = self.idempotency_table.claim(&claim, wall_ms);
                CommandOutcome::Claim(outcome)
            }
            ControlCommand::Settle { settle, wall_ms } => {
                self.idempotency_table.settle(&settle, wall_ms);
                CommandOutcome::Done
            }
            ControlCommand::AbandonNode { node, wall_ms } => {
                self.idempotency_table.abandon(node, wall_ms);
                CommandOutcome::Done
            }
            ControlCommand::AssignTeamOwners { assignments } => self.assign(&assignments),
            ControlCommand::AdvanceTime { wall_ms } => {
                self.idempotency_table.advance(wall_ms);
                CommandOutcome::Done
            }
        }
    }

    fn update_config<R>(&mut self, change: impl FnOnce(&mut ConfigState) -> R) -> R {
        let result = change(&mut self.config);
        self.config_digest = digest_of(&self.config);
        result
    }

    fn assign(&mut self, assignments: &[TeamAssignment]) -> CommandOutcome {
        if assignments.len() > ASSIGNMENTS_MAX {
            return CommandOutcome::Refused(format!("more than {ASSIGNMENTS_MAX} assignments"));
        }
        let mut owners = Vec::with_capacity(assignments.len());
        for assignment in assignments {
            if self.is_declared(&assignment.team) {
                self.team_owners.assign(assignment);
            }
            owners.extend(self.team_owners.owner(&assignment.team).cloned());
        }
        CommandOutcome::Owners(owners)
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
        self.team_owners.retain(declared);
    }

    fn encode(&self) -> Result<Vec<u8>, CodecError> {
        let contents = SnapshotContentsRef {
            applied_index: self.applied_index,
            config: &self.config,
            team_owners: &self.team_owners,
            idempotency_table: &self.idempotency_table,
        };
        codec::encode_with_digest(SNAPSHOT_VERSION, &contents)
    }

    fn decode(snapshot: &[u8]) -> Result<Self, CodecError> {
        let snapshot: SnapshotContents = codec::decode_with_digest(SNAPSHOT_VERSION, snapshot)?;
        let state = Self::new(
            snapshot.config,
            snapshot.team_owners,
            snapshot.idempotency_table,
        );
        Ok(Self {
            applied_index: snapshot.applied_index,
            ..state
        })
    }
}

impl StateMachine for ControlState {
    type Output = CommandOutcome;

    fn apply(&mut self, index: LogIndex, entry: &[u8]) -> CommandOutcome {
        self.applied_index = index;
        match ControlCommand::decode(entry) {
            Ok(command) => self.execute(command),
            Err(error) => CommandOutcome::Refused(error.to_string()),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        // Every value in the state has an encoding. Should one fail nevertheless, `restore` rejects
        // the empty snapshot, so that it cannot replace a state.
        self.encode().unwrap_or_default()
    }

    fn restore(&mut self, snapshot: &[u8]) -> anyhow::Result<()> {
        *self = Self::decode(snapshot).context("snapshot of the control state")?;
        Ok(())
    }
}

fn done_if(done: bool, reason: &str) -> CommandOutcome {
    if done {
        return CommandOutcome::Done;
    }
    CommandOutcome::Refused(reason.to_owned())
}

fn digest_of(part: &impl Serialize) -> StateDigest {
    // Every part has an encoding; see `snapshot`.
    let encoded = postcard::to_stdvec(part).unwrap_or_default();
    *blake3::hash(&encoded).as_bytes()
}
