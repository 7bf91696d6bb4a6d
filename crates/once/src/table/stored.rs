//! What a snapshot holds of a table; indices are made anew.

use std::collections::BTreeMap;

use serde::Deserialize;

use crate::OnceLimits;
use crate::OnceTable;
use crate::answers::AnswerStore;
use crate::record::OnceRecord;
use crate::record::RecordKey;
use crate::scope::ScopeTable;

/// The stored fields of a table, in the order in which it writes them.
#[derive(Deserialize)]
pub(crate) struct StoredTable {
    limits: OnceLimits,
    now_ms: u64,
    horizon_ms: u64,
    scopes: ScopeTable,
    records: BTreeMap<RecordKey, OnceRecord>,
    answers: AnswerStore,
}

impl From<StoredTable> for OnceTable {
    fn from(stored: StoredTable) -> Self {
        let mut table = Self::new(stored.limits);
        table.now_ms = stored.now_ms;
        table.horizon_ms = stored.horizon_ms;
        table.scopes = stored.scopes;
        for (key, record) in stored.records {
            table.put(key, record);
        }
        table.answers = stored.answers;
        table.answers.recount();
        table
    }
}
