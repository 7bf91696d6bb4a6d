//! Admission of a new data folder: a wiped one must not vote under its old identity.
//!
//! See `docs/QUORUM.md`, "Identity".

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use quorum::FolderId;
use quorum::INITIAL_FOLDER;

use crate::InstanceId;
use crate::PeerLink;
use crate::ReplicaError;
use crate::StateMachine;
use crate::driver::ReplicaDriver;
use crate::envelope::PeerEnvelope;
use crate::storage::FolderIdentity;
use crate::storage::StorageJob;

/// Time between two attempts to be admitted, in milliseconds.
const ADMISSION_RETRY_MS: u64 = 100;

/// How far the admission of this instance's own folder has come.
pub(super) struct FolderAdmission {
    accepted: BTreeSet<InstanceId>,
    /// Members whose folders this instance remembers durably.
    saved: BTreeSet<InstanceId>,
    needed: usize,
    retry_due: Instant,
}

impl FolderAdmission {
    pub(super) fn new(identity: &FolderIdentity, now: Instant) -> Self {
        Self {
            accepted: BTreeSet::new(),
            saved: identity
                .known_folders
                .iter()
                .map(|known| known.instance)
                .collect(),
            needed: needed_acceptances(identity.initial_membership.members().len()),
            retry_due: now,
        }
    }

    fn is_saved(&self, instance: InstanceId) -> bool {
        self.saved.contains(&instance)
    }

    /// Notes that a folder is remembered durably; returns whether that is new.
    fn note_saved(&mut self, instance: InstanceId) -> bool {
        self.saved.insert(instance)
    }
}

/// Returns how many other members must have remembered a folder before it votes.
///
/// With `failures` the largest minority, the members that remembered the first
/// folder and those that are asked about the second have one in common even
/// when `failures - 1` others were wiped as well.
pub(super) const fn needed_acceptances(members: usize) -> usize {
    let failures = members.saturating_sub(1) / 2;
    if failures == 0 {
        return members.saturating_sub(1);
    }
    (3 * failures - 1) / 2 + 1
}

impl<M: StateMachine, L: PeerLink, C: Clock> ReplicaDriver<M, L, C> {
    /// Asks the other first members to remember this folder, until enough have.
    pub(super) fn tick_admission(&mut self, now: Instant) {
        if now < self.admission.retry_due {
            return;
        }
        self.admission.retry_due = now + Duration::from_millis(ADMISSION_RETRY_MS);
        let hello = PeerEnvelope::Hello {
            folder: self.identity.folder,
        };
        for member in self.identity.initial_membership.members() {
            if member.instance != self.config.instance {
                self.link.send(member.instance, hello.encode());
            }
        }
    }

    /// Remembers the folder of another member durably before accepting it.
    pub(super) fn on_hello(&mut self, from: InstanceId, folder: FolderId) {
        let status = self.core.status();
        let belongs = match status.membership.member(from) {
            Some(member) => member.folder == INITIAL_FOLDER,
            None => false,
        };
        let count = self.identity.known_folders.len();
        let accepted = belongs && self.identity.register_folder(from, folder);
        if accepted && self.identity.known_folders.len() > count {
            self.store(StorageJob::Identity(self.identity.clone()));
        }
        // A folder that is being remembered is answered once that is synced.
        if !accepted || self.admission.is_saved(from) {
            let reply = PeerEnvelope::HelloReply { folder, accepted };
            self.link.send(from, reply.encode());
        }
    }

    pub(super) fn on_hello_reply(&mut self, from: InstanceId, folder: FolderId, accepted: bool) {
        if self.identity.registered || folder != self.identity.folder {
            return;
        }
        if !accepted {
            let instance = self.config.instance;
            self.fail(ReplicaError::OtherFolder { instance });
            return;
        }
        self.admission.accepted.insert(from);
        if self.admission.accepted.len() >= self.admission.needed {
            let mut registered = self.identity.clone();
            registered.registered = true;
            self.store(StorageJob::Identity(registered));
        }
    }

    /// Takes over what is durable now, and answers the members that it remembers.
    pub(super) fn on_identity_saved(&mut self, saved: &FolderIdentity) {
        self.identity.registered |= saved.registered;
        for known in &saved.known_folders {
            if self.admission.note_saved(known.instance) {
                let reply = PeerEnvelope::HelloReply {
                    folder: known.folder,
                    accepted: true,
                };
                self.link.send(known.instance, reply.encode());
            }
        }
    }
}
