//! The table of records.

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

use crate::OnceLimits;
use crate::answers::AnswerStore;
use crate::answers::content_bytes;
use crate::record::Attempt;
use crate::record::OnceRecord;
use crate::record::RecordKey;
use crate::record::RecordState;
use crate::record::body_digest;
use crate::record::is_version_7;
use crate::record::stamp_ms;
use crate::scope::ScopeTable;
use crate::sum::SetSum;
use crate::table::stored::StoredTable;

/// Records of requests that must run at most once; see `docs/ONCE.md`.
///
/// All methods are deterministic. Time comes with the log entry, so that every
/// instance comes to the same answer whenever it applies the entry. A key is
/// allowed to run only while its time stamp lies above the horizon, and its
/// record is dropped only when the horizon passes it; the horizon never moves
/// back, so a key whose record is gone can never run again.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "StoredTable")]
pub struct OnceTable {
    limits: OnceLimits,
    now_ms: u64,
    horizon_ms: u64,
    scopes: ScopeTable,
    records: BTreeMap<RecordKey, OnceRecord>,
    answers: AnswerStore,
    /// Records whose attempt may be running, by node.
    #[serde(skip)]
    running: BTreeMap<NodeId, BTreeSet<RecordKey>>,
    /// Freed attempts by the time at which they are forgotten.
    #[serde(skip)]
    freed: BTreeSet<(u64, RecordKey)>,
    #[serde(skip)]
    sum: SetSum,
}

impl Default for OnceTable {
    fn default() -> Self {
        Self::new(OnceLimits::default())
    }
}

impl OnceTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(limits: OnceLimits) -> Self {
        Self {
            limits,
            now_ms: 0,
            horizon_ms: 0,
            scopes: ScopeTable::default(),
            records: BTreeMap::new(),
            answers: AnswerStore::default(),
            running: BTreeMap::new(),
            freed: BTreeSet::new(),
            sum: SetSum::default(),
        }
    }

    /// Asks for the right to run a request; `wall_ms` is the logged time.
    ///
    /// A claim delivered twice gets the same outcome as long as its attempt
    /// has not ended. Keys that are no UUID version 7 have no time stamp to
    /// bound their record and count as expired.
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
        self.take(&key);
        self.put(key, OnceRecord::claimed(claim));
        self.enforce_record_limit();
        ClaimOutcome::Fresh
    }

    /// Returns whether a request may have run, as far as the records tell.
    ///
    /// Whatever is too old to have a record may have run.
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
    /// Only the attempt that holds the record ends it. A request that did not
    /// run frees its record. Once an attempt may have run, nothing frees it.
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
            Some(record) if record.attempt == attempt => self.end(key, settle),
            Some(_) => {}
            None => self.remember_freed(key, attempt, settle.verdict),
        }
        self.enforce_answer_limit();
        self.enforce_record_limit();
    }

    /// Gives up the attempts of a node that is gone: they may have run.
    pub fn abandon(&mut self, node: NodeId, wall_ms: u64) {
        self.advance(wall_ms);
        for key in self.running.remove(&node).unwrap_or_default() {
            if let Some(mut record) = self.take(&key) {
                record.state = RecordState::MayHaveRun;
                self.put(key, record);
            }
        }
    }

    /// Moves the logged time on and drops what it expires; it never moves back.
    pub fn advance(&mut self, wall_ms: u64) {
        self.now_ms = self.now_ms.max(wall_ms);
        let horizon_ms = self.now_ms.saturating_sub(self.limits.window_ms);
        self.raise_horizon(horizon_ms);
        self.forget_freed();
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

    /// Returns the bytes of all stored answers.
    #[must_use]
    pub fn answer_bytes(&self) -> usize {
        self.answers.total_bytes()
    }

    /// Returns the logged time, in milliseconds since the epoch.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns a digest of the table; it costs the same for any number of records.
    #[must_use]
    pub fn digest(&self) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_derive_key("ragwortplank once table v1");
        for number in [self.now_ms, self.horizon_ms] {
            hasher.update(&number.to_le_bytes());
        }
        self.scopes.hash_into(&mut hasher);
        self.sum.hash_into(&mut hasher);
        self.answers.hash_into(&mut hasher);
        *hasher.finalize().as_bytes()
    }

    fn is_in_window(&self, claim: &IdempotencyClaim) -> bool {
        let key = &claim.key.key;
        let latest_ms = self.now_ms.saturating_add(self.limits.skew_ms);
        self.may_have_record(key) && stamp_ms(key) <= latest_ms
    }

    fn may_have_record(&self, key: &Uuid) -> bool {
        is_version_7(key) && stamp_ms(key) >= self.horizon_ms
    }

    fn record_key(&mut self, key: &IdempotencyKey) -> RecordKey {
        RecordKey {
            key: key.key,
            scope: self.scopes.id(key),
        }
    }

    /// Returns the outcome of a claim on a record, or none when the record is free.
    fn outcome_of(&self, record: &OnceRecord, claim: &IdempotencyClaim) -> Option<ClaimOutcome> {
        let attempt = Attempt {
            node: claim.node,
            number: claim.attempt,
        };
        let repeated = record.attempt == attempt;
        let same_body = record.body.is_none_or(|body| body == body_digest(claim));
        match record.state {
            RecordState::Freed { .. } if repeated => Some(ClaimOutcome::Pending),
            RecordState::Freed { .. } => None,
            _ if !same_body => Some(ClaimOutcome::KeyReused),
            RecordState::Claimed if repeated => Some(ClaimOutcome::Fresh),
            RecordState::Claimed => Some(ClaimOutcome::Pending),
            RecordState::MayHaveRun => Some(ClaimOutcome::MayHaveRun),
            RecordState::Answered { order } => {
                let answer = self.answers.get(order);
                Some(answer.map_or(ClaimOutcome::MayHaveRun, ClaimOutcome::Answered))
            }
        }
    }

    /// Moves a record on; what ran or may have run is never freed.
    fn end(&mut self, key: RecordKey, settle: &IdempotencySettlement) {
        let Some(mut record) = self.records.get(&key).cloned() else {
            return;
        };
        record.state = match (&record.state, settle.verdict) {
            (RecordState::Claimed, RunVerdict::NotRun) => self.freed_state(),
            (RecordState::Answered { .. }, _) | (_, RunVerdict::NotRun) => return,
            (_, RunVerdict::Ran) => self.answered_state(key, settle),
            (_, RunVerdict::MayHaveRun) => RecordState::MayHaveRun,
        };
        self.take(&key);
        self.put(key, record);
    }

    /// Keeps the end of an attempt whose claim is still on its way.
    fn remember_freed(&mut self, key: RecordKey, attempt: Attempt, verdict: RunVerdict) {
        let state = match verdict {
            RunVerdict::NotRun => self.freed_state(),
            RunVerdict::Ran | RunVerdict::MayHaveRun => RecordState::MayHaveRun,
        };
        self.put(
            key,
            OnceRecord {
                body: None,
                attempt,
                state,
            },
        );
    }

    fn freed_state(&self) -> RecordState {
        RecordState::Freed {
            until_ms: self.now_ms.saturating_add(self.limits.freed_ms),
        }
    }

    /// Keeps the answer when there is one of an allowed size.
    fn answered_state(&mut self, key: RecordKey, settle: &IdempotencySettlement) -> RecordState {
        let limit = self.limits.answer_bytes;
        let answer = settle.response.as_ref();
        let answer = answer.filter(|answer| content_bytes(answer) <= limit);
        let order = answer.and_then(|answer| self.answers.keep(key, answer));
        order.map_or(RecordState::MayHaveRun, |order| RecordState::Answered {
            order,
        })
    }

    fn enforce_answer_limit(&mut self) {
        while self.answers.total_bytes() > self.limits.total_answer_bytes {
            let Some(key) = self.answers.pop_oldest() else {
                return;
            };
            if let Some(mut record) = self.take(&key) {
                record.state = RecordState::MayHaveRun;
                self.put(key, record);
            }
        }
    }

    /// Lets the oldest keys expire early when there are too many records.
    fn enforce_record_limit(&mut self) {
        while self.records.len() > self.limits.records {
            let Some((oldest, _)) = self.records.first_key_value() else {
                return;
            };
            let horizon_ms = oldest.stamp_ms() + 1;
            self.raise_horizon(horizon_ms);
        }
    }

    fn raise_horizon(&mut self, horizon_ms: u64) {
        self.horizon_ms = self.horizon_ms.max(horizon_ms);
        while let Some((oldest, _)) = self.records.first_key_value() {
            if oldest.stamp_ms() >= self.horizon_ms {
                return;
            }
            let oldest = *oldest;
            self.take(&oldest);
        }
    }

    fn forget_freed(&mut self) {
        while let Some((until_ms, key)) = self.freed.first() {
            if *until_ms > self.now_ms {
                return;
            }
            let key = *key;
            self.take(&key);
        }
    }
}
