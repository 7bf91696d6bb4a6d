//! Changes that only one owner has signed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use model::change::ProposedChange;
use model::ids::ChangeHash;
use model::ids::OwnerKey;
use serde::Deserialize;
use serde::Serialize;

/// Maximum number of pending changes per owner; the oldest one is evicted.
const PENDING_PER_OWNER: usize = 16;

/// Change that lacks the other owner's signature.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PendingChange {
    /// Sequence number in order of arrival.
    order: u64,
    change: ProposedChange,
    signers: BTreeSet<OwnerKey>,
}

/// All pending changes; the base of each is the version in force.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct PendingChanges {
    next_order: u64,
    changes: BTreeMap<ChangeHash, PendingChange>,
}

impl PendingChanges {
    pub(crate) fn contains(&self, hash: &ChangeHash) -> bool {
        self.changes.contains_key(hash)
    }

    /// Adds signers to a change and returns the number of owners who have signed it.
    pub(crate) fn add_signers(
        &mut self,
        hash: ChangeHash,
        change: ProposedChange,
        signers: &[OwnerKey],
    ) -> usize {
        let order = self.next_order;
        self.next_order += 1;
        let pending = self.changes.entry(hash).or_insert_with(|| PendingChange {
            order,
            change,
            signers: BTreeSet::new(),
        });
        pending.signers.extend(signers);
        let signed = pending.signers.len();
        for signer in signers {
            self.enforce_limit(signer);
        }
        signed
    }

    /// Removes all changes and returns their hashes.
    pub(crate) fn take_all(&mut self) -> Vec<ChangeHash> {
        let changes = std::mem::take(&mut self.changes);
        changes.into_keys().collect()
    }

    /// Evicts the oldest changes of an owner beyond the limit.
    ///
    /// The limit is per owner, so that no owner can evict the changes of the other.
    fn enforce_limit(&mut self, owner: &OwnerKey) {
        let signed = self.changes.iter();
        let signed = signed.filter(|(_, pending)| pending.signers.contains(owner));
        let mut by_order: Vec<(u64, ChangeHash)> = signed
            .map(|(hash, pending)| (pending.order, *hash))
            .collect();
        by_order.sort_unstable();
        let excess = by_order.len().saturating_sub(PENDING_PER_OWNER);
        for (_, hash) in by_order.into_iter().take(excess) {
            self.changes.remove(&hash);
        }
    }
}
