//! Table of idempotency records.

mod index;
mod stored;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use model::idempotency::ClaimOutcome;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use model::idempotency::IdempotencySettlement;
use model::ids::NodeId;
use model::verdict::RunVerdict;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use crate::IdempotencyLimits;
use crate::answers::AnswerStore;
use crate::answers::content_bytes;
use crate::record::Attempt;
use crate::record::IdempotencyRecord;
use crate::record::RecordKey;
use crate::record::RecordState;
use crate::record::body_digest;
use crate::record::is_version_7;
use crate::record::timestamp_ms;
use crate::scope::ScopeTable;
use crate::set_hash::SetHash;
use crate::table::stored::StoredTable;

/// Idempotency records of requests that must run at most once; see `docs/ONCE.md`.
///
/// All methods are deterministic. Time comes with the log entry, so that every
/// instance computes the same result whenever it applies the entry. A key may
/// run only while its timestamp is not below `expired_before_ms`, and its record
/// is dropped only once its timestamp is below. That bound never decreases, so a
/// key whose record was dropped can never run again.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "StoredTable")]
pub struct IdempotencyTable {
    limits: IdempotencyLimits,
    now_ms: u64,
    expired_before_ms: u64,
    scopes: ScopeTable,
    records: BTreeMap<RecordKey, IdempotencyRecord>,
    answers: AnswerStore,
    /// Records whose attempt may still be running, by node.
    #[serde(skip)]
    running: BTreeMap<NodeId, BTreeSet<RecordKey>>,
    /// Records of attempts that did not run, by the time at which they are removed.
    #[serde(skip)]
    freed: BTreeSet<(u64, RecordKey)>,
    #[serde(skip)]
    records_hash: SetHash,
}

impl Default for IdempotencyTable {
    fn default() -> Self {
        Self::new(IdempotencyLimits::default())
    }
}

impl IdempotencyTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: IdempotencyLimits) -> Self {
        Self {
            limits,
            now_ms: 0,
            expired_before_ms: 0,
            scopes: ScopeTable::default(),
            records: BTreeMap::new(),
            answers: AnswerStore::default(),
            running: BTreeMap::new(),
            freed: BTreeSet::new(),
            records_hash: SetHash::default(),
        }
    }

    /// Claims the right to run a request; `wall_ms` is the logged time.
    ///
    /// A claim delivered twice gets the same outcome as long as its attempt
    /// has not ended. A key that is not a UUID version 7 has no timestamp that
    /// could limit the life of its record, and counts as expired.
    pub fn claim(&mut self, claim: &IdempotencyClaim, wall_ms: u64) -> ClaimOutcome {
        self.advance(wall_ms);
        if !self.is_in_window(claim) {
            return ClaimOutcome::Expired;
        }
        let key = self.record_key(&claim.key);
        if let Some(record) = self.records.get(&key)
            && let Some(outcome) = self.outcome_of(record, claim)
        {
            return outcome;
        }
        self.remove_record(&key);
        self.insert_record(key, IdempotencyRecord::claimed(claim));
        self.enforce_record_limit();
        ClaimOutcome::Fresh
    }

    /// Returns whether a request may have run, according to the records.
    ///
    /// A request that is too old to have a record may have run.
    #[must_use]
    pub fn may_have_run(&self, key: &IdempotencyKey) -> bool {
        if !self.may_have_record(&key.key) {
            return true;
        }
        let Some(scope) = self.scopes.find(key) else {
            return false;
        };
        let record = self.records.get(&RecordKey {
            key: key.key,
            scope,
        });
        record.is_some_and(|record| !matches!(record.state, RecordState::Freed { .. }))
    }

    /// Ends an attempt; `wall_ms` is the logged time.
    ///
    /// Only the attempt that holds a record can change it. An attempt that did
    /// not run frees its record for another one. Once an attempt may have run,
    /// its record is never freed.
    pub fn settle(&mut self, settle: &IdempotencySettlement, wall_ms: u64) {
        self.advance(wall_ms);
        if !self.may_have_record(&settle.key.key) {
            return;
        }
        let key = self.record_key(&settle.key);
        let attempt = Attempt {
            node: settle.node,
            number: settle.attempt,
        };
        match self.records.get(&key) {
            Some(record) if record.attempt == attempt => self.end_attempt(key, settle),
            Some(_) => {}
            None => self.record_unclaimed_end(key, attempt, settle.verdict),
        }
        self.enforce_answer_limit();
        self.enforce_record_limit();
    }

    /// Marks the running attempts of a node that is gone as ones that may have run.
    pub fn abandon(&mut self, node: NodeId, wall_ms: u64) {
        self.advance(wall_ms);
        for key in self.running.remove(&node).unwrap_or_default() {
            if let Some(mut record) = self.remove_record(&key) {
                record.state = RecordState::MayHaveRun;
                self.insert_record(key, record);
            }
        }
    }

    /// Advances the logged time, which never decreases, and drops expired records.
    pub fn advance(&mut self, wall_ms: u64) {
        self.now_ms = self.now_ms.max(wall_ms);
        let expired_before_ms = self.now_ms.saturating_sub(self.limits.window_ms);
        self.expire_before(expired_before_ms);
        self.remove_freed();
    }

    /// Returns the number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the size of all stored answers, in bytes.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answers.total_bytes()
    }

    /// Returns the logged time, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns a digest of the table, whose cost does not depend on the number of records.
    #[must_use]
    pub fn digest(&self) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_derive_key("ragwortplank once table v1");
        for number in [self.now_ms, self.expired_before_ms] {
            hasher.update(&number.to_le_bytes());
        }
        self.scopes.hash_into(&mut hasher);
        self.records_hash.hash_into(&mut hasher);
        self.answers.hash_into(&mut hasher);
        *hasher.finalize().as_bytes()
    }

    fn is_in_window(&self, claim: &IdempotencyClaim) -> bool {
        let key = &claim.key.key;
        let latest_ms = self.now_ms.saturating_add(self.limits.skew_ms);
        self.may_have_record(key) && timestamp_ms(key) <= latest_ms
    }

    fn may_have_record(&self, key: &Uuid) -> bool {
        is_version_7(key) && timestamp_ms(key) >= self.expired_before_ms
    }

    fn record_key(&mut self, key: &IdempotencyKey) -> RecordKey {
        RecordKey {
            key: key.key,
            scope: self.scopes.id(key),
        }
    }

    /// Returns the outcome of a claim on an existing record, or `None` if the record is free.
    fn outcome_of(
        &self,
        record: &IdempotencyRecord,
        claim: &IdempotencyClaim,
    ) -> Option<ClaimOutcome> {
        let attempt = Attempt {
            node: claim.node,
            number: claim.attempt,
        };
        let is_same_attempt = record.attempt == attempt;
        let is_same_body = record.body.is_none_or(|body| body == body_digest(claim));
        match record.state {
            RecordState::Freed { .. } if is_same_attempt => Some(ClaimOutcome::Pending),
            RecordState::Freed { .. } => None,
            _ if !is_same_body => Some(ClaimOutcome::KeyReused),
            RecordState::Claimed if is_same_attempt => Some(ClaimOutcome::Fresh),
            RecordState::Claimed => Some(ClaimOutcome::Pending),
            RecordState::MayHaveRun => Some(ClaimOutcome::MayHaveRun),
            RecordState::Answered { sequence } => {
                let answer = self.answers.get(sequence);
                Some(answer.map_or(ClaimOutcome::MayHaveRun, ClaimOutcome::Answered))
            }
        }
    }

    /// Applies the end of an attempt; a record that ran or may have run is never freed.
    fn end_attempt(&mut self, key: RecordKey, settle: &IdempotencySettlement) {
        let Some(mut record) = self.records.get(&key).cloned() else {
            return;
        };
        record.state = match (&record.state, settle.verdict) {
            (RecordState::Claimed, RunVerdict::NotRun) => self.new_freed_state(),
            (RecordState::Answered { .. }, _) | (_, RunVerdict::NotRun) => return,
            (_, RunVerdict::Ran) => self.store_answer(key, settle),
            (_, RunVerdict::MayHaveRun) => RecordState::MayHaveRun,
        };
        self.remove_record(&key);
        self.insert_record(key, record);
    }

    /// Records the end of an attempt whose claim has not arrived yet.
    fn record_unclaimed_end(&mut self, key: RecordKey, attempt: Attempt, verdict: RunVerdict) {
        let state = match verdict {
            RunVerdict::NotRun => self.new_freed_state(),
            RunVerdict::Ran | RunVerdict::MayHaveRun => RecordState::MayHaveRun,
        };
        self.insert_record(
            key,
            IdempotencyRecord {
                body: None,
                attempt,
                state,
            },
        );
    }

    fn new_freed_state(&self) -> RecordState {
        RecordState::Freed {
            remembered_until_ms: self.now_ms.saturating_add(self.limits.freed_retention_ms),
        }
    }

    /// Stores the answer if there is one within the size limit.
    fn store_answer(&mut self, key: RecordKey, settle: &IdempotencySettlement) -> RecordState {
        let limit = self.limits.answer_bytes;
        let answer = settle.response.as_ref();
        let answer = answer.filter(|answer| content_bytes(answer) <= limit);
        let sequence = answer.and_then(|answer| self.answers.insert(key, answer));
        sequence.map_or(RecordState::MayHaveRun, |sequence| RecordState::Answered {
            sequence,
        })
    }

    fn enforce_answer_limit(&mut self) {
        while self.answers.total_bytes() > self.limits.total_answer_bytes {
            let Some(key) = self.answers.pop_oldest() else {
                return;
            };
            if let Some(mut record) = self.remove_record(&key) {
                record.state = RecordState::MayHaveRun;
                self.insert_record(key, record);
            }
        }
    }

    /// Expires the oldest keys early if there are too many records.
    fn enforce_record_limit(&mut self) {
        while self.records.len() > self.limits.records {
            let Some((oldest, _)) = self.records.first_key_value() else {
                return;
            };
            let expired_before_ms = oldest.timestamp_ms() + 1;
            self.expire_before(expired_before_ms);
        }
    }

    fn expire_before(&mut self, expired_before_ms: u64) {
        self.expired_before_ms = self.expired_before_ms.max(expired_before_ms);
        while let Some((oldest, _)) = self.records.first_key_value() {
            if oldest.timestamp_ms() >= self.expired_before_ms {
                return;
            }
            let oldest = *oldest;
            self.remove_record(&oldest);
        }
    }

    fn remove_freed(&mut self) {
        while let Some((remembered_until_ms, key)) = self.freed.first() {
            if *remembered_until_ms > self.now_ms {
                return;
            }
            let key = *key;
            self.remove_record(&key);
        }
    }
}
