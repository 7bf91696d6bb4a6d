//! Keeps the indices of a table in step with its records.

use model::ids::NodeId;

use crate::OnceTable;
use crate::record::OnceRecord;
use crate::record::RecordKey;
use crate::record::RecordState;

impl OnceTable {
    /// Inserts a record that is not there, with its places in the indices.
    pub(super) fn put(&mut self, key: RecordKey, record: OnceRecord) {
        self.sum.add(&(&key, &record));
        match record.state {
            RecordState::Claimed => {
                let running = self.running.entry(record.attempt.node).or_default();
                running.insert(key);
            }
            RecordState::Freed { until_ms } => {
                self.freed.insert((until_ms, key));
            }
            RecordState::MayHaveRun | RecordState::Answered { .. } => {}
        }
        self.records.insert(key, record);
    }

    /// Removes a record and its places in the indices.
    pub(super) fn take(&mut self, key: &RecordKey) -> Option<OnceRecord> {
        let record = self.records.remove(key)?;
        self.sum.remove(&(key, &record));
        match record.state {
            RecordState::Claimed => self.stop_running(record.attempt.node, key),
            RecordState::Freed { until_ms } => {
                self.freed.remove(&(until_ms, *key));
            }
            RecordState::Answered { order } => self.answers.remove(order),
            RecordState::MayHaveRun => {}
        }
        Some(record)
    }

    fn stop_running(&mut self, node: NodeId, key: &RecordKey) {
        if let Some(running) = self.running.get_mut(&node) {
            running.remove(key);
            if running.is_empty() {
                self.running.remove(&node);
            }
        }
    }
}
