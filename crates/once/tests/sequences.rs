//! Random sequences of claims, settlements, crashes and snapshots: no request runs twice.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use bytes::Bytes;
use model::idempotency::ClaimOutcome;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use model::idempotency::IdempotencySettlement;
use model::idempotency::StoredResponse;
use model::verdict::RunVerdict;
use once::IdempotencyLimits;
use once::IdempotencyTable;
use uuid::Uuid;

const SEEDS: u64 = 100;
const SEQUENCE_BYTES: u64 = 4_096;
const LIMITS: IdempotencyLimits = IdempotencyLimits {
    window_ms: 1_000,
    skew_ms: 50,
    freed_retention_ms: 100,
    answer_bytes: 8,
    total_answer_bytes: 20,
    records: 12,
};

/// What the nodes sent, and which attempts their backend servers may have run.
#[derive(Default)]
struct RunHistory {
    /// Attempts that were allowed to run, and whether they may have.
    attempts: BTreeMap<(IdempotencyKey, u64), bool>,
    /// Messages that were sent; each may be delivered again.
    claims: Vec<IdempotencyClaim>,
    settles: Vec<IdempotencySettlement>,
    ended: BTreeSet<u64>,
}

impl RunHistory {
    fn runs(&self, key: &IdempotencyKey) -> usize {
        let attempts = self.attempts.iter();
        attempts
            .filter(|((run, _), may_have_run)| run == key && **may_have_run)
            .count()
    }
}

fn random_key(random: &mut Unstructured<'_>, now_ms: u64) -> Result<IdempotencyKey> {
    let timestamp_ms = now_ms.saturating_sub(random.int_in_range(0..=1_200)?) + 20;
    let tail: u128 = random.int_in_range(0..=2)?;
    let bits = (u128::from(timestamp_ms) << 80) | (0x7 << 76) | (0x2 << 62) | tail;
    Ok(IdempotencyKey {
        team: "la-pluma".into(),
        route: "pay".into(),
        key: Uuid::from_u128(bits),
    })
}

fn claim_step(
    random: &mut Unstructured<'_>,
    table: &mut IdempotencyTable,
    history: &mut RunHistory,
    now_ms: u64,
) -> Result<()> {
    let repeat = !history.claims.is_empty() && random.ratio(2, 3)?;
    let mut claim = if repeat {
        random.choose(&history.claims)?.clone()
    } else {
        IdempotencyClaim {
            key: random_key(random, now_ms)?,
            request_digest: [0; 32],
            node: random.int_in_range(1..=3)?,
            attempt: 0,
        }
    };
    let new_attempt = !repeat || random.ratio(2, 3)?;
    if new_attempt {
        claim.attempt = history.claims.len() as u64 + 1;
        claim.node = random.int_in_range(1..=3)?;
    }
    let outcome = table.claim(&claim, now_ms);
    // A node runs an attempt only if it has not ended it already.
    if outcome == ClaimOutcome::Fresh && !history.ended.contains(&claim.attempt) {
        let attempt = (claim.key.clone(), claim.attempt);
        history.attempts.insert(attempt, true);
        assert_eq!(history.runs(&claim.key), 1, "{claim:?} ran twice");
    }
    history.claims.push(claim);
    Ok(())
}

fn settle_step(
    random: &mut Unstructured<'_>,
    table: &mut IdempotencyTable,
    history: &mut RunHistory,
    now_ms: u64,
) -> Result<()> {
    if !history.settles.is_empty() && random.ratio(1, 4)? {
        table.settle(random.choose(&history.settles)?, now_ms);
        return Ok(());
    }
    if history.claims.is_empty() {
        return Ok(());
    }
    let claim = random.choose(&history.claims)?.clone();
    if !history.ended.insert(claim.attempt) {
        return Ok(());
    }
    let attempt = (claim.key.clone(), claim.attempt);
    let started = history.attempts.contains_key(&attempt);
    let verdict = match random.int_in_range(0..=2)? {
        1 if started => RunVerdict::Ran,
        2 if started => RunVerdict::MayHaveRun,
        _ => RunVerdict::NotRun,
    };
    if verdict == RunVerdict::NotRun {
        history.attempts.remove(&attempt);
    }
    let bytes = random.int_in_range(0..=12)?;
    let settle = IdempotencySettlement {
        key: claim.key,
        node: claim.node,
        attempt: claim.attempt,
        verdict,
        response: Some(StoredResponse {
            status: 200,
            content_type: None,
            body: Bytes::from(vec![1; bytes]),
        }),
    };
    table.settle(&settle, now_ms);
    history.settles.push(settle);
    Ok(())
}

fn run_random_sequence(random: &mut Unstructured<'_>) -> Result<()> {
    let mut table = IdempotencyTable::new(LIMITS);
    let mut history = RunHistory::default();
    let mut now_ms = 1_790_000_000_000;
    while !random.is_empty() {
        // Logged time may go back a little when another instance becomes the leader.
        now_ms = now_ms + random.int_in_range(0..=60)? - 20;
        match random.int_in_range(0..=9)? {
            0..=4 => claim_step(random, &mut table, &mut history, now_ms)?,
            5..=7 => settle_step(random, &mut table, &mut history, now_ms)?,
            8 => table.abandon(random.int_in_range(1..=3)?, now_ms),
            _ => table = restore_from_snapshot(&table),
        }
        assert!(table.len() <= LIMITS.records);
        assert!(table.answer_bytes() <= LIMITS.total_answer_bytes);
    }
    Ok(())
}

/// Restores the table from a snapshot and checks that nothing differs.
fn restore_from_snapshot(table: &IdempotencyTable) -> IdempotencyTable {
    let snapshot = postcard::to_stdvec(table).expect("encodes");
    let restored: IdempotencyTable = postcard::from_bytes(&snapshot).expect("decodes");
    assert_eq!(restored.digest(), table.digest());
    assert_eq!(restored.answer_bytes(), table.answer_bytes());
    let reencoded = postcard::to_stdvec(&restored).expect("encodes");
    assert_eq!(reencoded, snapshot);
    restored
}

#[test]
fn no_request_runs_twice_under_lost_repeated_or_late_messages() {
    for seed in 1..=SEEDS {
        arbtest(run_random_sequence).seed((seed << 32) | SEQUENCE_BYTES);
    }
}
