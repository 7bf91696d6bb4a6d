//! Instances that join an existing group: learners first, voters once caught up.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use quorum::FolderId;
use quorum::MemberChange;
use quorum::MemberChangeError;
use quorum::MemberRole;

use crate::InstanceId;
use crate::PeerLink;
use crate::ReplicaError;
use crate::StateMachine;
use crate::driver::ReplicaDriver;
use crate::envelope::PeerEnvelope;

/// Time between two steps of a join, in milliseconds.
const JOIN_RETRY_MS: u64 = 100;

/// Instances that asked the leader to be added.
pub(super) struct JoinQueue {
    asked: BTreeMap<InstanceId, FolderId>,
    retry_due: Instant,
}

impl JoinQueue {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            asked: BTreeMap::new(),
            retry_due: now,
        }
    }
}

impl<M: StateMachine, L: PeerLink, C: Clock> ReplicaDriver<M, L, C> {
    pub(super) fn tick_joining(&mut self, now: Instant) {
        if now < self.joining.retry_due {
            return;
        }
        self.joining.retry_due = now + Duration::from_millis(JOIN_RETRY_MS);
        if self.core.role() == MemberRole::Leader {
            self.add_learners(now);
            self.promote_learners(now);
        } else {
            self.joining.asked.clear();
        }
        if self.identity.joined() {
            self.ask_to_join();
        }
    }

    /// Asks all members of the settings, until this instance is a member.
    fn ask_to_join(&self) {
        let membership = self.core.status().membership;
        if !membership.members().is_empty() {
            return;
        }
        let join = PeerEnvelope::Join {
            folder: self.identity.folder,
        };
        for &member in &self.config.initial_members {
            if member != self.config.instance {
                self.link.send(member, join.encode());
            }
        }
    }

    pub(super) fn on_join(&mut self, from: InstanceId, folder: FolderId) {
        if self.core.role() == MemberRole::Leader {
            self.joining.asked.insert(from, folder);
        }
    }

    pub(super) fn on_join_refused(&mut self, folder: FolderId) {
        if folder == self.identity.folder && self.identity.joined() {
            let instance = self.config.instance;
            self.fail(ReplicaError::OtherFolder { instance });
        }
    }

    fn add_learners(&mut self, now: Instant) {
        let asked = std::mem::take(&mut self.joining.asked);
        for (instance, folder) in asked {
            let change = MemberChange::AddLearner { instance, folder };
            // Other errors pass: the instance asks again while it is not a member.
            if let Err(MemberChangeError::OtherFolder) = self.core.change_members(change, now) {
                let refusal = PeerEnvelope::JoinRefused { folder };
                self.link.send(instance, refusal.encode());
            }
        }
    }

    fn promote_learners(&mut self, now: Instant) {
        let membership = self.core.status().membership;
        if membership.voters().count() >= self.config.max_voters {
            return;
        }
        let learners = membership.members().iter().filter(|member| !member.voter);
        for learner in learners {
            let promotion = MemberChange::Promote(learner.instance);
            // One that has not caught up is tried again later.
            if self.core.change_members(promotion, now).is_ok() {
                return;
            }
        }
    }
}
