//! Updates the indices of a table together with its records.

use model::ids::NodeId;

use crate::IdempotencyTable;
use crate::record::IdempotencyRecord;
use crate::record::RecordKey;
use crate::record::RecordState;

impl IdempotencyTable {
    /// Inserts a record, which must not exist yet, and its index entries.
    pub(super) fn insert_record(&mut self, key: RecordKey, record: IdempotencyRecord) {
        self.records_hash.add(&(&key, &record));
        match record.state {
            RecordState::Claimed => {
                let running = self.running.entry(record.attempt.node).or_default();
                running.insert(key);
            }
            RecordState::Freed {
                remembered_until_ms,
            } => {
                self.freed.insert((remembered_until_ms, key));
            }
            RecordState::MayHaveRun | RecordState::Answered { .. } => {}
        }
        self.records.insert(key, record);
    }

    /// Removes a record and its index entries.
    pub(super) fn remove_record(&mut self, key: &RecordKey) -> Option<IdempotencyRecord> {
        let record = self.records.remove(key)?;
        self.records_hash.remove(&(key, &record));
        match record.state {
            RecordState::Claimed => self.remove_running(record.attempt.node, key),
            RecordState::Freed {
                remembered_until_ms,
            } => {
                self.freed.remove(&(remembered_until_ms, *key));
            }
            RecordState::Answered { sequence } => self.answers.remove(sequence),
            RecordState::MayHaveRun => {}
        }
        Some(record)
    }

    fn remove_running(&mut self, node: NodeId, key: &RecordKey) {
        if let Some(running) = self.running.get_mut(&node) {
            running.remove(key);
            if running.is_empty() {
                self.running.remove(&node);
            }
        }
    }
}
