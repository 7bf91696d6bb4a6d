//! Snapshot transfer to members that need entries which the log no longer holds.

use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;

use crate::DurableWrite;
use crate::InstanceId;
use crate::LogIndex;
use crate::LogPosition;
use crate::Membership;
use crate::MessageBody;
use crate::RaftCore;
use crate::StateSnapshot;
use crate::StateUpdate;
use crate::core::RoleState;

/// Progress of a snapshot transfer to a member.
#[derive(Debug, Default)]
pub(super) struct SnapshotProgress {
    /// Index of the snapshot that is being sent, 0 before the first chunk.
    index: LogIndex,
    /// Length of that snapshot, in bytes; a later one may be shorter.
    length: u64,
    /// Bytes that the member has acknowledged.
    received: u64,
}

/// Part of a snapshot received so far.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    last_included: LogPosition,
    state: BytesMut,
}

/// Chunk of a snapshot.
#[derive(Debug)]
pub(super) struct SnapshotChunk {
    pub(super) last_included: LogPosition,
    pub(super) membership: Membership,
    pub(super) length: u64,
    pub(super) offset: u64,
    pub(super) data: Bytes,
}

impl RaftCore {
    /// Sends the next chunk that the member lacks; each heartbeat resends it until acknowledged.
    pub(super) fn send_snapshot_chunk(&mut self, to: InstanceId) {
        let limit_bytes = self.config.max_message_bytes;
        let RoleState::Leader(state) = &mut self.role else {
            return;
        };
        let Some(progress) = state
            .peers
            .get_mut(&to)
            .and_then(|peer| peer.snapshot.as_mut())
        else {
            return;
        };
        let Some(snapshot) = self.log.snapshot() else {
            return;
        };
        if progress.index != snapshot.last_included.index {
            *progress = SnapshotProgress {
                index: snapshot.last_included.index,
                length: snapshot.state.len() as u64,
                received: 0,
            };
        }
        let length = snapshot.state.len();
        let start = usize::try_from(progress.received)
            .unwrap_or(usize::MAX)
            .min(length);
        let end = length.min(start.saturating_add(limit_bytes));
        let body = MessageBody::Snapshot {
            last_included: snapshot.last_included,
            membership: snapshot.membership.clone(),
            length: length as u64,
            offset: start as u64,
            data: snapshot.state.slice(start..end),
        };
        self.send(to, body);
    }

    pub(super) fn on_snapshot_reply(
        &mut self,
        from: InstanceId,
        index: LogIndex,
        received: u64,
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
        let Some(progress) = &mut peer.snapshot else {
            return;
        };
        if progress.index != index || index > last {
            return;
        }
        if received >= progress.length {
            peer.snapshot = None;
            peer.matched = peer.matched.max(index);
            peer.next = peer.matched + 1;
            peer.probing = false;
            self.send_entries(from);
        } else {
            // A restarted member may hold fewer bytes than it acknowledged before the restart.
            let advanced = received > progress.received;
            progress.received = received;
            if advanced {
                self.send_snapshot_chunk(from);
            }
        }
        self.advance_commit(now);
    }

    pub(super) fn on_snapshot(&mut self, from: InstanceId, chunk: SnapshotChunk, now: Instant) {
        if matches!(self.role, RoleState::Leader(_)) {
            return;
        }
        self.follow_leader(from, now);
        let index = chunk.last_included.index;
        let length = chunk.length;
        let received = if self.commit_if_in_log(chunk.last_included) {
            length
        } else {
            self.add_chunk(chunk)
        };
        let reply = MessageBody::SnapshotReply { index, received };
        self.send_after_sync(from, self.term, reply);
    }

    /// Returns whether the log already contains the last entry of the snapshot; if so, commits up
    /// to it.
    fn commit_if_in_log(&mut self, last_included: LogPosition) -> bool {
        if last_included.index <= self.commit_index {
            return true;
        }
        let in_log = self.log.term_at(last_included.index) == Some(last_included.term);
        if in_log {
            self.commit_index = last_included.index;
        }
        in_log
    }

    /// Adds a chunk and returns the number of contiguous bytes received.
    fn add_chunk(&mut self, chunk: SnapshotChunk) -> u64 {
        let same_snapshot = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|incoming| incoming.last_included == chunk.last_included);
        if !same_snapshot {
            self.incoming_snapshot = Some(IncomingSnapshot {
                last_included: chunk.last_included,
                state: BytesMut::new(),
            });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
            return 0;
        };
        if chunk.offset == incoming.state.len() as u64 {
            incoming.state.extend_from_slice(&chunk.data);
        }
        let received = incoming.state.len() as u64;
        if received == chunk.length {
            self.install_snapshot(chunk.last_included, chunk.membership);
        }
        received
    }

    fn install_snapshot(&mut self, last_included: LogPosition, membership: Membership) {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        let snapshot = StateSnapshot {
            last_included,
            membership,
            state: incoming.state.freeze(),
        };
        self.log.reset_to_snapshot(snapshot.clone());
        self.check_own_folder();
        if self.fatal_error.is_some() {
            return;
        }
        self.commit_index = last_included.index;
        self.dispatched_index = last_included.index;
        self.durable_index = 0;
        self.output
            .writes
            .push(DurableWrite::Install(snapshot.clone()));
        self.output
            .state_updates
            .push(StateUpdate::Restore(snapshot));
    }
}
