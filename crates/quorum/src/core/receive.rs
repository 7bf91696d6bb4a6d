//! Dispatch of messages from other members.

use std::time::Instant;

use crate::FatalError;
use crate::InstanceId;
use crate::MessageBody;
use crate::PeerMessage;
use crate::RaftCore;
use crate::core::snapshots::SnapshotPiece;

impl RaftCore {
    /// Processes a message from another member.
    pub fn receive(&mut self, from: InstanceId, message: PeerMessage, now: Instant) {
        if self.fault.is_some() || from == self.id {
            return;
        }
        if message.folder.is_some_and(|folder| folder != self.folder) {
            self.fault = Some(FatalError::OtherFolder { instance: self.id });
            return;
        }
        if !self.admit_term(from, &message, now) {
            return;
        }
        match message.body {
            MessageBody::PreVote { last } => self.on_pre_vote(from, message.term, last, now),
            MessageBody::PreVoteReply { granted } => {
                self.on_pre_vote_reply(from, message.term, granted, now);
            }
            MessageBody::Vote { last, .. } => self.on_vote(from, last, now),
            MessageBody::VoteReply { granted } => self.on_vote_reply(from, granted, now),
            MessageBody::Append {
                previous,
                entries,
                committed,
                round,
            } => self.on_append(from, previous, entries, committed, round, now),
            MessageBody::AppendReply { outcome, round } => {
                self.on_append_reply(from, outcome, round, now);
            }
            MessageBody::RoundReply { round } => self.on_round_reply(from, round, now),
            MessageBody::Snapshot {
                last,
                membership,
                length,
                offset,
                chunk,
            } => {
                let piece = SnapshotPiece {
                    last,
                    membership,
                    length,
                    offset,
                    chunk,
                };
                self.on_snapshot(from, piece, now);
            }
            MessageBody::SnapshotReply { index, received } => {
                self.on_snapshot_reply(from, index, received, now);
            }
            MessageBody::Read { id } => self.on_read(from, id, now),
            MessageBody::ReadReply { id, index } => self.on_read_reply(id, index, now),
            MessageBody::TimeoutNow => self.on_timeout_now(from, now),
        }
    }
}
