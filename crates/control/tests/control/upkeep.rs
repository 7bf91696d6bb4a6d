//! Tests that attempts of departed nodes are abandoned.

use std::time::Duration;
use std::time::Instant;

use clock::Clock;
use clock::VirtualClock;
use control::core::LEASE_MS;
use control::upkeep::DepartedNodes;
use control::upkeep::run_upkeep;
use model::idempotency::ClaimOutcome;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use uuid::Uuid;

use crate::common::fake_log::FakeGroup;
use crate::common::request;
use crate::common::standalone_core;

#[test]
fn a_departed_node_is_abandoned_once_after_the_delay() {
    let clock = VirtualClock::new();
    let mut departed = DepartedNodes::default();
    departed.record_departure(1, true, clock.now());
    departed.record_departure(2, false, clock.now());
    assert!(departed.nodes_to_abandon(clock.now(), true).is_empty());
    clock.advance(Duration::from_secs(5));
    assert_eq!(departed.nodes_to_abandon(clock.now(), false), [1]);
    assert_eq!(departed.nodes_to_abandon(clock.now(), true), [1, 2]);
    departed.mark_abandoned(1);
    departed.record_return(2);
    assert!(departed.nodes_to_abandon(clock.now(), true).is_empty());
}

#[tokio::test]
async fn a_resend_after_a_node_is_lost_gets_may_have_run() {
    let clock = VirtualClock::new();
    let core = standalone_core(FakeGroup::new(1).log(1), clock.clone());
    core.exchange(request(1, "orders", &[])).await.unwrap();
    let mut claim = IdempotencyClaim {
        key: IdempotencyKey {
            team: "team".into(),
            route: "route".into(),
            key: Uuid::new_v7(timestamp(core.wall_ms())),
        },
        request_digest: [0; 32],
        node: 1,
        attempt: 1,
    };
    let deadline = Instant::now() + Duration::from_secs(30);
    let first = core.claim(claim.clone(), deadline).await.unwrap();
    assert_eq!(first, ClaimOutcome::Fresh);
    claim.node = 2;
    claim.attempt = 2;
    let second = core.claim(claim.clone(), deadline).await.unwrap();
    assert_eq!(second, ClaimOutcome::Pending);

    clock.advance(Duration::from_millis(LEASE_MS));
    core.sweep();
    clock.advance(Duration::from_secs(5));
    let upkeep = tokio::spawn(run_upkeep(core.clone()));
    let third = loop {
        let outcome = core.claim(claim.clone(), deadline).await.unwrap();
        if outcome != ClaimOutcome::Pending {
            break outcome;
        }
        tokio::task::yield_now().await;
    };
    assert_eq!(third, ClaimOutcome::MayHaveRun);
    core.stop.cancel();
    upkeep.await.unwrap().unwrap();
}

fn timestamp(wall_ms: u64) -> uuid::Timestamp {
    uuid::Timestamp::from_unix(uuid::NoContext, wall_ms / 1_000, 0)
}
