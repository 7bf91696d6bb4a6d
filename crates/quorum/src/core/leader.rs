//! Replication on the leader, heartbeats and the check that a quorum still answers.

use std::time::Instant;

use crate::EntryPayload;
use crate::InstanceId;
use crate::LogPosition;
use crate::MessageBody;
use crate::QuorumTerms;
use crate::RaftCore;
use crate::core::RoleState;
use crate::core::progress::LeaderState;
use crate::core::progress::PeerProgress;
use crate::core::read_queue::HeartbeatRounds;
use crate::core::snapshots::SnapshotProgress;

impl RaftCore {
    pub(super) fn become_leader(&mut self, terms: QuorumTerms, now: Instant) {
        let next = self.log.last().index + 1;
        let peers = self
            .followed_members()
            .into_iter()
            .map(|member| (member, PeerProgress::new(next, now)))
            .collect();
        self.role = RoleState::Leader(LeaderState {
            peers,
            terms,
            first_index_of_term: next,
            rounds: HeartbeatRounds::default(),
            transfer: None,
            elected_at: now,
            heartbeat_due: now + self.config.heartbeat_interval,
        });
        self.leader = Some(self.id);
        self.incoming_snapshot = None;
        self.append_as_leader(vec![EntryPayload::Noop]);
        self.serve_waiting_reads();
        for peer in self.peer_ids() {
            self.send_append(peer, true);
        }
        self.advance_commit(now);
    }

    pub(super) fn leader_state(&mut self) -> Option<&mut LeaderState> {
        match &mut self.role {
            RoleState::Leader(state) => Some(state),
            _ => None,
        }
    }

    pub(super) fn accepts_proposals(&self) -> bool {
        matches!(&self.role, RoleState::Leader(state) if state.transfer.is_none())
    }

    pub(super) fn tick_leader(&mut self, now: Instant) {
        if !self.has_recent_quorum(now) {
            self.become_follower(self.term, None, now);
            return;
        }
        let heartbeat = self.config.heartbeat_interval;
        let Some(state) = self.leader_state() else {
            return;
        };
        if state
            .transfer
            .as_ref()
            .is_some_and(|transfer| now >= transfer.deadline)
        {
            state.transfer = None;
        }
        if now >= state.heartbeat_due {
            state.heartbeat_due = now + heartbeat;
            state.rounds.start();
            self.broadcast_heartbeat(now);
            self.send_snapshot_chunks();
        }
    }

    fn send_snapshot_chunks(&mut self) {
        for peer in self.peer_ids() {
            self.send_snapshot_chunk(peer);
        }
    }

    /// Returns whether a quorum answered within the longest election timeout.
    fn has_recent_quorum(&self, now: Instant) -> bool {
        let RoleState::Leader(state) = &self.role else {
            return false;
        };
        let timeout = self.config.election_timeout_max;
        now < state.elected_at + timeout
            || self.has_quorum(&state.terms, |voter| {
                voter == self.id
                    || state
                        .peers
                        .get(&voter)
                        .is_some_and(|peer| now < peer.heard_at + timeout)
            })
    }

    fn peer_ids(&self) -> Vec<InstanceId> {
        match &self.role {
            RoleState::Leader(state) => state.peers.keys().copied().collect(),
            _ => Vec::new(),
        }
    }

    /// Sends a heartbeat with the current round to every member.
    pub(super) fn broadcast_heartbeat(&mut self, now: Instant) {
        for peer in self.peer_ids() {
            self.send_append(peer, false);
        }
        self.advance_commit(now);
    }

    /// Sends new entries to every member whose log position is known.
    pub(super) fn replicate(&mut self, now: Instant) {
        for peer in self.peer_ids() {
            self.send_entries(peer);
        }
        self.advance_commit(now);
    }

    /// Sends entries until the maximum number or size of unacknowledged entries is reached.
    pub(super) fn send_entries(&mut self, to: InstanceId) {
        let last = self.log.last().index;
        let (window, window_bytes) = (
            self.config.max_unacked_entries,
            self.config.max_unacked_bytes,
        );
        // The size up to `measured` is summed up once; each entry sent is added to it.
        let mut measured = None;
        let mut unacked_bytes = 0;
        loop {
            let Some(peer) = self.leader_state().and_then(|state| state.peers.get(&to)) else {
                return;
            };
            let (matched, next) = (peer.matched, peer.next);
            let unacked = next.saturating_sub(matched + 1);
            if peer.probing || peer.snapshot.is_some() || next > last || unacked >= window {
                return;
            }
            unacked_bytes += self
                .log
                .size_between(measured.unwrap_or(matched), next.saturating_sub(1));
            measured = Some(next.saturating_sub(1));
            if unacked_bytes >= window_bytes {
                return;
            }
            self.send_append(to, true);
        }
    }

    /// Sends one append, either with entries or as a heartbeat only.
    pub(super) fn send_append(&mut self, to: InstanceId, with_entries: bool) {
        let limit_bytes = self.config.max_message_bytes;
        let base = self.log.base();
        let commit_index = self.commit_index;
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let round = state.rounds.current();
        let Some(peer) = state.peers.get_mut(&to) else {
            return;
        };
        if peer.next <= base.index && peer.snapshot.is_none() {
            peer.snapshot = Some(SnapshotProgress::default());
        }
        let mut previous = LogPosition::default();
        let mut entries = Vec::new();
        if peer.snapshot.is_none() {
            previous.index = peer.next - 1;
            previous.term = self.log.term_at(previous.index).unwrap_or_default();
            if with_entries {
                entries = self.log.slice(peer.next, limit_bytes);
            }
            if !peer.probing {
                peer.next += entries.len() as u64;
            }
        }
        self.send(
            to,
            MessageBody::Append {
                previous,
                entries,
                commit_index,
                round,
            },
        );
    }
}
