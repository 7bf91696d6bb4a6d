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
use crate::core::CoreRole;

/// Progress of a snapshot transfer to a member.
#[derive(Debug, Default)]
pub(super) struct SnapshotProgress {
    /// Index of the snapshot that is being sent, 0 before the first chunk.
    index: LogIndex,
    /// Bytes that the member has acknowledged.
    received: u64,
}

/// Part of a snapshot received so far.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    last: LogPosition,
    state: BytesMut,
}

/// Chunk of a snapshot.
#[derive(Debug)]
pub(super) struct SnapshotPiece {
    pub(super) last: LogPosition,
    pub(super) membership: Membership,
    pub(super) length: u64,
    pub(super) offset: u64,
    pub(super) chunk: Bytes,
}

impl RaftCore {
    /// Sends the next chunk that the member lacks; each heartbeat resends it until acknowledged.
    pub(super) fn resume_snapshot(&mut self, to: InstanceId) {
        let limit = self.timing.message_bytes;
        let CoreRole::Leader(state) = &mut self.role else {
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
        if progress.index != snapshot.last.index {
            progress.index = snapshot.last.index;
            progress.received = 0;
        }
        let length = snapshot.state.len();
        let start = usize::try_from(progress.received)
            .unwrap_or(usize::MAX)
            .min(length);
        let end = length.min(start.saturating_add(limit));
        let body = MessageBody::Snapshot {
            last: snapshot.last,
            membership: snapshot.membership.clone(),
            length: length as u64,
            offset: start as u64,
            chunk: snapshot.state.slice(start..end),
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
        let length = self
            .log
            .snapshot()
            .map_or(0, |snapshot| snapshot.state.len() as u64);
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
        if received >= length {
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
                self.resume_snapshot(from);
            }
        }
        self.advance_commit(now);
    }

    pub(super) fn on_snapshot(&mut self, from: InstanceId, piece: SnapshotPiece, now: Instant) {
        if matches!(self.role, CoreRole::Leader(_)) {
            return;
        }
        self.follow(from, now);
        let index = piece.last.index;
        let length = piece.length;
        let received = if self.holds(piece.last) {
            length
        } else {
            self.collect(piece)
        };
        let reply = MessageBody::SnapshotReply { index, received };
        self.send_synced(from, self.term, reply);
    }

    /// Returns whether the log already contains the last entry of the snapshot; if so, commits up
    /// to it.
    fn holds(&mut self, last: LogPosition) -> bool {
        if last.index <= self.committed {
            return true;
        }
        let held = self.log.term_at(last.index) == Some(last.term);
        if held {
            self.committed = last.index;
        }
        held
    }

    /// Adds a chunk and returns the number of contiguous bytes received.
    fn collect(&mut self, piece: SnapshotPiece) -> u64 {
        let fits = self
            .incoming
            .as_ref()
            .is_some_and(|incoming| incoming.last == piece.last);
        if !fits {
            self.incoming = Some(IncomingSnapshot {
                last: piece.last,
                state: BytesMut::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return 0;
        };
        if piece.offset == incoming.state.len() as u64 {
            incoming.state.extend_from_slice(&piece.chunk);
        }
        let received = incoming.state.len() as u64;
        if received == piece.length {
            self.install(piece.last, piece.membership);
        }
        received
    }

    fn install(&mut self, last: LogPosition, membership: Membership) {
        let Some(incoming) = self.incoming.take() else {
            return;
        };
        let snapshot = StateSnapshot {
            last,
            membership,
            state: incoming.state.freeze(),
        };
        self.log.reset(snapshot.clone());
        self.check_own_folder();
        if self.fault.is_some() {
            return;
        }
        self.committed = last.index;
        self.dispatched = last.index;
        self.durable = 0;
        self.output
            .writes
            .push(DurableWrite::Install(snapshot.clone()));
        self.output.applied.push(StateUpdate::Restore(snapshot));
    }
}
