//! Simulated disk that loses unsynced writes in a crash.

use std::collections::VecDeque;

use quorum::BatchNumber;
use quorum::DurableState;
use quorum::DurableWrite;
use quorum::OutgoingMessage;

/// Writes of one batch, and the messages that wait for its sync.
#[derive(Clone, Debug)]
pub(crate) struct PendingBatch {
    pub(crate) batch: BatchNumber,
    pub(crate) writes: Vec<DurableWrite>,
    pub(crate) messages: Vec<OutgoingMessage>,
}

/// Synced state and the batches that are not synced yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct SimDisk {
    pub(crate) synced: DurableState,
    pub(crate) pending: VecDeque<PendingBatch>,
}

impl SimDisk {
    /// Syncs the oldest `count` batches together; returns the number of the last and all messages.
    pub(crate) fn sync(&mut self, count: usize) -> Option<(BatchNumber, Vec<OutgoingMessage>)> {
        let mut last = None;
        let mut messages = Vec::new();
        for _ in 0..count {
            let Some(batch) = self.pending.pop_front() else {
                break;
            };
            for write in batch.writes {
                self.write(write);
            }
            messages.extend(batch.messages);
            last = Some(batch.batch);
        }
        last.map(|batch| (batch, messages))
    }

    /// Crashes after `synced_batches` more batches have reached the disk.
    pub(crate) fn crash(&mut self, synced_batches: usize) {
        self.sync(synced_batches);
        self.pending.clear();
    }

    fn write(&mut self, write: DurableWrite) {
        let state = &mut self.synced;
        match write {
            DurableWrite::Vote { term, vote } => {
                state.term = term;
                state.vote = vote;
            }
            DurableWrite::Append(entries) => {
                let from = entries[0].position.index;
                state.entries.retain(|entry| entry.position.index < from);
                state.entries.extend(entries);
            }
            DurableWrite::Compact(snapshot) => {
                let index = snapshot.last_included.index;
                let older = state
                    .snapshot
                    .as_ref()
                    .is_none_or(|held| held.last_included.index < index);
                if older {
                    state.entries.retain(|entry| entry.position.index > index);
                    state.snapshot = Some(snapshot);
                }
            }
            DurableWrite::Install(snapshot) => {
                state.entries.clear();
                state.snapshot = Some(snapshot);
            }
        }
    }
}
