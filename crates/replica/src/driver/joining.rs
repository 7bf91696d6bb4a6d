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

/// Time between two attempts to join, or to add and promote learners, in milliseconds.
const JOIN_RETRY_MS: u64 = 100;

/// Instances that asked this leader to add them.
pub(super) struct JoinQueue {
    requests: BTreeMap<InstanceId, FolderId>,
    next_attempt: Instant,
}

impl JoinQueue {
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            requests: BTreeMap::new(),
            next_attempt: now,
        }
    }
}

impl<M: StateMachine, L: PeerLink, C: Clock> ReplicaDriver<M, L, C> {
    pub(super) fn tick_joining(&mut self, now: Instant) {
        if now < self.join_queue.next_attempt {
            return;
        }
        self.join_queue.next_attempt = now + Duration::from_millis(JOIN_RETRY_MS);
        if self.raft.role() == MemberRole::Leader {
            self.add_learners(now);
            self.promote_learners(now);
        } else {
            self.join_queue.requests.clear();
        }
        if self.identity.joined() {
            self.send_join_requests();
        }
    }

    /// Asks all configured members to add this instance, until it is a member.
    fn send_join_requests(&self) {
        let membership = self.raft.status().membership;
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
        if self.raft.role() == MemberRole::Leader {
            self.join_queue.requests.insert(from, folder);
        }
    }

    pub(super) fn on_join_refused(&mut self, folder: FolderId) {
        if folder == self.identity.folder && self.identity.joined() {
            let instance = self.config.instance;
            self.fail(ReplicaError::OtherFolder { instance });
        }
    }

    fn add_learners(&mut self, now: Instant) {
        let requests = std::mem::take(&mut self.join_queue.requests);
        for (instance, folder) in requests {
            let change = MemberChange::AddLearner { instance, folder };
            // Other errors need no reply: the instance asks again while it is not a member.
            if let Err(MemberChangeError::OtherFolder) = self.raft.change_members(change, now) {
                let refusal = PeerEnvelope::JoinRefused { folder };
                self.link.send(instance, refusal.encode());
            }
        }
    }

    fn promote_learners(&mut self, now: Instant) {
        let membership = self.raft.status().membership;
        if membership.voters().count() >= self.config.max_voters {
            return;
        }
        let learners = membership.members().iter().filter(|member| !member.voter);
        for learner in learners {
            let promotion = MemberChange::Promote(learner.instance);
            // A learner that has not caught up is tried again later.
            if self.raft.change_members(promotion, now).is_ok() {
                return;
            }
        }
    }
}
