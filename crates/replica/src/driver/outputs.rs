//! Handling of the output of Raft: messages, writes, applied entries and reads.

use std::sync::PoisonError;

use bytes::Bytes;
use clock::Clock;
use quorum::EntryPayload;
use quorum::LogEntry;
use quorum::MemberRole;
use quorum::OutgoingMessage;
use quorum::RaftOutput;
use quorum::StateSnapshot;
use quorum::StateUpdate;

use crate::PeerLink;
use crate::ReplicaError;
use crate::StateMachine;
use crate::driver::ReplicaDriver;
use crate::envelope::PeerEnvelope;
use crate::storage::StorageJob;

impl<M: StateMachine, L: PeerLink, C: Clock> ReplicaDriver<M, L, C> {
    pub(super) fn handle_output(&mut self) {
        let output = self.raft.take_output();
        let RaftOutput {
            batch,
            writes,
            messages,
            messages_after_sync,
            state_updates,
            finished_reads,
        } = output;
        self.send_all(messages);
        if let Some(batch) = batch {
            self.send_storage_job(StorageJob::Batch {
                batch,
                writes,
                messages: messages_after_sync,
            });
        }
        self.apply_updates(state_updates);
        if self.raft.role() != MemberRole::Leader {
            self.pending_proposals.abandon_all();
        }
        for outcome in finished_reads {
            self.pending_reads.handle_outcome(outcome);
        }
        self.pending_reads.complete_applied(self.applied);
        self.compact_when_due();
    }

    pub(super) fn send_storage_job(&self, job: StorageJob) {
        if let Some(jobs) = &self.storage_jobs {
            // A worker that has failed has already reported its error.
            let _ = jobs.send(job);
        }
    }

    pub(super) fn send_all(&self, messages: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, message } in messages {
            self.link.send(to, PeerEnvelope::Raft(message).encode());
        }
    }

    fn apply_updates(&mut self, updates: Vec<StateUpdate>) {
        if updates.is_empty() {
            return;
        }
        let machine = std::sync::Arc::clone(&self.machine);
        let mut machine = machine.write().unwrap_or_else(PoisonError::into_inner);
        for update in updates {
            match update {
                StateUpdate::Entry(entry) => self.apply(&mut machine, &entry),
                StateUpdate::Restore(snapshot) => self.restore(&mut machine, &snapshot),
            }
        }
    }

    fn apply(&mut self, machine: &mut M, entry: &LogEntry) {
        let position = entry.position;
        if let EntryPayload::Command(command) = &entry.payload {
            let output = machine.apply(position.index, command);
            self.pending_proposals.complete_applied(position, output);
        }
        self.applied = position.index;
        self.applied_bytes += entry.payload.size() as u64;
    }

    fn restore(&mut self, machine: &mut M, snapshot: &StateSnapshot) {
        if let Err(error) = machine.restore(&snapshot.state) {
            let reason = format!("{error:#}").into();
            self.fail(ReplicaError::Restore { reason });
            return;
        }
        self.applied = snapshot.last_included.index;
        self.applied_bytes = 0;
    }

    /// Takes a snapshot once the log since the last one has reached the threshold.
    fn compact_when_due(&mut self) {
        if self.applied_bytes < self.config.snapshot_threshold_bytes || self.fatal_error.is_some() {
            return;
        }
        self.applied_bytes = 0;
        let state = {
            let machine = self.machine.read().unwrap_or_else(PoisonError::into_inner);
            Bytes::from(machine.snapshot())
        };
        self.raft.compact(self.applied, state);
        self.handle_output();
    }
}
