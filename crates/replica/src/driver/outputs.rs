//! Performing what the core asks for.

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
    pub(super) fn perform_outputs(&mut self) {
        let output = self.core.take_output();
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
            self.store(StorageJob::Batch {
                batch,
                writes,
                messages: messages_after_sync,
            });
        }
        self.apply_all(state_updates);
        if self.core.role() != MemberRole::Leader {
            self.proposals.abandon_all();
        }
        for outcome in finished_reads {
            self.reads.take(outcome);
        }
        self.reads.applied(self.applied);
        self.compact_when_due();
    }

    pub(super) fn store(&self, job: StorageJob) {
        if let Some(jobs) = &self.jobs {
            // A worker that has failed has reported so.
            let _ = jobs.send(job);
        }
    }

    pub(super) fn send_all(&self, messages: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, message } in messages {
            self.link.send(to, PeerEnvelope::Core(message).encode());
        }
    }

    fn apply_all(&mut self, effects: Vec<StateUpdate>) {
        if effects.is_empty() {
            return;
        }
        let machine = std::sync::Arc::clone(&self.machine);
        let mut machine = machine.write().unwrap_or_else(PoisonError::into_inner);
        for effect in effects {
            match effect {
                StateUpdate::Entry(entry) => self.apply(&mut machine, &entry),
                StateUpdate::Restore(snapshot) => self.restore(&mut machine, &snapshot),
            }
        }
    }

    fn apply(&mut self, machine: &mut M, entry: &LogEntry) {
        let position = entry.position;
        if let EntryPayload::Command(command) = &entry.payload {
            let output = machine.apply(position.index, command);
            self.proposals.applied(position, output);
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

    /// Snapshots the state once the log since the last snapshot is large enough.
    fn compact_when_due(&mut self) {
        if self.applied_bytes < self.config.snapshot_threshold_bytes || self.fault.is_some() {
            return;
        }
        self.applied_bytes = 0;
        let state = {
            let machine = self.machine.read().unwrap_or_else(PoisonError::into_inner);
            Bytes::from(machine.snapshot())
        };
        self.core.compact(self.applied, state);
        self.perform_outputs();
    }
}
