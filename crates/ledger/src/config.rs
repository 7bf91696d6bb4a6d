//! Declaration in force and the changes to it.

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
use crate::config::pending::PendingChanges;

/// Number of owners, all of whom must sign every change.
const OWNER_COUNT: usize = 2;
/// Maximum number of signatures checked in one submission.
const SIGNATURES_MAX: usize = 8;
/// Number of deltas kept for nodes with an older version.
const DELTAS_KEPT: usize = 64;
/// Number of accepted changes whose result is kept for resubmissions.
const ACCEPTED_KEPT: usize = 16_384;
/// Number of conflicting changes whose result is kept for resubmissions.
const CONFLICTS_KEPT: usize = 1_024;

/// Declaration in force, pending changes and the results of recent changes.
///
/// The declaration is the configuration of the services, routes, teams and keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigState {
    declaration: Arc<Declaration>,
    text: String,
    /// Deltas that lead to the version in force, oldest first, without gaps.
    deltas: VecDeque<DeclarationDelta>,
    pending: PendingChanges,
    /// Accepted changes, with the versions that they created.
    accepted: ResultHistory,
    /// Changes rejected as conflicts, with the versions then in force.
    conflicts: ResultHistory,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self {
            declaration: Arc::new(Declaration::default()),
            text: String::new(),
            deltas: VecDeque::new(),
            pending: PendingChanges::default(),
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

    /// Returns the status of a change.
    #[must_use]
    pub fn status(&self, hash: &ChangeHash) -> ChangeStatus {
        if let Some(status) = self.recorded_status(hash) {
            return status;
        }
        if self.pending.contains(hash) {
            return ChangeStatus::Pending;
        }
        ChangeStatus::Unknown
    }

    /// Returns the update from an applied version to the one in force.
    ///
    /// A node that is ahead of this instance keeps its version, because no node returns to an
    /// older one.
    #[must_use]
    pub fn update_from(&self, applied: ConfigVersion) -> ConfigUpdate {
        if applied >= self.version() {
            return ConfigUpdate::Current;
        }
        self.merged_delta(applied).map_or_else(
            || ConfigUpdate::Full(Box::new(self.declaration.as_ref().clone())),
            |delta| ConfigUpdate::Delta(Box::new(delta)),
        )
    }

    /// Sets the initial owners, unless they are already set; returns whether the given ones are
    /// the initial owners.
    ///
    /// After the first accepted change the owners may have been replaced, so any two distinct
    /// owners are accepted without effect.
    pub(crate) fn set_initial_owners(&mut self, owners: &[OwnerKey]) -> bool {
        let distinct = owners.len() == OWNER_COUNT && owners[0] != owners[1];
        if !distinct {
            return false;
        }
        let mut owners = owners.to_vec();
        owners.sort_unstable();
        if !self.declaration.owners.is_empty() {
            return self.version() > 0 || self.declaration.owners == owners;
        }
        self.text = initial_text(&owners);
        self.declaration = Arc::new(Declaration {
            owners,
            ..Declaration::default()
        });
        true
    }

    /// Processes a change with the signatures collected so far.
    pub(crate) fn submit(
        &mut self,
        change: ProposedChange,
        signatures: &[OwnerSignature],
    ) -> ChangeStatus {
        let hash = change.hash();
        if let Some(status) = self.recorded_status(&hash) {
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
            return self.record_conflict(hash);
        }
        match Declaration::parse(&change.text, self.version() + 1) {
            Ok(declaration) => self.add_signatures(hash, change, &signers, declaration),
            Err(error) => ChangeStatus::Invalid(error.to_string()),
        }
    }

    /// Returns the owners in force whose signature is valid, each once.
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

    /// Adds signers to a change, and accepts it once all owners have signed.
    fn add_signatures(
        &mut self,
        hash: ChangeHash,
        change: ProposedChange,
        signers: &[OwnerKey],
        declaration: Declaration,
    ) -> ChangeStatus {
        let text = change.text.clone();
        if self.pending.add_signers(hash, change, signers) < OWNER_COUNT {
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
        // All other pending changes have the previous version as their base.
        for other in self.pending.take_all() {
            if other != hash {
                self.conflicts.insert(other, version);
            }
        }
        ChangeStatus::Accepted(version)
    }

    fn record_conflict(&mut self, hash: ChangeHash) -> ChangeStatus {
        let current = self.version();
        self.conflicts.insert(hash, current);
        ChangeStatus::Conflict { current }
    }

    /// Returns the final status that was recorded for a change, if any.
    fn recorded_status(&self, hash: &ChangeHash) -> Option<ChangeStatus> {
        let accepted = self.accepted.get(hash).map(ChangeStatus::Accepted);
        accepted.or_else(|| {
            let conflict = self.conflicts.get(hash);
            conflict.map(|current| ChangeStatus::Conflict { current })
        })
    }

    /// Merges the deltas from an applied version to the one in force; none if some were dropped.
    fn merged_delta(&self, applied: ConfigVersion) -> Option<DeclarationDelta> {
        let mut later = self.deltas.iter().filter(|delta| delta.from >= applied);
        let first = later.next().filter(|delta| delta.from == applied)?;
        later.try_fold(first.clone(), |merged, delta| merged.compose(delta).ok())
    }
}

/// Returns the TOML text of the initial declaration, which contains only the owners.
fn initial_text(owners: &[OwnerKey]) -> String {
    let owners: Vec<String> = owners
        .iter()
        .map(|owner| format!("\"{}\"", hex::encode(owner)))
        .collect();
    format!("owners = [{}]\n", owners.join(", "))
}
