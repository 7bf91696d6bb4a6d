//! The declaration in force and the changes to it.

mod history;
mod pending;

use std::collections::VecDeque;
use std::sync::Arc;

use model::change::ChangeStatus;
use model::change::OwnerSignature;
use model::change::ProposedChange;
use model::declaration::Declaration;
use model::declaration::DeclarationDelta;
use model::exchange::ConfigUpdate;
use model::hex;
use model::ids::ChangeHash;
use model::ids::ConfigVersion;
use model::ids::OwnerKey;
use serde::Deserialize;
use serde::Serialize;

use crate::config::history::ResultHistory;
use crate::config::pending::PendingTable;

/// Owners that must sign every change.
const OWNER_COUNT: usize = 2;
/// Most signatures looked at in one submission.
const SIGNATURES_MAX: usize = 8;
/// Deltas kept for nodes that lag behind.
const DELTAS_KEPT: usize = 64;
/// Accepted changes whose result is kept for re-sends.
const ACCEPTED_KEPT: usize = 16_384;
/// Conflicts whose result is kept for re-sends.
const CONFLICTS_KEPT: usize = 1_024;

/// The declaration in force, with pending changes and recent results.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigState {
    declaration: Arc<Declaration>,
    text: String,
    /// Deltas to the version in force, oldest first, without gaps.
    deltas: VecDeque<DeclarationDelta>,
    pending: PendingTable,
    /// Versions of accepted changes.
    accepted: ResultHistory,
    /// Versions in force when changes were refused as conflicts.
    conflicts: ResultHistory,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self {
            declaration: Arc::new(Declaration::default()),
            text: String::new(),
            deltas: VecDeque::new(),
            pending: PendingTable::default(),
            accepted: ResultHistory::new(ACCEPTED_KEPT),
            conflicts: ResultHistory::new(CONFLICTS_KEPT),
        }
    }
}

impl ConfigState {
    /// Returns the declaration in force.
    #[must_use]
    pub fn declaration(&self) -> &Arc<Declaration> {
        &self.declaration
    }

    /// Returns the TOML text of the declaration in force, as it was proposed.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.declaration.version
    }

    /// Returns where a change stands.
    #[must_use]
    pub fn status(&self, hash: &ChangeHash) -> ChangeStatus {
        if let Some(status) = self.first_answer(hash) {
            return status;
        }
        if self.pending.contains(hash) {
            return ChangeStatus::Pending;
        }
        ChangeStatus::Unknown
    }

    /// Returns the way from an applied version to the one in force.
    ///
    /// A node that is ahead of this instance keeps what it has: nobody goes
    /// back to an older version.
    #[must_use]
    pub fn update_from(&self, applied: ConfigVersion) -> ConfigUpdate {
        if applied >= self.version() {
            return ConfigUpdate::Current;
        }
        self.joined_delta(applied).map_or_else(
            || ConfigUpdate::Full(Box::new(self.declaration.as_ref().clone())),
            |delta| ConfigUpdate::Delta(Box::new(delta)),
        )
    }

    /// Sets the first owners; returns whether they are the owners set first.
    pub(crate) fn found(&mut self, owners: &[OwnerKey]) -> bool {
        let distinct = owners.len() == OWNER_COUNT && owners[0] != owners[1];
        if !distinct {
            return false;
        }
        let mut owners = owners.to_vec();
        owners.sort_unstable();
        if !self.declaration.owners.is_empty() {
            return self.version() > 0 || self.declaration.owners == owners;
        }
        self.text = first_text(&owners);
        self.declaration = Arc::new(Declaration {
            owners,
            ..Declaration::default()
        });
        true
    }

    /// Takes in a change with the signatures at hand.
    pub(crate) fn submit(
        &mut self,
        change: ProposedChange,
        signatures: &[OwnerSignature],
    ) -> ChangeStatus {
        let hash = change.hash();
        if let Some(status) = self.first_answer(&hash) {
            return status;
        }
        let signers = self.signers(&hash, signatures);
        if signers.is_empty() {
            let reason = "no valid signature by an owner in force";
            return ChangeStatus::Invalid(reason.to_owned());
        }
        if change.base > self.version() {
            let reason = format!(
                "base {} is ahead of version {} in force",
                change.base,
                self.version()
            );
            return ChangeStatus::Invalid(reason);
        }
        if change.base < self.version() {
            return self.refuse(hash);
        }
        match Declaration::parse(&change.text, self.version() + 1) {
            Ok(declaration) => self.sign(hash, change, &signers, declaration),
            Err(error) => ChangeStatus::Invalid(error.to_string()),
        }
    }

    /// Returns the owners in force who signed, each once.
    fn signers(&self, hash: &ChangeHash, signatures: &[OwnerSignature]) -> Vec<OwnerKey> {
        let mut signers = Vec::new();
        for signature in signatures.iter().take(SIGNATURES_MAX) {
            let owner = signature.owner;
            let new = self.declaration.owners.contains(&owner) && !signers.contains(&owner);
            if new && signature.verifies(hash) {
                signers.push(owner);
            }
        }
        signers
    }

    fn sign(
        &mut self,
        hash: ChangeHash,
        change: ProposedChange,
        signers: &[OwnerKey],
        declaration: Declaration,
    ) -> ChangeStatus {
        let text = change.text.clone();
        if self.pending.sign(hash, change, signers) < OWNER_COUNT {
            return ChangeStatus::Pending;
        }
        self.accept(hash, text, declaration)
    }

    fn accept(&mut self, hash: ChangeHash, text: String, declaration: Declaration) -> ChangeStatus {
        let version = declaration.version;
        self.deltas
            .push_back(Declaration::diff(&self.declaration, &declaration));
        if self.deltas.len() > DELTAS_KEPT {
            self.deltas.pop_front();
        }
        self.declaration = Arc::new(declaration);
        self.text = text;
        self.accepted.insert(hash, version);
        // All other pending changes have the old base.
        for other in self.pending.take_all() {
            if other != hash {
                self.conflicts.insert(other, version);
            }
        }
        ChangeStatus::Accepted(version)
    }

    fn refuse(&mut self, hash: ChangeHash) -> ChangeStatus {
        let current = self.version();
        self.conflicts.insert(hash, current);
        ChangeStatus::Conflict { current }
    }

    fn first_answer(&self, hash: &ChangeHash) -> Option<ChangeStatus> {
        let accepted = self.accepted.get(hash).map(ChangeStatus::Accepted);
        accepted.or_else(|| {
            let conflict = self.conflicts.get(hash);
            conflict.map(|current| ChangeStatus::Conflict { current })
        })
    }

    fn joined_delta(&self, applied: ConfigVersion) -> Option<DeclarationDelta> {
        let mut later = self.deltas.iter().filter(|delta| delta.from >= applied);
        let first = later.next().filter(|delta| delta.from == applied)?;
        later.try_fold(first.clone(), |joined, delta| joined.compose(delta).ok())
    }
}

/// Writes the declaration that a group starts with: owners and nothing else.
fn first_text(owners: &[OwnerKey]) -> String {
    let owners: Vec<String> = owners
        .iter()
        .map(|owner| format!("\"{}\"", hex::encode(owner)))
        .collect();
    format!("owners = [{}]\n", owners.join(", "))
}
