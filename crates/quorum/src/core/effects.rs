//! Collection of the writes, messages and state updates that the driver performs.

use crate::DurableWrite;
use crate::EntryPayload;
use crate::InstanceId;
use crate::LogEntry;
use crate::LogPosition;
use crate::MessageBody;
use crate::OutgoingMessage;
use crate::PeerMessage;
use crate::RaftCore;
use crate::RaftOutput;
use crate::StateUpdate;
use crate::Term;
use crate::core::UnsyncedBatch;

impl RaftCore {
    /// Returns everything that the driver must do because of the events since the last call.
    pub fn take_output(&mut self) -> RaftOutput {
        self.dispatch_committed();
        let mut output = std::mem::take(&mut self.output);
        if output.writes.is_empty() && self.unsynced_batches.is_empty() {
            output.messages.append(&mut output.messages_after_sync);
        }
        if output.writes.is_empty() && output.messages_after_sync.is_empty() {
            return output;
        }
        self.last_batch += 1;
        output.batch = Some(self.last_batch);
        let voted_self = output.writes.iter().any(|write| {
            matches!(write, DurableWrite::Vote { term, vote } if *term == self.term && *vote == Some(self.id))
        });
        self.unsynced_batches.push_back(UnsyncedBatch {
            batch: self.last_batch,
            last: self.log.last(),
            term: self.term,
            voted_self,
        });
        output
    }

    /// Returns whether writes are pending, so that messages which wait for a sync are delayed.
    pub(super) fn has_pending_writes(&self) -> bool {
        !self.output.writes.is_empty() || !self.unsynced_batches.is_empty()
    }

    /// Passes committed entries on to be applied to the state machine.
    pub(super) fn dispatch_committed(&mut self) {
        while self.dispatched_index < self.commit_index {
            let Some(entry) = self.log.entry(self.dispatched_index + 1) else {
                break;
            };
            self.output
                .state_updates
                .push(StateUpdate::Entry(entry.clone()));
            self.dispatched_index += 1;
        }
    }

    pub(super) fn append_as_leader(&mut self, payloads: Vec<EntryPayload>) {
        let first_index = self.log.last().index + 1;
        let term = self.term;
        let entries = payloads
            .into_iter()
            .zip(first_index..)
            .map(|(payload, index)| LogEntry {
                position: LogPosition { index, term },
                payload,
            })
            .collect();
        self.append_entries(entries);
    }

    pub(super) fn append_entries(&mut self, entries: Vec<LogEntry>) {
        if entries.is_empty() {
            return;
        }
        self.log.append(entries.iter().cloned());
        match self.output.writes.last_mut() {
            Some(DurableWrite::Append(earlier))
                if earlier.last().map(|entry| entry.position.index + 1)
                    == Some(entries[0].position.index) =>
            {
                earlier.extend(entries);
            }
            _ => self.output.writes.push(DurableWrite::Append(entries)),
        }
    }

    pub(super) fn write_vote(&mut self) {
        self.output.writes.push(DurableWrite::Vote {
            term: self.term,
            vote: self.vote,
        });
    }

    /// Queues a message that may be sent before earlier writes are synced.
    pub(super) fn send(&mut self, to: InstanceId, body: MessageBody) {
        let message = self.build_message(to, self.term, body);
        self.output.messages.push(OutgoingMessage { to, message });
    }

    /// Queues a message that must not be sent before all earlier writes are synced.
    pub(super) fn send_after_sync(&mut self, to: InstanceId, term: Term, body: MessageBody) {
        let message = self.build_message(to, term, body);
        self.output
            .messages_after_sync
            .push(OutgoingMessage { to, message });
    }

    pub(super) fn build_message(
        &self,
        to: InstanceId,
        term: Term,
        body: MessageBody,
    ) -> PeerMessage {
        let member = self.log.membership().member(to);
        PeerMessage {
            term,
            folder: member.map(|member| member.folder),
            body,
        }
    }
}
