//! Tests of two control instances with nodes on loopback.

use std::time::Duration;

use control::log::ControlLog;
use model::exchange::ExchangeReply;
use model::exchange::ExchangeRequest;
use model::exchange::ServerState;
use model::exchange::TokenDemand;
use model::exchange::TokenGrant;
use model::idempotency::ClaimOutcome;
use model::idempotency::IdempotencyClaim;
use model::idempotency::IdempotencyKey;
use uuid::Uuid;
use wire::client::ControlClient;
use wire::quic::QuicEndpoint;
use wire::quic::QuicOptions;
use wire::role::PeerRole;

use crate::common::LOOPBACK;
use crate::common::TestGroup;
use crate::common::fake_log::FakeGroup;
use crate::common::request;
use crate::common::until;

const LIMIT: Duration = Duration::from_secs(20);
const TEAMS: &str = r#"
    [[team]]
    name = "a"
    rate = 0.001
    burst = 10
    [[team]]
    name = "b"
    rate = 0.001
    burst = 10
"#;

async fn exchange_until_leased(client: &ControlClient, request: &ExchangeRequest) -> ExchangeReply {
    loop {
        if let Ok(reply) = client.exchange(request).await
            && reply.lease.is_some()
        {
            return reply;
        }
    }
}

#[tokio::test]
async fn a_node_moves_away_from_a_partitioned_instance() {
    let group = FakeGroup::new(2);
    let running = TestGroup::start(&group, 2).await;
    let client = running.client(0);
    let request = request(1, "orders", &[]);
    exchange_until_leased(&client, &request).await;
    assert_eq!(client.instance(), 1);
    running.instances[0].log.set_partitioned(true);
    let reply = client.exchange(&request).await.unwrap();
    assert!(reply.lease.is_some());
    assert_eq!(client.instance(), 2);
    let partitioned = &running.instances[0].core;
    let refused = partitioned.exchange(request.clone()).await.unwrap();
    assert_eq!(refused.lease, None);
}

#[tokio::test]
async fn a_stopping_instance_moves_its_nodes_without_losing_calls() {
    let group = FakeGroup::new(2);
    let mut running = TestGroup::start(&group, 2).await;
    let client = running.client(0);
    let request = request(1, "orders", &[]);
    exchange_until_leased(&client, &request).await;
    let stopped = running.instances.remove(0);
    stopped.core.stop.cancel();
    let reply = client.exchange(&request).await.unwrap();
    assert!(reply.lease.is_some());
    assert_eq!(client.instance(), 2);
    stopped.server_task.await.unwrap().unwrap();
}

#[tokio::test]
async fn members_of_one_instance_are_sent_to_nodes_of_the_other() {
    let group = FakeGroup::new(1);
    let running = TestGroup::start(&group, 2).await;
    let (first, second) = (running.client(0), running.client(1));
    let mut backend = request(1, "orders", &[]);
    exchange_until_leased(&first, &backend).await;
    let other = &running.instances[1].core;
    until(|| other.registry.len() == 1).await;
    let mut caller = request(2, "desk", &["orders"]);
    let known = exchange_until_leased(&second, &caller).await;
    assert_eq!(known.members.joined.len(), 1);

    backend.member.state = ServerState::Draining;
    caller.feed = known.members.feed;
    caller.member_cursor = known.members.cursor;
    exchange_until_leased(&first, &backend).await;
    let update = loop {
        let reply = exchange_until_leased(&second, &caller).await;
        if !reply.members.joined.is_empty() {
            break reply.members;
        }
    };
    assert!(!update.full);
    assert_eq!(update.joined[0].state, ServerState::Draining);
}

#[tokio::test]
async fn claims_reach_the_leader_through_any_instance() {
    let group = FakeGroup::new(2);
    let running = TestGroup::start(&group, 2).await;
    let mut claim = IdempotencyClaim {
        key: IdempotencyKey {
            team: "team".into(),
            route: "route".into(),
            key: Uuid::now_v7(),
        },
        request_digest: [0; 32],
        node: 1,
        attempt: 1,
    };
    for first in [0, 1] {
        let outcome = running.client(first).claim(&claim, LIMIT).await.unwrap();
        assert_eq!(outcome, ClaimOutcome::Fresh);
    }
    claim.attempt = 2;
    let outcome = running.client(0).claim(&claim, LIMIT).await.unwrap();
    assert_eq!(outcome, ClaimOutcome::Pending);
}

#[tokio::test]
async fn tokens_come_from_the_owner_through_any_instance() {
    let group = FakeGroup::new(1);
    group.declare(TEAMS);
    let running = TestGroup::start(&group, 2).await;
    let log = &running.instances[0].log;
    let owners = || log.read(|state| state.team_owners().iter().cloned().collect::<Vec<_>>());
    until(|| owners().len() == 2).await;
    assert_ne!(owners()[0].instance, owners()[1].instance);
    let client = running.client(0);
    let mut sequence = 0;
    for team in ["a", "b"] {
        let mut exchange_request = request(1, "orders", &[]);
        let grant = loop {
            sequence += 1;
            exchange_request.demands = vec![demand(team, sequence)];
            let reply = exchange_until_leased(&client, &exchange_request).await;
            if let Some(grant) = granted(&reply) {
                break grant;
            }
        };
        assert_eq!(grant.granted_milli, 4_000);
        // A repeated demand, as after a lost reply, gets the same grant and no further one.
        let reply = loop {
            let reply = exchange_until_leased(&client, &exchange_request).await;
            if !reply.grants.is_empty() {
                break reply;
            }
        };
        assert_eq!(reply.grants, [grant]);
    }
}

#[tokio::test]
async fn a_lost_token_owner_delays_no_lease() {
    let group = FakeGroup::new(1);
    group.declare(TEAMS);
    let running = TestGroup::start(&group, 2).await;
    let log = &running.instances[0].log;
    let owned_by = |instance| {
        log.read(|state| {
            let mut owners = state.team_owners().iter();
            let owner = owners.find(|owner| owner.instance == instance);
            owner.map(|owner| owner.team.clone())
        })
    };
    until(|| owned_by(1).is_some() && owned_by(2).is_some()).await;
    running.instances[1].log.set_partitioned(true);
    let mut exchange_request = request(1, "orders", &[]);
    let teams = [owned_by(1).unwrap(), owned_by(2).unwrap()];
    exchange_request.demands = teams.iter().map(|team| demand(team, 1)).collect();
    let reply = exchange_until_leased(&running.client(0), &exchange_request).await;
    let granted: Vec<_> = reply.grants.iter().map(|grant| &grant.team).collect();
    assert_eq!(granted, [&teams[0]]);
}

fn demand(team: &str, sequence: u64) -> TokenDemand {
    TokenDemand {
        team: team.into(),
        sequence,
        term: 0,
        want_milli: 4_000,
        urgent_milli: 4_000,
        held_milli: 0,
        returned_milli: 0,
        spent_milli: 0,
        spent_age: Duration::ZERO,
    }
}

fn granted(reply: &ExchangeReply) -> Option<TokenGrant> {
    let mut grants = reply.grants.iter();
    grants.find(|grant| grant.granted_milli > 0).cloned()
}

#[tokio::test]
async fn an_operator_cannot_connect_as_a_node() {
    let group = FakeGroup::new(1);
    let running = TestGroup::start(&group, 1).await;
    let identity = running.authority.identity(PeerRole::Operator);
    let timing = QuicOptions::default();
    let endpoint = QuicEndpoint::bind_client(LOOPBACK, &identity, timing).unwrap();
    let addresses = [running.instances[0].address.clone()];
    let forged = ControlClient::new(&endpoint, &addresses, 0);
    assert!(forged.exchange(&request(1, "orders", &[])).await.is_err());
    assert!(running.instances[0].core.registry.is_empty());
}
