//! Memory use of at-most-once records: resident memory of this process by number of records.
//!
//! Run with `cargo bench -p ledger --bench memory`; `docs/CAPACITY.md` uses the results.

use std::fs;

use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use model::idempotency::IdempotencySettlement;
use model::idempotency::StoredResponse;
use model::verdict::RunVerdict;
use once::IdempotencyTable;
use uuid::Uuid;

/// Time of all claims, in milliseconds since the Unix epoch.
const CLAIM_TIME_MS: u64 = 1_790_000_000_000;
/// Records added per line of the table.
const RECORDS_PER_STEP: u64 = 100_000;
/// Number of lines in the table.
const STEPS: u64 = 5;
/// Size of a stored answer, in bytes.
const ANSWER_BYTES: usize = 64;

fn resident_kib() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

fn run_request(table: &mut IdempotencyTable, number: u64) {
    let stamp = u128::from(CLAIM_TIME_MS) << 80;
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
    table.claim(&claim, CLAIM_TIME_MS);
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
    table.settle(&settle, CLAIM_TIME_MS);
}

fn main() {
    let mut table = IdempotencyTable::default();
    let empty_kib = resident_kib();
    println!("records  resident KiB above empty  bytes a record");
    for step in 0..STEPS {
        for number in step * RECORDS_PER_STEP..(step + 1) * RECORDS_PER_STEP {
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
