//! Memory of at-most-once records: resident bytes of this process by records.
//!
//! `cargo bench -p ledger --bench memory`; used in `docs/CAPACITY.md`.

use std::fs;

use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use model::idempotency::IdempotencySettlement;
use model::idempotency::StoredResponse;
use model::verdict::RunVerdict;
use once::OnceTable;
use uuid::Uuid;

const START_MS: u64 = 1_790_000_000_000;
/// Records between two lines of the table.
const STEP: u64 = 100_000;
/// Lines of the table.
const STEPS: u64 = 5;
/// Bytes of a stored answer.
const ANSWER_BYTES: usize = 64;

fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn run_request(table: &mut OnceTable, number: u64) {
    let stamp = u128::from(START_MS) << 80;
    let bits = stamp | (0x7 << 76) | (0x2 << 62) | u128::from(number);
    let claim = IdempotencyClaim {
        key: IdempotencyKey {
            team: format!("team-{}", number % 8).into(),
            route: "payments".into(),
            key: Uuid::from_u128(bits),
        },
        request_digest: [7; 32],
        node: number % 1_400,
        attempt: number,
    };
    table.claim(&claim, START_MS);
    let settle = IdempotencySettlement {
        key: claim.key,
        node: claim.node,
        attempt: claim.attempt,
        verdict: RunVerdict::Ran,
        response: Some(StoredResponse {
            status: 201,
            content_type: Some("application/json".to_owned()),
            body: vec![b'x'; ANSWER_BYTES].into(),
        }),
    };
    table.settle(&settle, START_MS);
}

fn main() {
    let mut table = OnceTable::default();
    let empty_kib = resident_kib();
    println!("records  resident KiB above empty  bytes a record");
    for step in 0..STEPS {
        for number in step * STEP..(step + 1) * STEP {
            run_request(&mut table, number);
        }
        let records = table.len() as u64;
        let above_kib = resident_kib().saturating_sub(empty_kib);
        println!(
            "{records:>7}  {above_kib:>24}  {:>14}",
            above_kib * 1024 / records
        );
    }
}
