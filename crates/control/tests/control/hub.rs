//! Membership: deltas by interest, news between instances, ended leases.

use std::time::Duration;

use clock::VirtualClock;
use control::hub::MembershipHub;
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
    let hub = MembershipHub::new(1, 77, clock);
    hub.renew(&member(1, "orders"), 0, LEASE);
    hub.renew(&member(2, "orders"), 0, LEASE);
    hub.renew(&member(3, "stock"), 0, LEASE);
    let orders = names(&["orders"]);
    let first = hub.update(0, 0, &orders);
    assert!(first.full);
    assert_eq!(joined(&first), [1, 2]);

    let mut loaded = member(2, "orders");
    loaded.load.in_flight = 9;
    hub.renew(&loaded, 0, LEASE);
    hub.renew(&member(4, "stock"), 0, LEASE);
    let quiet = hub.update(first.feed, first.cursor, &orders);
    assert!(!quiet.full);
    assert!(quiet.joined.is_empty() && quiet.left.is_empty());

    let mut draining = member(1, "orders");
    draining.state = ServerState::Draining;
    hub.renew(&draining, 0, LEASE);
    hub.leave(2);
    let news = hub.update(quiet.feed, quiet.cursor, &orders);
    assert_eq!(joined(&news), [1]);
    assert_eq!(news.joined[0].state, ServerState::Draining);
    assert_eq!(news.left, [2]);

    // The same cursor again, as after a lost answer, tells the same again.
    assert_eq!(hub.update(quiet.feed, quiet.cursor, &orders), news);
}

#[test]
fn a_further_interest_gets_all_its_members() {
    let hub = MembershipHub::new(1, 77, VirtualClock::new());
    hub.renew(&member(1, "orders"), 0, LEASE);
    hub.renew(&member(2, "stock"), 0, LEASE);
    let first = hub.update(0, 0, &names(&["orders"]));
    let both = names(&["orders", "stock"]);
    let second = hub.update(first.feed, first.cursor, &both);
    assert!(second.full);
    assert_eq!(joined(&second), [1, 2]);
}

#[test]
fn a_node_whose_lease_ran_out_is_dropped() {
    let clock = VirtualClock::new();
    let hub = MembershipHub::new(1, 77, clock.clone());
    hub.renew(&member(1, "orders"), 0, LEASE);
    clock.advance(LEASE / 2);
    hub.renew(&member(2, "orders"), 0, LEASE);
    let orders = names(&["orders"]);
    let first = hub.update(0, 0, &orders);
    clock.advance(LEASE / 2);
    let ended: Vec<_> = hub.expire().iter().map(|ended| ended.member.node).collect();
    assert_eq!(ended, [1]);
    assert_eq!(hub.update(first.feed, first.cursor, &orders).left, [1]);
    // Long after, the departure is forgotten and the cursor no longer reaches.
    clock.advance(Duration::from_hours(1));
    assert_eq!(hub.expire().len(), 1);
    clock.advance(Duration::from_hours(1));
    assert!(hub.expire().is_empty());
    assert!(hub.update(first.feed, first.cursor, &orders).full);
}

#[test]
fn a_restarted_node_replaces_the_one_at_its_address() {
    let hub = MembershipHub::new(1, 77, VirtualClock::new());
    hub.renew(&member(1, "orders"), 0, LEASE);
    let orders = names(&["orders"]);
    let first = hub.update(0, 0, &orders);
    let mut restarted = member(1, "orders");
    restarted.node = 99;
    hub.renew(&restarted, 0, LEASE);
    let news = hub.update(first.feed, first.cursor, &orders);
    assert_eq!(joined(&news), [99]);
    assert_eq!(news.left, [1]);
}

#[test]
fn a_node_that_changes_its_service_leaves_the_old_one() {
    let hub = MembershipHub::new(1, 77, VirtualClock::new());
    hub.renew(&member(1, "orders"), 0, LEASE);
    let orders = names(&["orders"]);
    let first = hub.update(0, 0, &orders);
    hub.renew(&member(1, "stock"), 0, LEASE);
    let news = hub.update(first.feed, first.cursor, &orders);
    assert_eq!(news.left, [1]);
    assert!(news.joined.is_empty());
    assert_eq!(joined(&hub.update(0, 0, &names(&["stock"]))), [1]);
}

#[test]
fn instances_tell_each_other_what_changed() {
    let clock = VirtualClock::new();
    let (one, two) = (
        MembershipHub::new(1, 11, clock.clone()),
        MembershipHub::new(2, 22, clock.clone()),
    );
    one.renew(&member(1, "orders"), 5, LEASE);
    one.renew(&member(2, "orders"), 5, LEASE);
    let first = one.batch(LOOPBACK, None, 5);
    assert_eq!(first.batch.changed.len(), 2);
    assert!(two.absorb(&first.batch));
    assert_eq!(two.leases().len(), 2);

    clock.advance(LEASE / 2);
    one.renew(&member(1, "orders"), 6, LEASE);
    one.leave(2);
    let second = one.batch(LOOPBACK, Some(first.position), 6);
    assert!(second.batch.changed.is_empty());
    assert_eq!(second.batch.renewed.len(), 1);
    assert_eq!(second.batch.removed, [2]);
    assert!(two.absorb(&second.batch));
    assert!(two.all_applied(6));
    clock.advance(LEASE / 2);
    assert!(two.expire().is_empty());

    // What did not change is not told again.
    let third = one.batch(LOOPBACK, Some(second.position), 6);
    assert!(third.batch.renewed.is_empty());

    // A renewal of a node that is unknown there asks for all of them.
    let restarted = MembershipHub::new(2, 23, clock.clone());
    assert!(!restarted.absorb(&one.batch(LOOPBACK, Some(first.position), 6).batch));
    assert!(restarted.absorb(&one.batch(LOOPBACK, None, 6).batch));
    assert_eq!(restarted.leases().len(), 1);
}

#[test]
fn news_of_the_former_instance_do_not_undo_those_of_the_present_one() {
    let clock = VirtualClock::new();
    let (one, two) = (
        MembershipHub::new(1, 11, clock.clone()),
        MembershipHub::new(2, 22, clock.clone()),
    );
    one.renew(&member(1, "orders"), 5, LEASE);
    let mut told = one.batch(LOOPBACK, None, 5);
    clock.advance(LEASE / 4);
    let mut draining = member(1, "orders");
    draining.state = ServerState::Draining;
    two.renew(&draining, 5, LEASE);
    assert!(one.absorb(&two.batch(LOOPBACK, None, 5).batch));
    assert_eq!(one.served_here(), 0);
    let later = one.batch(LOOPBACK, Some(told.position), 5);
    assert!(later.batch.renewed.is_empty());
    // Arrives late, and its lease ends before the one known.
    clock.advance(Duration::from_millis(1));
    told.batch.changed[0].lease.time_left = LEASE / 2;
    assert!(two.absorb(&told.batch));
    assert_eq!(two.leases()[0].member.state, ServerState::Draining);
    assert_eq!(two.served_here(), 1);
}
