//! Snapshot format of a table; the indices are rebuilt on load.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::IdempotencyLimits;
use crate::IdempotencyTable;
use crate::answers::AnswerStore;
use crate::record::IdempotencyRecord;
use crate::record::RecordKey;
use crate::scope::ScopeTable;

/// Serialized fields of a table, in the order in which the table writes them.
#[derive(Deserialize)]
pub(crate) struct StoredTable {
    limits: IdempotencyLimits,
    now_ms: u64,
    expired_before_ms: u64,
    scopes: ScopeTable,
    records: BTreeMap<RecordKey, IdempotencyRecord>,
    answers: AnswerStore,
}

impl From<StoredTable> for IdempotencyTable {
    fn from(stored: StoredTable) -> Self {
        let mut table = Self::new(stored.limits);
        table.now_ms = stored.now_ms;
        table.expired_before_ms = stored.expired_before_ms;
        table.scopes = stored.scopes;
        for (key, record) in stored.records {
            table.insert_record(key, record);
        }
        table.answers = stored.answers;
        table.answers.rebuild_totals();
        table
    }
}
