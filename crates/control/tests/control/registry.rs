//! Membership: deltas by interest, news between instances, ended leases.

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

fn names(list: &[&str]) -> Vec<ServiceName> {
    list.iter().map(|name| ServiceName::from(*name)).collect()
}

fn joined(update: &MemberUpdate) -> Vec<NodeId> {
    let mut nodes: Vec<_> = update.joined.iter().map(|member| member.node).collect();
    nodes.sort_unstable();
    nodes
}

#[test]
fn a_node_learns_only_of_the_services_it_asks_for_and_then_of_changes() {
    let clock = VirtualClock::new();
    let registry = NodeRegistry::new(1, 77, clock);
    registry.record_renewal(&member(1, "orders"), 0, LEASE);
    registry.record_renewal(&member(2, "orders"), 0, LEASE);
    registry.record_renewal(&member(3, "stock"), 0, LEASE);
    let orders = names(&["orders"]);
    let first = registry.changes_since(0, 0, &orders);
    assert!(first.full);
    assert_eq!(joined(&first), [1, 2]);

    let mut loaded = member(2, "orders");
    loaded.load.in_flight = 9;
    registry.record_renewal(&loaded, 0, LEASE);
    registry.record_renewal(&member(4, "stock"), 0, LEASE);
    let quiet = registry.changes_since(first.feed, first.cursor, &orders);
    assert!(!quiet.full);
    assert!(quiet.joined.is_empty() && quiet.left.is_empty());

    let mut draining = member(1, "orders");
    draining.state = ServerState::Draining;
    registry.record_renewal(&draining, 0, LEASE);
    registry.remove_node(2);
    let news = registry.changes_since(quiet.feed, quiet.cursor, &orders);
    assert_eq!(joined(&news), [1]);
    assert_eq!(news.joined[0].state, ServerState::Draining);
    assert_eq!(news.left, [2]);

    // The same cursor again, as after a lost answer, tells the same again.
    assert_eq!(
        registry.changes_since(quiet.feed, quiet.cursor, &orders),
        news
    );
}

#[test]
fn a_further_interest_gets_all_its_members() {
    let registry = NodeRegistry::new(1, 77, VirtualClock::new());
    registry.record_renewal(&member(1, "orders"), 0, LEASE);
    registry.record_renewal(&member(2, "stock"), 0, LEASE);
    let first = registry.changes_since(0, 0, &names(&["orders"]));
    let both = names(&["orders", "stock"]);
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
    let orders = names(&["orders"]);
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
    // Long after, the departure is forgotten and the cursor no longer reaches.
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
    let orders = names(&["orders"]);
    let first = registry.changes_since(0, 0, &orders);
    let mut restarted = member(1, "orders");
    restarted.node = 99;
    registry.record_renewal(&restarted, 0, LEASE);
    let news = registry.changes_since(first.feed, first.cursor, &orders);
    assert_eq!(joined(&news), [99]);
    assert_eq!(news.left, [1]);
}

#[test]
fn a_node_that_changes_its_service_leaves_the_old_one() {
    let registry = NodeRegistry::new(1, 77, VirtualClock::new());
    registry.record_renewal(&member(1, "orders"), 0, LEASE);
    let orders = names(&["orders"]);
    let first = registry.changes_since(0, 0, &orders);
    registry.record_renewal(&member(1, "stock"), 0, LEASE);
    let news = registry.changes_since(first.feed, first.cursor, &orders);
    assert_eq!(news.left, [1]);
    assert!(news.joined.is_empty());
    assert_eq!(
        joined(&registry.changes_since(0, 0, &names(&["stock"]))),
        [1]
    );
}

#[test]
fn instances_tell_each_other_what_changed() {
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
    assert_eq!(second.batch.left, [2]);
    assert!(two.apply_batch(&second.batch));
    assert!(two.all_applied(6));
    clock.advance(LEASE / 2);
    assert!(two.expire_leases().is_empty());

    // What did not change is not told again.
    let third = one.batch_for_peer(LOOPBACK, Some(second.position), 6);
    assert!(third.batch.renewed.is_empty());

    // A renewal of a node that is unknown there asks for all of them.
    let restarted = NodeRegistry::new(2, 23, clock.clone());
    assert!(!restarted.apply_batch(&one.batch_for_peer(LOOPBACK, Some(first.position), 6).batch));
    assert!(restarted.apply_batch(&one.batch_for_peer(LOOPBACK, None, 6).batch));
    assert_eq!(restarted.leases().len(), 1);
}

#[test]
fn news_of_the_former_instance_do_not_undo_those_of_the_present_one() {
    let clock = VirtualClock::new();
    let (one, two) = (
        NodeRegistry::new(1, 11, clock.clone()),
        NodeRegistry::new(2, 22, clock.clone()),
    );
    one.record_renewal(&member(1, "orders"), 5, LEASE);
    let mut told = one.batch_for_peer(LOOPBACK, None, 5);
    clock.advance(LEASE / 4);
    let mut draining = member(1, "orders");
    draining.state = ServerState::Draining;
    two.record_renewal(&draining, 5, LEASE);
    assert!(one.apply_batch(&two.batch_for_peer(LOOPBACK, None, 5).batch));
    assert_eq!(one.count_local(), 0);
    let later = one.batch_for_peer(LOOPBACK, Some(told.position), 5);
    assert!(later.batch.renewed.is_empty());
    // Arrives late, and its lease ends before the one known.
    clock.advance(Duration::from_millis(1));
    told.batch.changed[0].lease.time_left = LEASE / 2;
    assert!(two.apply_batch(&told.batch));
    assert_eq!(two.leases()[0].member.state, ServerState::Draining);
    assert_eq!(two.count_local(), 1);
}
