//! Benchmarks of applying entries, digests, snapshots and deltas.
//!
//! Run with `cargo bench -p ledger`. `docs/CAPACITY.md` uses the growth with the table size.

use std::fmt::Write;
use std::hint::black_box;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;
use ed25519_dalek::SigningKey;
use ledger::ControlCommand;
use ledger::ControlState;
use model::change::OwnerSignature;
use model::change::ProposedChange;
use model::declaration::Declaration;
use model::hex;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use model::idempotency::IdempotencySettlement;
use model::idempotency::StoredResponse;
use model::verdict::RunVerdict;
use replica::StateMachine;
use uuid::Uuid;

/// Time of all claims, in milliseconds since the Unix epoch.
const CLAIM_TIME_MS: u64 = 1_790_000_000_000;
/// Measured table sizes, in records.
const RECORDS: [u64; 3] = [1_000, 10_000, 100_000];
/// Measured declaration sizes, in keys.
const KEYS: [u64; 3] = [100, 1_000, 5_000];
/// Size of a stored answer, in bytes.
const ANSWER_BYTES: usize = 64;

fn claim(number: u64) -> IdempotencyClaim {
    let stamp = u128::from(CLAIM_TIME_MS) << 80;
    let bits = stamp | (0x7 << 76) | (0x2 << 62) | u128::from(number);
    IdempotencyClaim {
        key: IdempotencyKey {
            team: format!("team-{}", number % 8).into(),
            route: "payments".into(),
            key: Uuid::from_u128(bits),
        },
        request_digest: [7; 32],
        node: number % 1_400,
        attempt: number,
    }
}

fn claim_entry(number: u64) -> Vec<u8> {
    let command = ControlCommand::Claim {
        claim: claim(number),
        wall_ms: CLAIM_TIME_MS,
    };
    command.encode().expect("encodes")
}

fn settle_entry(number: u64) -> Vec<u8> {
    let claim = claim(number);
    let command = ControlCommand::Settle {
        settle: IdempotencySettlement {
            key: claim.key,
            node: claim.node,
            attempt: claim.attempt,
            verdict: RunVerdict::Ran,
            response: Some(StoredResponse {
                status: 201,
                content_type: Some("application/json".to_owned()),
                body: vec![b'x'; ANSWER_BYTES].into(),
            }),
        },
        wall_ms: CLAIM_TIME_MS,
    };
    command.encode().expect("encodes")
}

/// Returns a state with settled records.
fn state_with_records(records: u64) -> ControlState {
    let mut state = ControlState::default();
    for number in 0..records {
        state.apply(number, &claim_entry(number));
        state.apply(number, &settle_entry(number));
    }
    state
}

fn owner_keys() -> [SigningKey; 2] {
    [[1; 32], [2; 32]].map(|secret| SigningKey::from_bytes(&secret))
}

fn declaration_text(keys: u64) -> String {
    let owners = owner_keys().map(|owner| hex::encode(owner.verifying_key().as_bytes()));
    let mut text = format!("owners = [\"{}\", \"{}\"]\n", owners[0], owners[1]);
    text.push_str("[[team]]\nname = \"a\"\nrate = 5\nburst = 10\n");
    for key in 0..keys {
        let digest = hex::encode(blake3::hash(&key.to_le_bytes()).as_bytes());
        let _ = write!(
            text,
            "[[key]]\nname = \"key-{key}\"\nteam = \"a\"\ndigest = \"{digest}\"\n"
        );
    }
    text
}

fn submit_entry(base: u64, keys: u64) -> Vec<u8> {
    let change = ProposedChange {
        base,
        text: declaration_text(keys),
    };
    let hash = change.hash();
    let signatures = owner_keys().map(|owner| OwnerSignature::sign(&owner, &hash));
    let command = ControlCommand::SubmitChange {
        change,
        signatures: signatures.to_vec(),
    };
    command.encode().expect("encodes")
}

fn initialized_state() -> ControlState {
    let mut state = ControlState::default();
    let owners = owner_keys().map(|owner| owner.verifying_key().to_bytes());
    state.execute(ControlCommand::SetInitialOwners {
        owners: owners.to_vec(),
    });
    state
}

fn claim_and_settle(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("claim and settle");
    for records in RECORDS {
        let mut state = state_with_records(records);
        let mut number = records;
        let id = BenchmarkId::from_parameter(records);
        group.bench_function(id, |bencher| {
            bencher.iter_batched(
                || {
                    number += 1;
                    (claim_entry(number), settle_entry(number))
                },
                |(claim, settle)| {
                    state.apply(1, &claim);
                    state.apply(1, &settle)
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn digest(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("digest");
    for records in RECORDS {
        let state = state_with_records(records);
        let id = BenchmarkId::from_parameter(records);
        group.bench_function(id, |bencher| bencher.iter(|| black_box(state.digest())));
    }
    group.finish();
}

fn snapshot(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("snapshot");
    group.sample_size(10);
    for records in RECORDS {
        let state = state_with_records(records);
        let bytes = state.snapshot();
        group.throughput(Throughput::Bytes(bytes.len() as u64));
        println!("snapshot of {records} records: {} bytes", bytes.len());
        group.bench_function(BenchmarkId::new("write", records), |bencher| {
            bencher.iter(|| black_box(state.snapshot()));
        });
        group.bench_function(BenchmarkId::new("restore", records), |bencher| {
            bencher.iter(|| ControlState::default().restore(&bytes));
        });
    }
    group.finish();
}

fn change(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("change");
    group.sample_size(20);
    for keys in KEYS {
        let first = submit_entry(0, keys);
        let second = submit_entry(1, keys + 1);
        let text = declaration_text(keys);
        println!("entry of a change with {keys} keys: {} bytes", second.len());
        group.bench_function(BenchmarkId::new("parse", keys), |bencher| {
            bencher.iter(|| Declaration::parse(&text, 1));
        });
        group.bench_function(BenchmarkId::new("apply", keys), |bencher| {
            bencher.iter_batched_ref(
                || {
                    let mut state = initialized_state();
                    state.apply(1, &first);
                    state
                },
                |state| state.apply(2, &second),
                BatchSize::LargeInput,
            );
        });
        print_delta(keys);
    }
    group.finish();
}

/// Prints the number of bytes sent to a node when one key is added.
fn print_delta(keys: u64) {
    let parse = |keys, version| Declaration::parse(&declaration_text(keys), version);
    let old = parse(keys, 1).expect("valid");
    let new = parse(keys + 1, 2).expect("valid");
    let delta = postcard::to_stdvec(&Declaration::diff(&old, &new)).expect("encodes");
    let full = postcard::to_stdvec(&new).expect("encodes");
    let (delta, full) = (delta.len(), full.len());
    println!("one key added to {keys}: delta {delta} bytes, full declaration {full} bytes");
}

criterion_group!(benches, claim_and_settle, digest, snapshot, change);
criterion_main!(benches);
