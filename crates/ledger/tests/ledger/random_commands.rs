//! Random entries: instances agree, snapshots are complete, nothing panics.

use arbtest::arbitrary::Result;
use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use ledger::CommandOutcome;
use ledger::ControlCommand;
use ledger::ControlState;
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
use crate::support::change_with_owners;

/// Number of seeds of each test.
const SEEDS: u64 = 15;
/// Size of the random input of one run of commands, in bytes.
const RANDOM_BYTES: u64 = 1_024;
/// Earliest time in a command, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_790_000_000_000;
const TEAMS: [&str; 4] = ["a", "b", "c", "d"];

/// Submitted change, and the first final status that was reported for it.
struct SubmittedChange {
    change: ProposedChange,
    final_status: Option<ChangeStatus>,
}

fn random_change(
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
    let mut change = change_with_owners(&owners.first, second, base, &teams);
    if random.ratio(1, 10)? {
        change.text.push_str("weight = 1\n");
    }
    Ok(change)
}

fn random_signatures(
    random: &mut Unstructured<'_>,
    owners: &TestOwners,
    change: &ProposedChange,
) -> Result<Vec<OwnerSignature>> {
    let keys = [
        &owners.first,
        &owners.second,
        &owners.third,
        &owners.non_owner,
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

fn random_claim(random: &mut Unstructured<'_>) -> Result<IdempotencyClaim> {
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

fn random_other_command(random: &mut Unstructured<'_>) -> Result<ControlCommand> {
    let wall_ms = START_MS + random.int_in_range(0..=1_000)?;
    let claim = random_claim(random)?;
    Ok(match random.int_in_range(0..=4)? {
        0 => ControlCommand::Claim { claim, wall_ms },
        1 => ControlCommand::Settle {
            settle: IdempotencySettlement {
                key: claim.key,
                node: claim.node,
                attempt: claim.attempt,
                verdict: *random.choose(&[RunVerdict::NotRun, RunVerdict::MayHaveRun])?,
                response: None,
            },
            wall_ms,
        },
        2 => ControlCommand::AbandonNode {
            node: random.int_in_range(1..=2)?,
            wall_ms,
        },
        3 => ControlCommand::AssignTeamOwners {
            assignments: vec![TeamAssignment {
                team: (*random.choose(&TEAMS)?).into(),
                instance: random.int_in_range(1..=3)?,
                incarnation: random.int_in_range(1..=2)?,
                replaces_epoch: random.int_in_range(0..=6)?,
            }],
        },
        _ => ControlCommand::AdvanceTime { wall_ms },
    })
}

fn check_random_commands(random: &mut Unstructured<'_>) -> Result<()> {
    let owners = TestOwners::new();
    let mut state = owners.initialized_state();
    let mut other = owners.initialized_state();
    let mut submitted: Vec<SubmittedChange> = Vec::new();
    while !random.is_empty() {
        let before = state.config().version();
        let (entry, change_index) = random_entry(random, &owners, before, &mut submitted)?;
        let outcome = state.apply(1, &entry);
        assert_eq!(other.apply(1, &entry), outcome);
        if let (Some(index), CommandOutcome::Change(status)) = (change_index, outcome) {
            check_final_status(&mut submitted[index], &status);
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

fn random_entry(
    random: &mut Unstructured<'_>,
    owners: &TestOwners,
    version: u64,
    submitted: &mut Vec<SubmittedChange>,
) -> Result<(Vec<u8>, Option<usize>)> {
    match random.int_in_range(0..=9)? {
        0..=5 => {
            let index = random_change_index(random, owners, version, submitted)?;
            let change = submitted[index].change.clone();
            let signatures = random_signatures(random, owners, &change)?;
            let command = ControlCommand::SubmitChange { change, signatures };
            Ok((command.encode().expect("encodes"), Some(index)))
        }
        6..=8 => Ok((
            random_other_command(random)?.encode().expect("encodes"),
            None,
        )),
        _ => {
            let mut entry = random_other_command(random)?.encode().expect("encodes");
            let position = random.choose_index(entry.len())?;
            entry[position] ^= random.arbitrary::<u8>()?;
            Ok((entry, None))
        }
    }
}

/// Draws a change that was submitted before, or a new one.
fn random_change_index(
    random: &mut Unstructured<'_>,
    owners: &TestOwners,
    version: u64,
    submitted: &mut Vec<SubmittedChange>,
) -> Result<usize> {
    if !submitted.is_empty() && random.ratio(2, 3)? {
        return random.choose_index(submitted.len());
    }
    let change = random_change(random, owners, version)?;
    let known = submitted
        .iter()
        .position(|submitted| submitted.change == change);
    Ok(known.unwrap_or_else(|| {
        submitted.push(SubmittedChange {
            change,
            final_status: None,
        });
        submitted.len() - 1
    }))
}

/// Checks that accepted and conflicting changes keep their status.
fn check_final_status(submitted: &mut SubmittedChange, status: &ChangeStatus) {
    if let Some(first) = &submitted.final_status {
        assert_eq!(status, first);
    }
    if matches!(
        status,
        ChangeStatus::Accepted(_) | ChangeStatus::Conflict { .. }
    ) {
        submitted.final_status = Some(status.clone());
    }
}

fn restored(state: &ControlState) -> ControlState {
    let mut restored = ControlState::default();
    restored.restore(&state.snapshot()).expect("restores");
    assert_eq!(restored.snapshot(), state.snapshot());
    assert_eq!(restored.digest(), state.digest());
    restored
}

#[test]
fn instances_agree_after_random_commands_and_restores() {
    for seed in 1..=SEEDS {
        arbtest(check_random_commands).seed((seed << 32) | RANDOM_BYTES);
    }
}

#[test]
fn random_bytes_never_make_apply_or_restore_panic() {
    for seed in 1..=SEEDS {
        arbtest(|random| {
            let bytes: Vec<u8> = random.arbitrary()?;
            let mut entry = vec![1];
            entry.extend(&bytes);
            let mut state = ControlState::default();
            state.apply(1, &bytes);
            state.apply(1, &entry);
            let refused = state.restore(&entry).is_err();
            assert!(refused);
            Ok(())
        })
        .seed((seed << 32) | 256);
    }
}
