//! Processing of followers' acknowledgements by the leader, and its commit index.

use std::time::Instant;

use crate::AppendOutcome;
use crate::InstanceId;
use crate::RaftCore;
use crate::core::RoleState;

impl RaftCore {
    pub(super) fn on_append_reply(
        &mut self,
        from: InstanceId,
        outcome: AppendOutcome,
        round: u64,
        now: Instant,
    ) {
        let last = self.log.last().index;
        let Some(peer) = self
            .leader_state()
            .and_then(|state| state.peers.get_mut(&from))
        else {
            return;
        };
        peer.heard_at = now;
        peer.acked_round = peer.acked_round.max(round);
        match outcome {
            AppendOutcome::Matched(index) if index <= last => {
                peer.matched = peer.matched.max(index);
                if index + 1 >= peer.next {
                    peer.probing = false;
                    peer.next = peer.matched + 1;
                }
                self.send_entries(from);
            }
            AppendOutcome::Rejected(hint) if peer.snapshot.is_none() => {
                let next = hint.min(peer.next).max(peer.matched + 1);
                let repeated = peer.probing && next == peer.next;
                peer.next = next;
                peer.probing = true;
                if !repeated {
                    self.send_append(from, true);
                    self.send_snapshot_chunk(from);
                }
            }
            AppendOutcome::Matched(_) | AppendOutcome::Rejected(_) => {}
        }
        self.advance_commit(now);
        self.complete_reads(now);
        self.finish_transfer();
    }

    pub(super) fn on_round_reply(&mut self, from: InstanceId, round: u64, now: Instant) {
        let Some(peer) = self
            .leader_state()
            .and_then(|state| state.peers.get_mut(&from))
        else {
            return;
        };
        peer.heard_at = now;
        peer.acked_round = peer.acked_round.max(round);
        self.complete_reads(now);
    }

    /// Advances the commit index to the last entry of this term that a quorum has synced.
    pub(super) fn advance_commit(&mut self, now: Instant) {
        let RoleState::Leader(state) = &self.role else {
            return;
        };
        let durable_index = self.durable_index;
        let reached = self.leader_quorum_value(|voter| {
            if voter == self.id {
                durable_index
            } else {
                state.peers.get(&voter).map_or(0, |peer| peer.matched)
            }
        });
        let Some(reached) = reached else {
            return;
        };
        if reached <= self.commit_index || self.log.term_at(reached) != Some(self.term) {
            return;
        }
        self.commit_index = reached;
        self.complete_reads(now);
        self.settle_membership(now);
        self.step_down_if_not_voter(now);
    }
}
