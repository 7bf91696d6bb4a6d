//! Idempotency table: outcomes of claims and settlements, expiry and limits.

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

/// Logged time at which tests begin, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_790_000_000_000;

fn key_at(timestamp_ms: u64, tail: u128) -> IdempotencyKey {
    let version = 0x7 << 76;
    let variant = 0x2 << 62;
    IdempotencyKey {
        team: "la-pluma".into(),
        route: "pay".into(),
        key: Uuid::from_u128((u128::from(timestamp_ms) << 80) | version | variant | tail),
    }
}

fn claim(key: &IdempotencyKey, node: u64, attempt: u64) -> IdempotencyClaim {
    IdempotencyClaim {
        key: key.clone(),
        request_digest: [1; 32],
        node,
        attempt,
    }
}

fn settle(
    claim: &IdempotencyClaim,
    verdict: RunVerdict,
    answer: Option<StoredResponse>,
) -> IdempotencySettlement {
    IdempotencySettlement {
        key: claim.key.clone(),
        node: claim.node,
        attempt: claim.attempt,
        verdict,
        response: answer,
    }
}

fn answer(bytes: usize) -> StoredResponse {
    StoredResponse {
        status: 201,
        content_type: None,
        body: Bytes::from(vec![7; bytes]),
    }
}

#[test]
fn a_second_attempt_is_pending_and_then_gets_the_answer() {
    let mut table = IdempotencyTable::default();
    let first = claim(&key_at(START_MS, 1), 1, 10);
    let second = claim(&key_at(START_MS, 1), 2, 20);
    assert_eq!(table.claim(&first, START_MS), ClaimOutcome::Fresh);
    assert_eq!(table.claim(&first, START_MS), ClaimOutcome::Fresh);
    assert_eq!(table.claim(&second, START_MS), ClaimOutcome::Pending);
    table.settle(&settle(&first, RunVerdict::Ran, Some(answer(3))), START_MS);
    let answered = ClaimOutcome::Answered(answer(3));
    assert_eq!(table.claim(&second, START_MS), answered);
    assert_eq!(table.claim(&first, START_MS), answered);
}

#[test]
fn a_repeated_settlement_or_one_of_another_attempt_keeps_the_answer() {
    let mut table = IdempotencyTable::default();
    let first = claim(&key_at(START_MS, 1), 1, 10);
    let second = claim(&key_at(START_MS, 1), 2, 20);
    table.claim(&first, START_MS);
    let ran = settle(&first, RunVerdict::Ran, Some(answer(3)));
    table.settle(&ran, START_MS);
    table.settle(&ran, START_MS);
    for verdict in [RunVerdict::NotRun, RunVerdict::MayHaveRun, RunVerdict::Ran] {
        table.settle(&settle(&first, verdict, Some(answer(4))), START_MS);
        table.settle(&settle(&second, verdict, Some(answer(5))), START_MS);
    }
    let outcome = table.claim(&second, START_MS);
    assert_eq!(outcome, ClaimOutcome::Answered(answer(3)));
    assert_eq!(table.answer_bytes(), 3);
}

#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut table = IdempotencyTable::default();
    let first = claim(&key_at(START_MS, 1), 1, 10);
    table.claim(&first, START_MS);
    let mut other = claim(&key_at(START_MS, 1), 2, 20);
    other.request_digest = [2; 32];
    assert_eq!(table.claim(&other, START_MS), ClaimOutcome::KeyReused);
}

#[test]
fn teams_and_routes_do_not_share_keys() {
    let mut table = IdempotencyTable::default();
    let first = claim(&key_at(START_MS, 1), 1, 10);
    table.claim(&first, START_MS);
    let mut team = claim(&key_at(START_MS, 1), 1, 11);
    team.key.team = "el-nido".into();
    let mut route = claim(&key_at(START_MS, 1), 1, 12);
    route.key.route = "refill".into();
    assert_eq!(table.claim(&team, START_MS), ClaimOutcome::Fresh);
    assert_eq!(table.claim(&route, START_MS), ClaimOutcome::Fresh);
}

#[test]
fn a_request_that_did_not_run_frees_its_record() {
    let mut table = IdempotencyTable::default();
    let first = claim(&key_at(START_MS, 1), 1, 10);
    let second = claim(&key_at(START_MS, 1), 2, 20);
    table.claim(&first, START_MS);
    table.settle(&settle(&first, RunVerdict::NotRun, None), START_MS);
    assert_eq!(table.claim(&second, START_MS), ClaimOutcome::Fresh);
    // A repeated settlement of the first attempt does not free the second.
    table.settle(&settle(&first, RunVerdict::NotRun, None), START_MS);
    let third = claim(&key_at(START_MS, 1), 3, 30);
    assert_eq!(table.claim(&third, START_MS), ClaimOutcome::Pending);
}

#[test]
fn a_claim_that_arrives_after_its_own_settlement_does_not_claim_the_record() {
    let mut table = IdempotencyTable::default();
    let first = claim(&key_at(START_MS, 1), 1, 10);
    table.settle(&settle(&first, RunVerdict::NotRun, None), START_MS);
    assert_ne!(table.claim(&first, START_MS), ClaimOutcome::Fresh);
    let second = claim(&key_at(START_MS, 1), 2, 20);
    assert_eq!(table.claim(&second, START_MS), ClaimOutcome::Fresh);
}

#[test]
fn a_request_that_may_have_run_never_runs_again() {
    let mut table = IdempotencyTable::default();
    let first = claim(&key_at(START_MS, 1), 1, 10);
    let second = claim(&key_at(START_MS, 1), 2, 20);
    table.claim(&first, START_MS);
    table.settle(&settle(&first, RunVerdict::MayHaveRun, None), START_MS);
    table.settle(&settle(&first, RunVerdict::NotRun, None), START_MS);
    assert_eq!(table.claim(&second, START_MS), ClaimOutcome::MayHaveRun);
    // The answer may still arrive late.
    table.settle(&settle(&first, RunVerdict::Ran, Some(answer(1))), START_MS);
    let outcome = table.claim(&second, START_MS);
    assert_eq!(outcome, ClaimOutcome::Answered(answer(1)));
}

#[test]
fn the_attempts_of_an_abandoned_node_may_have_run() {
    let mut table = IdempotencyTable::default();
    let first = claim(&key_at(START_MS, 1), 1, 10);
    let other = claim(&key_at(START_MS, 2), 2, 11);
    table.claim(&first, START_MS);
    table.claim(&other, START_MS);
    table.abandon(1, START_MS);
    let repeated = claim(&first.key, 3, 30);
    assert_eq!(table.claim(&repeated, START_MS), ClaimOutcome::MayHaveRun);
    let waiting = claim(&other.key, 3, 31);
    assert_eq!(table.claim(&waiting, START_MS), ClaimOutcome::Pending);
}

#[test]
fn an_expired_key_never_runs_even_when_the_clock_goes_back() {
    let mut table = IdempotencyTable::default();
    let window_ms = IdempotencyLimits::default().window_ms;
    let first = claim(&key_at(START_MS, 1), 1, 10);
    table.claim(&first, START_MS);
    table.advance(START_MS + window_ms);
    assert_eq!(table.len(), 1);
    table.advance(START_MS + window_ms + 1);
    assert!(table.is_empty());
    let second = claim(&first.key, 2, 20);
    assert_eq!(table.claim(&second, START_MS), ClaimOutcome::Expired);
}

#[test]
fn keys_outside_the_window_or_of_another_version_are_refused() {
    let mut table = IdempotencyTable::default();
    let limits = IdempotencyLimits::default();
    let early = claim(&key_at(START_MS - limits.window_ms - 1, 1), 1, 10);
    let late = claim(&key_at(START_MS + limits.skew_ms + 1, 1), 1, 11);
    let mut random = claim(&key_at(START_MS, 1), 1, 12);
    random.key.key = Uuid::from_u128(random.key.key.as_u128() ^ (0x3 << 76));
    for refused in [early, late, random] {
        assert_eq!(table.claim(&refused, START_MS), ClaimOutcome::Expired);
    }
    assert!(table.is_empty());
}

#[test]
fn large_answers_and_those_beyond_the_total_are_not_kept() {
    let limits = IdempotencyLimits {
        answer_bytes: 100,
        total_answer_bytes: 250,
        ..IdempotencyLimits::default()
    };
    let mut table = IdempotencyTable::new(limits);
    let claims: Vec<IdempotencyClaim> = (0..4)
        .map(|tail| claim(&key_at(START_MS, tail), 1, 10))
        .collect();
    for (claim, bytes) in claims.iter().zip([101, 100, 100, 100]) {
        table.claim(claim, START_MS);
        let settle = settle(claim, RunVerdict::Ran, Some(answer(bytes)));
        table.settle(&settle, START_MS);
    }
    let outcomes: Vec<ClaimOutcome> = claims
        .iter()
        .map(|first| table.claim(&claim(&first.key, 2, 20), START_MS))
        .collect();
    let kept = ClaimOutcome::Answered(answer(100));
    let dropped = ClaimOutcome::MayHaveRun;
    assert_eq!(outcomes, [dropped.clone(), dropped, kept.clone(), kept]);
    assert_eq!(table.answer_bytes(), 200);
}

#[test]
fn beyond_the_record_limit_the_oldest_keys_expire() {
    let limits = IdempotencyLimits {
        records: 2,
        ..IdempotencyLimits::default()
    };
    let mut table = IdempotencyTable::new(limits);
    for tail in 0_u32..3 {
        let claim = claim(&key_at(START_MS + u64::from(tail), u128::from(tail)), 1, 10);
        assert_eq!(table.claim(&claim, START_MS), ClaimOutcome::Fresh);
    }
    assert_eq!(table.len(), 2);
    let repeated = claim(&key_at(START_MS, 0), 2, 20);
    assert_eq!(table.claim(&repeated, START_MS), ClaimOutcome::Expired);
}
