//! Dispatch of messages from other members.

use std::time::Instant;

use crate::FatalError;
use crate::InstanceId;
use crate::MessageBody;
use crate::PeerMessage;
use crate::RaftCore;
use crate::core::snapshots::SnapshotChunk;

impl RaftCore {
    /// Processes a message from another member.
    pub fn receive(&mut self, from: InstanceId, message: PeerMessage, now: Instant) {
        if self.fatal_error.is_some() || from == self.id {
            return;
        }
        if message.folder.is_some_and(|folder| folder != self.folder) {
            self.fatal_error = Some(FatalError::OtherFolder { instance: self.id });
            return;
        }
        if !self.check_term(from, &message, now) {
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
                commit_index,
                round,
            } => self.on_append(from, previous, entries, commit_index, round, now),
            MessageBody::AppendReply { outcome, round } => {
                self.on_append_reply(from, outcome, round, now);
            }
            MessageBody::HeartbeatReply { round } => self.on_round_reply(from, round, now),
            MessageBody::Snapshot {
                last_included,
                membership,
                length,
                offset,
                data,
            } => {
                let chunk = SnapshotChunk {
                    last_included,
                    membership,
                    length,
                    offset,
                    data,
                };
                self.on_snapshot(from, chunk, now);
            }
            MessageBody::SnapshotReply { index, received } => {
                self.on_snapshot_reply(from, index, received, now);
            }
            MessageBody::ReadIndex { request_id } => self.on_read(from, request_id, now),
            MessageBody::ReadIndexReply { request_id, index } => {
                self.on_read_reply(request_id, index, now);
            }
            MessageBody::TimeoutNow => self.on_timeout_now(from, now),
        }
    }
}
