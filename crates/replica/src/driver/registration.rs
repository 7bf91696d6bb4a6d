//! Registration of new data folders: an instance whose disk was wiped must not vote under its
//! old ID.
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

/// Time between two requests to be registered, in milliseconds.
const REGISTRATION_RETRY_MS: u64 = 100;

/// Progress of registering this instance's folder, and the folders of others stored here.
pub(super) struct FolderRegistration {
    /// Members that have registered this instance's folder.
    accepted_by: BTreeSet<InstanceId>,
    /// Members whose folders this instance has stored durably.
    saved: BTreeSet<InstanceId>,
    /// Members that must have registered this instance's folder before it votes.
    required: usize,
    /// Whether enough members have registered this instance's folder; saved or being saved.
    completed: bool,
    next_attempt: Instant,
}

impl FolderRegistration {
    pub(super) fn new(identity: &FolderIdentity, now: Instant) -> Self {
        Self {
            accepted_by: BTreeSet::new(),
            saved: identity
                .known_folders
                .iter()
                .map(|known| known.instance)
                .collect(),
            required: required_acceptances(identity.initial_membership.members().len()),
            completed: identity.registered,
            next_attempt: now,
        }
    }

    /// Returns when the folder may be announced next.
    pub(super) const fn next_attempt(&self) -> Instant {
        self.next_attempt
    }

    fn is_saved(&self, instance: InstanceId) -> bool {
        self.saved.contains(&instance)
    }

    /// Marks a member's folder as stored durably; returns whether it was not before.
    fn mark_saved(&mut self, instance: InstanceId) -> bool {
        self.saved.insert(instance)
    }
}

/// Returns how many other members must have registered a folder before its instance votes.
///
/// `failures` is the size of the largest minority. The members that registered an
/// instance's first folder and those that would have to register its second one then
/// have a member in common, even when `failures - 1` others were wiped as well.
pub(super) const fn required_acceptances(members: usize) -> usize {
    let failures = members.saturating_sub(1) / 2;
    if failures == 0 {
        return members.saturating_sub(1);
    }
    (3 * failures - 1) / 2 + 1
}

impl<M: StateMachine, L: PeerLink, C: Clock> ReplicaDriver<M, L, C> {
    /// Asks the other initial members to register this folder, until enough have.
    pub(super) fn tick_registration(&mut self, now: Instant) {
        if now < self.registration.next_attempt {
            return;
        }
        self.registration.next_attempt = now + Duration::from_millis(REGISTRATION_RETRY_MS);
        let request = PeerEnvelope::RegisterFolder {
            folder: self.identity.folder,
        };
        for member in self.identity.initial_membership.members() {
            if member.instance != self.config.instance {
                self.link.send(member.instance, request.encode());
            }
        }
    }

    /// Stores the folder of another member durably before accepting it.
    pub(super) fn on_register_folder(&mut self, from: InstanceId, folder: FolderId) {
        let status = self.raft.status();
        let is_initial_member = match status.membership.member(from) {
            Some(member) => member.folder == INITIAL_FOLDER,
            None => false,
        };
        let known_before = self.identity.known_folders.len();
        let accepted = is_initial_member && self.identity.register_folder(from, folder);
        if accepted && self.identity.known_folders.len() > known_before {
            self.save_identity();
        }
        // A folder that is still being stored is accepted once that is synced.
        if !accepted || self.registration.is_saved(from) {
            let reply = PeerEnvelope::RegisterFolderReply { folder, accepted };
            self.link.send(from, reply.encode());
        }
    }

    pub(super) fn on_register_folder_reply(
        &mut self,
        from: InstanceId,
        folder: FolderId,
        accepted: bool,
    ) {
        if self.identity.registered || folder != self.identity.folder {
            return;
        }
        if !accepted {
            let instance = self.config.instance;
            self.fail(ReplicaError::OtherFolder { instance });
            return;
        }
        self.registration.accepted_by.insert(from);
        if self.registration.accepted_by.len() >= self.registration.required {
            self.registration.completed = true;
            self.save_identity();
        }
    }

    /// Saves the identity; a registration that is still being saved must not be undone.
    fn save_identity(&self) {
        let mut identity = self.identity.clone();
        identity.registered |= self.registration.completed;
        self.send_storage_job(StorageJob::SaveIdentity(identity));
    }

    /// Applies what is durable now, and replies to the members whose folders it includes.
    pub(super) fn on_identity_saved(&mut self, saved: &FolderIdentity) {
        self.identity.registered |= saved.registered;
        for known in &saved.known_folders {
            if self.registration.mark_saved(known.instance) {
                let reply = PeerEnvelope::RegisterFolderReply {
                    folder: known.folder,
                    accepted: true,
                };
                self.link.send(known.instance, reply.encode());
            }
        }
    }
}
