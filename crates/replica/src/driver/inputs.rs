//! Handling of the inputs that were received together.

use std::time::Instant;

use bytes::Bytes;
use clock::Clock;
use quorum::AppendError;

use crate::InstanceId;
use crate::PeerLink;
use crate::ProposeError;
use crate::ReadIndexError;
use crate::ReplicaError;
use crate::StateMachine;
use crate::driver::DriverInput;
use crate::driver::ProposalReply;
use crate::driver::ReadIndexReply;
use crate::driver::ReplicaDriver;
use crate::envelope::PeerEnvelope;
use crate::storage::StorageReport;

impl<M: StateMachine, L: PeerLink, C: Clock> ReplicaDriver<M, L, C> {
    /// Handles all inputs, and appends the proposals among them together.
    pub(super) fn handle_inputs(&mut self, inputs: Vec<DriverInput<M>>) {
        let now = self.clock.now();
        let mut entries = Vec::new();
        let mut replies = Vec::new();
        for input in inputs {
            match input {
                DriverInput::Propose { entry, reply } => {
                    entries.push(Bytes::from(entry));
                    replies.push(reply);
                }
                DriverInput::ReadIndex { reply } => self.start_read_index(reply, now),
                DriverInput::ChangeMembers { change, reply } => {
                    // The caller may have given up waiting.
                    let _ = reply.send(self.raft.change_members(change, now));
                }
                DriverInput::ReportLost { instance } => self.raft.report_lost(instance),
                DriverInput::Message { from, message } => self.handle_message(from, &message, now),
                DriverInput::Storage(report) => self.handle_storage_report(report, now),
            }
        }
        if !entries.is_empty() {
            self.propose(entries, replies, now);
        }
    }

    fn propose(&mut self, entries: Vec<Bytes>, replies: Vec<ProposalReply<M>>, now: Instant) {
        match self.raft.propose(entries, now) {
            Ok(first) => self.pending_proposals.insert(first, replies, now),
            Err(AppendError::NotLeader { leader }) => {
                for reply in replies {
                    let _ = reply.send(Err(ProposeError::NotLeader { leader }));
                }
            }
        }
    }

    fn start_read_index(&mut self, reply: ReadIndexReply, now: Instant) {
        if !self.identity.registered {
            let _ = reply.send(Err(ReadIndexError));
            return;
        }
        let read_id = self.pending_reads.insert(reply);
        self.raft.start_read(read_id, now);
    }

    fn handle_message(&mut self, from: InstanceId, message: &[u8], now: Instant) {
        match PeerEnvelope::decode(message) {
            Some(PeerEnvelope::Raft(message)) if self.identity.registered => {
                self.raft.receive(from, message, now);
            }
            Some(PeerEnvelope::Raft(_)) => {}
            Some(PeerEnvelope::RegisterFolder { folder }) => self.on_register_folder(from, folder),
            Some(PeerEnvelope::RegisterFolderReply { folder, accepted }) => {
                self.on_register_folder_reply(from, folder, accepted);
            }
            Some(PeerEnvelope::Join { folder }) => self.on_join(from, folder),
            Some(PeerEnvelope::JoinRefused { folder }) => self.on_join_refused(folder),
            None => tracing::warn!(event = "peer-message-refused", from, bytes = message.len()),
        }
    }

    fn handle_storage_report(&mut self, report: StorageReport, now: Instant) {
        match report {
            StorageReport::Synced { batch, messages } => {
                self.raft.mark_synced(batch, now);
                self.send_all(messages);
            }
            StorageReport::IdentitySaved(identity) => self.on_identity_saved(&identity),
            StorageReport::Failed(error) => self.fail(ReplicaError::Storage(error)),
        }
    }
}
