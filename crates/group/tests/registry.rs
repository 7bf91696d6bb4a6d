//! The leader's registry of nodes, and the replicated set of nodes that it waits for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fleet::NodeAddresses;
use fleet::NodeRecord;
use group::NodeRegistry;
use model::context::ServerLoad;

/// Time for which a partitioned node keeps using its shares of rate limits.
const LEASE: Duration = Duration::from_secs(5);

fn record(node: u64, port: u16) -> NodeRecord {
    NodeRecord {
        node,
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        data_centre: Arc::from("a"),
        service: Arc::from("orders"),
        server: Some(Arc::from("i-1")),
        slots: 10,
        accepts_calls: true,
        warm_up_left: Duration::ZERO,
        load: ServerLoad::default(),
    }
}

#[test]
fn only_relevant_changes_increase_the_list_version() {
    let now = Instant::now();
    let mut registry = NodeRegistry::new(1, LEASE, now);
    assert!(registry.report(record(1, 1), now).changed);
    let list_version = registry.list_version();
    let mut busier = record(1, 1);
    busier.load.in_flight = 9;
    assert!(!registry.report(busier, now).changed);
    assert_eq!(registry.list_version(), list_version);
    let mut leaving = record(1, 1);
    leaving.accepts_calls = false;
    assert!(registry.report(leaving, now).changed);
    assert!(registry.list_version() > list_version);
}

#[test]
fn a_restarted_node_replaces_its_previous_run() {
    let now = Instant::now();
    let mut registry = NodeRegistry::new(1, LEASE, now);
    registry.report(record(1, 1), now);
    let effect = registry.report(record(2, 1), now);
    assert_eq!(effect.replaced, Some(1));
    let records = registry.records();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].node, 2);
}

#[test]
fn silent_nodes_are_removed() {
    let now = Instant::now();
    let mut registry = NodeRegistry::new(1, LEASE, now);
    registry.report(record(1, 1), now);
    assert!(!registry.expire(now + Duration::from_secs(1)));
    assert!(registry.expire(now + Duration::from_secs(6)));
    assert!(registry.records().is_empty());
}

#[test]
fn lists_of_a_later_leader_have_higher_versions() {
    let now = Instant::now();
    let mut earlier = NodeRegistry::new(4, LEASE, now);
    for node in 0..1000 {
        earlier.report(record(node, 1), now);
    }
    assert!(NodeRegistry::new(5, LEASE, now).list_version() > earlier.list_version());
}

fn node_addresses(ports: &[u16]) -> NodeAddresses {
    let addresses = ports.iter().map(|port| record(0, *port).address);
    addresses.collect()
}

#[test]
fn the_node_list_is_complete_once_every_replicated_node_has_reported() {
    let now = Instant::now();
    let mut registry = NodeRegistry::new(2, LEASE, now);
    let node_addresses = node_addresses(&[1, 2]);
    registry.report(record(1, 1), now);
    assert!(!registry.is_complete(&node_addresses, now));
    // The other node has restarted in the meantime, as after all processes were killed.
    registry.report(record(7, 2), now);
    assert!(registry.is_complete(&node_addresses, now));
}

#[test]
fn a_node_that_may_be_partitioned_is_waited_for_until_its_lease_expires() {
    let now = Instant::now();
    let mut registry = NodeRegistry::new(2, LEASE, now);
    let replicated = node_addresses(&[1, 2]);
    registry.report(record(1, 1), now);
    registry.report(record(3, 3), now);
    let before_expiry = now + LEASE.mul_f64(0.99);
    assert!(!registry.is_complete(&replicated, before_expiry));
    assert_eq!(
        registry.next_node_addresses(&replicated, before_expiry),
        Some(node_addresses(&[1, 2, 3]))
    );
    assert!(registry.is_complete(&replicated, now + LEASE));
    assert_eq!(
        registry.next_node_addresses(&replicated, now + LEASE),
        Some(node_addresses(&[1, 3]))
    );
}

#[test]
fn a_correct_node_set_is_not_replaced() {
    let now = Instant::now();
    let mut registry = NodeRegistry::new(2, LEASE, now);
    registry.report(record(1, 1), now);
    assert!(registry.is_replicated(1, &node_addresses(&[1])));
    assert!(!registry.is_replicated(1, &node_addresses(&[2])));
    assert_eq!(
        registry.next_node_addresses(&node_addresses(&[1]), now),
        None
    );
}
