//! Random entries: instances agree, snapshots lose nothing, nothing panics.

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use ledger::LedgerCommand;
use ledger::LedgerOutcome;
use ledger::LedgerState;
use ledger::TeamAssignment;
use model::change::ChangeStatus;
use model::change::OwnerSignature;
use model::change::ProposedChange;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use model::idempotency::IdempotencySettlement;
use model::verdict::RunVerdict;
use replica::StateMachine;
use uuid::Uuid;

use crate::support::TestOwners;
use crate::support::change_by;

const SEEDS: u64 = 15;
const SEQUENCE_BYTES: u64 = 1_024;
const START_MS: u64 = 1_790_000_000_000;
const TEAMS: [&str; 4] = ["a", "b", "c", "d"];

/// A change with the final answer that its owners first got.
struct SentChange {
    change: ProposedChange,
    final_status: Option<ChangeStatus>,
}

fn drawn_change(
    random: &mut Unstructured<'_>,
    owners: &TestOwners,
    version: u64,
) -> Result<ProposedChange> {
    let base = (version + 1).saturating_sub(random.int_in_range(0..=2)?);
    let teams: Vec<&str> = TEAMS
        .into_iter()
        .take(random.int_in_range(0..=4)?)
        .collect();
    let seconds = [&owners.second, &owners.third];
    let second = random.choose(&seconds)?;
    let mut change = change_by(&owners.first, second, base, &teams);
    if random.ratio(1, 10)? {
        change.text.push_str("weight = 1\n");
    }
    Ok(change)
}

fn drawn_signatures(
    random: &mut Unstructured<'_>,
    owners: &TestOwners,
    change: &ProposedChange,
) -> Result<Vec<OwnerSignature>> {
    let keys = [
        &owners.first,
        &owners.second,
        &owners.third,
        &owners.stranger,
    ];
    let mut signatures = Vec::new();
    for _ in 0..random.int_in_range(0..=3)? {
        let mut signature = OwnerSignature::sign(random.choose(&keys)?, &change.hash());
        if random.ratio(1, 8)? {
            signature.signature[0] ^= 1;
        }
        signatures.push(signature);
    }
    Ok(signatures)
}

fn drawn_claim(random: &mut Unstructured<'_>) -> Result<IdempotencyClaim> {
    let tail: u128 = random.int_in_range(0..=3)?;
    let bits = (u128::from(START_MS) << 80) | (0x7 << 76) | (0x2 << 62) | tail;
    Ok(IdempotencyClaim {
        key: IdempotencyKey {
            team: "a".into(),
            route: "pay".into(),
            key: Uuid::from_u128(bits),
        },
        request_digest: [random.int_in_range(0..=1)?; 32],
        node: random.int_in_range(1..=2)?,
        attempt: random.int_in_range(0..=3)?,
    })
}

fn drawn_other(random: &mut Unstructured<'_>) -> Result<LedgerCommand> {
    let wall_ms = START_MS + random.int_in_range(0..=1_000)?;
    let claim = drawn_claim(random)?;
    Ok(match random.int_in_range(0..=4)? {
        0 => LedgerCommand::Claim { claim, wall_ms },
        1 => LedgerCommand::Settle {
            settle: IdempotencySettlement {
                key: claim.key,
                node: claim.node,
                attempt: claim.attempt,
                verdict: *random.choose(&[RunVerdict::NotRun, RunVerdict::MayHaveRun])?,
                response: None,
            },
            wall_ms,
        },
        2 => LedgerCommand::AbandonNode {
            node: random.int_in_range(1..=2)?,
            wall_ms,
        },
        3 => LedgerCommand::AssignOwners {
            assignments: vec![TeamAssignment {
                team: (*random.choose(&TEAMS)?).into(),
                instance: random.int_in_range(1..=3)?,
                incarnation: random.int_in_range(1..=2)?,
                replaces: random.int_in_range(0..=6)?,
            }],
        },
        _ => LedgerCommand::AdvanceTime { wall_ms },
    })
}

fn sequence(random: &mut Unstructured<'_>) -> Result<()> {
    let owners = TestOwners::new();
    let mut state = owners.founded();
    let mut other = owners.founded();
    let mut sent: Vec<SentChange> = Vec::new();
    while !random.is_empty() {
        let before = state.config().version();
        let (entry, of_change) = drawn_entry(random, &owners, before, &mut sent)?;
        let outcome = state.apply(1, &entry);
        assert_eq!(other.apply(1, &entry), outcome);
        if let (Some(index), LedgerOutcome::Change(status)) = (of_change, outcome) {
            check_first_answer(&mut sent[index], &status);
        }
        let grown = state.config().version() - before;
        assert!(grown <= 1);
        if random.ratio(1, 8)? {
            other = restored(&other);
        }
        assert_eq!(state.digest(), other.digest());
    }
    assert_eq!(state.snapshot(), other.snapshot());
    Ok(())
}

fn drawn_entry(
    random: &mut Unstructured<'_>,
    owners: &TestOwners,
    version: u64,
    sent: &mut Vec<SentChange>,
) -> Result<(Vec<u8>, Option<usize>)> {
    match random.int_in_range(0..=9)? {
        0..=5 => {
            let index = drawn_index(random, owners, version, sent)?;
            let change = sent[index].change.clone();
            let signatures = drawn_signatures(random, owners, &change)?;
            let command = LedgerCommand::Submit { change, signatures };
            Ok((command.encode().expect("encodes"), Some(index)))
        }
        6..=8 => Ok((drawn_other(random)?.encode().expect("encodes"), None)),
        _ => {
            let mut entry = drawn_other(random)?.encode().expect("encodes");
            let position = random.choose_index(entry.len())?;
            entry[position] ^= random.arbitrary::<u8>()?;
            Ok((entry, None))
        }
    }
}

/// Draws a change that was sent before, or a new one.
fn drawn_index(
    random: &mut Unstructured<'_>,
    owners: &TestOwners,
    version: u64,
    sent: &mut Vec<SentChange>,
) -> Result<usize> {
    if !sent.is_empty() && random.ratio(2, 3)? {
        return random.choose_index(sent.len());
    }
    let change = drawn_change(random, owners, version)?;
    let known = sent.iter().position(|sent| sent.change == change);
    Ok(known.unwrap_or_else(|| {
        sent.push(SentChange {
            change,
            final_status: None,
        });
        sent.len() - 1
    }))
}

/// Accepted and conflicting changes keep their first answer for ever.
fn check_first_answer(sent: &mut SentChange, status: &ChangeStatus) {
    if let Some(first) = &sent.final_status {
        assert_eq!(status, first);
    }
    if matches!(
        status,
        ChangeStatus::Accepted(_) | ChangeStatus::Conflict { .. }
    ) {
        sent.final_status = Some(status.clone());
    }
}

fn restored(state: &LedgerState) -> LedgerState {
    let mut restored = LedgerState::default();
    restored.restore(&state.snapshot()).expect("restores");
    assert_eq!(restored.snapshot(), state.snapshot());
    assert_eq!(restored.digest(), state.digest());
    restored
}

#[test]
fn instances_agree_whatever_is_applied_and_whenever_they_restart() {
    for seed in 1..=SEEDS {
        arbtest(sequence).seed((seed << 32) | SEQUENCE_BYTES);
    }
}

#[test]
fn no_bytes_make_apply_or_restore_panic() {
    for seed in 1..=SEEDS {
        arbtest(|random| {
            let bytes: Vec<u8> = random.arbitrary()?;
            let mut entry = vec![1];
            entry.extend(&bytes);
            let mut state = LedgerState::default();
            state.apply(1, &bytes);
            state.apply(1, &entry);
            let refused = state.restore(&entry).is_err();
            assert!(refused);
            Ok(())
        })
        .seed((seed << 32) | 256);
    }
}
