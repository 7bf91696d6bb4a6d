//! Measures latency and rate of idempotency claims through a control instance.

use std::time::Duration;
use std::time::Instant;

use model::idempotency::ClaimOutcome;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use tokio::runtime::Runtime;
use uuid::Uuid;
use wire::client::ControlClient;
use wire::role::PeerRole;

use crate::group::BenchGroup;
use crate::nodes;

/// Timeout of a claim, in seconds.
const CLAIM_TIMEOUT_S: u64 = 10;

/// Sends claims of one node for `length`; returns the latency of each.
async fn send_claims(client: ControlClient, node: u64, length: Duration) -> Vec<Duration> {
    let end = Instant::now() + length;
    let mut times = Vec::new();
    while Instant::now() < end {
        let claim = IdempotencyClaim {
            key: IdempotencyKey {
                team: "team-7".into(),
                route: "route-7".into(),
                key: Uuid::now_v7(),
            },
            request_digest: [7; 32],
            node,
            attempt: 1,
        };
        let began = Instant::now();
        let limit = Duration::from_secs(CLAIM_TIMEOUT_S);
        let outcome = client.claim(&claim, limit).await;
        if matches!(outcome, Ok(ClaimOutcome::Fresh)) {
            times.push(began.elapsed());
        }
    }
    times
}

/// Measures claims for each number of nodes; each node sends one claim at a time.
pub(crate) fn measure(
    runtime: &Runtime,
    group: &BenchGroup,
    serving_position: usize,
    counts: &[u64],
    length: Duration,
) -> anyhow::Result<()> {
    println!("claimers,claims_per_s,claim_p50_ms,claim_p99_ms,claim_max_ms");
    let identity = group.authority.identity(PeerRole::Node);
    for count in counts {
        let _entered = runtime.enter();
        let began = Instant::now();
        let claimers = (0..*count).map(|number| {
            let client = nodes::client(
                &identity,
                &group.addresses[serving_position..=serving_position],
                0,
            );
            runtime.spawn(send_claims(client, number, length))
        });
        let claimers: Vec<_> = claimers.collect();
        let mut times = Vec::new();
        for claimer in claimers {
            times.extend(futures::executor::block_on(claimer)?);
        }
        times.sort_unstable();
        let rate = times.len() as f64 / began.elapsed().as_secs_f64();
        let milliseconds = |percent: usize| {
            let last = times.len().saturating_sub(1);
            let time = times.get(last * percent / 100);
            time.map_or(f64::NAN, |time| time.as_secs_f64() * 1e3)
        };
        println!(
            "{count},{rate:.0},{:.2},{:.2},{:.2}",
            milliseconds(50),
            milliseconds(99),
            milliseconds(100)
        );
    }
    Ok(())
}
