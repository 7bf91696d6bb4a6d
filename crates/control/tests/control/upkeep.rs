//! Attempts of nodes that are gone are given up.

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
use crate::common::lone_core;
use crate::common::request;

#[test]
fn a_node_counts_as_gone_after_a_while_and_once() {
    let clock = VirtualClock::new();
    let mut book = DepartedNodes::default();
    book.record_departure(1, true, clock.now());
    book.record_departure(2, false, clock.now());
    assert!(book.nodes_to_abandon(clock.now(), true).is_empty());
    clock.advance(Duration::from_secs(5));
    assert_eq!(book.nodes_to_abandon(clock.now(), false), [1]);
    assert_eq!(book.nodes_to_abandon(clock.now(), true), [1, 2]);
    book.mark_abandoned(1);
    book.record_return(2);
    assert!(book.nodes_to_abandon(clock.now(), true).is_empty());
}

#[tokio::test]
async fn a_resend_after_the_death_of_a_node_learns_that_it_may_have_run() {
    let clock = VirtualClock::new();
    let core = lone_core(FakeGroup::new(1).log(1), clock.clone());
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
