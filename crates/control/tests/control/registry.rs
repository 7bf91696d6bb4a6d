//! Tests of the node registry: updates by service, batches between instances, expired leases.

use std::time::Duration;

use clock::VirtualClock;
use control::registry::NodeRegistry;
use model::exchange::MemberUpdate;
use model::exchange::ServerState;
use model::ids::NodeId;
use model::ids::ServiceName;

use crate::common::LOOPBACK;
use crate::common::member;

const LEASE: Duration = Duration::from_millis(2_400);

fn service_names(list: &[&str]) -> Vec<ServiceName> {
    list.iter().map(|name| ServiceName::from(*name)).collect()
}

fn joined(update: &MemberUpdate) -> Vec<NodeId> {
    let mut nodes: Vec<_> = update.joined.iter().map(|member| member.node).collect();
    nodes.sort_unstable();
    nodes
}

#[test]
fn an_update_has_only_the_requested_services_and_later_changes() {
    let clock = VirtualClock::new();
    let registry = NodeRegistry::new(1, 77, clock);
    registry.record_renewal(&member(1, "orders"), 0, LEASE);
    registry.record_renewal(&member(2, "orders"), 0, LEASE);
    registry.record_renewal(&member(3, "stock"), 0, LEASE);
    let orders = service_names(&["orders"]);
    let first = registry.changes_since(0, 0, &orders);
    assert!(first.full);
    assert_eq!(joined(&first), [1, 2]);

    let mut loaded = member(2, "orders");
    loaded.load.in_flight = 9;
    registry.record_renewal(&loaded, 0, LEASE);
    registry.record_renewal(&member(4, "stock"), 0, LEASE);
    let unchanged = registry.changes_since(first.feed, first.cursor, &orders);
    assert!(!unchanged.full);
    assert!(unchanged.joined.is_empty() && unchanged.left.is_empty());

    let mut draining = member(1, "orders");
    draining.state = ServerState::Draining;
    registry.record_renewal(&draining, 0, LEASE);
    registry.remove_node(2);
    let update = registry.changes_since(unchanged.feed, unchanged.cursor, &orders);
    assert_eq!(joined(&update), [1]);
    assert_eq!(update.joined[0].state, ServerState::Draining);
    assert_eq!(update.left, [2]);

    // A repeated cursor, as after a lost reply, gets the same update.
    assert_eq!(
        registry.changes_since(unchanged.feed, unchanged.cursor, &orders),
        update
    );
}

#[test]
fn a_new_interest_gets_all_members() {
    let registry = NodeRegistry::new(1, 77, VirtualClock::new());
    registry.record_renewal(&member(1, "orders"), 0, LEASE);
    registry.record_renewal(&member(2, "stock"), 0, LEASE);
    let first = registry.changes_since(0, 0, &service_names(&["orders"]));
    let both = service_names(&["orders", "stock"]);
    let second = registry.changes_since(first.feed, first.cursor, &both);
    assert!(second.full);
    assert_eq!(joined(&second), [1, 2]);
}

#[test]
fn a_node_whose_lease_ran_out_is_dropped() {
    let clock = VirtualClock::new();
    let registry = NodeRegistry::new(1, 77, clock.clone());
    registry.record_renewal(&member(1, "orders"), 0, LEASE);
    clock.advance(LEASE / 2);
    registry.record_renewal(&member(2, "orders"), 0, LEASE);
    let orders = service_names(&["orders"]);
    let first = registry.changes_since(0, 0, &orders);
    clock.advance(LEASE / 2);
    let ended: Vec<_> = registry
        .expire_leases()
        .iter()
        .map(|ended| ended.member.node)
        .collect();
    assert_eq!(ended, [1]);
    assert_eq!(
        registry
            .changes_since(first.feed, first.cursor, &orders)
            .left,
        [1]
    );
    // After the retention time the departure is removed, and the old cursor gets a full update.
    clock.advance(Duration::from_hours(1));
    assert_eq!(registry.expire_leases().len(), 1);
    clock.advance(Duration::from_hours(1));
    assert!(registry.expire_leases().is_empty());
    assert!(
        registry
            .changes_since(first.feed, first.cursor, &orders)
            .full
    );
}

#[test]
fn a_restarted_node_replaces_the_one_at_its_address() {
    let registry = NodeRegistry::new(1, 77, VirtualClock::new());
    registry.record_renewal(&member(1, "orders"), 0, LEASE);
    let orders = service_names(&["orders"]);
    let first = registry.changes_since(0, 0, &orders);
    let mut restarted = member(1, "orders");
    restarted.node = 99;
    registry.record_renewal(&restarted, 0, LEASE);
    let update = registry.changes_since(first.feed, first.cursor, &orders);
    assert_eq!(joined(&update), [99]);
    assert_eq!(update.left, [1]);
}

#[test]
fn a_node_that_changes_its_service_leaves_the_old_one() {
    let registry = NodeRegistry::new(1, 77, VirtualClock::new());
    registry.record_renewal(&member(1, "orders"), 0, LEASE);
    let orders = service_names(&["orders"]);
    let first = registry.changes_since(0, 0, &orders);
    registry.record_renewal(&member(1, "stock"), 0, LEASE);
    let update = registry.changes_since(first.feed, first.cursor, &orders);
    assert_eq!(update.left, [1]);
    assert!(update.joined.is_empty());
    assert_eq!(
        joined(&registry.changes_since(0, 0, &service_names(&["stock"]))),
        [1]
    );
}

#[test]
fn instances_send_each_other_their_changes() {
    let clock = VirtualClock::new();
    let (one, two) = (
        NodeRegistry::new(1, 11, clock.clone()),
        NodeRegistry::new(2, 22, clock.clone()),
    );
    one.record_renewal(&member(1, "orders"), 5, LEASE);
    one.record_renewal(&member(2, "orders"), 5, LEASE);
    let first = one.batch_for_peer(LOOPBACK, None, 5);
    assert_eq!(first.batch.changed.len(), 2);
    assert!(two.apply_batch(&first.batch));
    assert_eq!(two.leases().len(), 2);

    clock.advance(LEASE / 2);
    one.record_renewal(&member(1, "orders"), 6, LEASE);
    one.remove_node(2);
    let second = one.batch_for_peer(LOOPBACK, Some(first.position), 6);
    assert!(second.batch.changed.is_empty());
    assert_eq!(second.batch.renewed.len(), 1);
    assert_eq!(second.batch.removed, [2]);
    assert!(two.apply_batch(&second.batch));
    assert!(two.all_applied(6));
    clock.advance(LEASE / 2);
    assert!(two.expire_leases().is_empty());

    // Unchanged nodes are not sent again.
    let third = one.batch_for_peer(LOOPBACK, Some(second.position), 6);
    assert!(third.batch.renewed.is_empty());

    // A peer that does not know a renewed node requests all nodes.
    let restarted = NodeRegistry::new(2, 23, clock.clone());
    assert!(!restarted.apply_batch(&one.batch_for_peer(LOOPBACK, Some(first.position), 6).batch));
    assert!(restarted.apply_batch(&one.batch_for_peer(LOOPBACK, None, 6).batch));
    assert_eq!(restarted.leases().len(), 1);
}

#[test]
fn a_late_batch_of_the_former_instance_does_not_overwrite_newer_state() {
    let clock = VirtualClock::new();
    let (one, two) = (
        NodeRegistry::new(1, 11, clock.clone()),
        NodeRegistry::new(2, 22, clock.clone()),
    );
    one.record_renewal(&member(1, "orders"), 5, LEASE);
    let mut sent = one.batch_for_peer(LOOPBACK, None, 5);
    clock.advance(LEASE / 4);
    let mut draining = member(1, "orders");
    draining.state = ServerState::Draining;
    two.record_renewal(&draining, 5, LEASE);
    assert!(one.apply_batch(&two.batch_for_peer(LOOPBACK, None, 5).batch));
    assert_eq!(one.count_local(), 0);
    let later = one.batch_for_peer(LOOPBACK, Some(sent.position), 5);
    assert!(later.batch.renewed.is_empty());
    // This batch arrives late, and its lease ends before the known one.
    clock.advance(Duration::from_millis(1));
    sent.batch.changed[0].lease.time_left = LEASE / 2;
    assert!(two.apply_batch(&sent.batch));
    assert_eq!(two.leases()[0].member.state, ServerState::Draining);
    assert_eq!(two.count_local(), 1);
}
