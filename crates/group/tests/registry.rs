//! The nodes that a leader knows of.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fleet::NodeRecord;
use group::NodeRegistry;
use model::context::ServerLoad;

fn record(node: u64, port: u16) -> NodeRecord {
    NodeRecord {
        node,
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        data_centre: Arc::from("a"),
        service: Arc::from("orders"),
        server: Some(Arc::from("i-1")),
        slots: 10,
        takes_work: true,
        cold: Duration::ZERO,
        load: ServerLoad::default(),
    }
}

#[test]
fn only_news_makes_a_new_list() {
    let now = Instant::now();
    let mut registry = NodeRegistry::new(1, now);
    assert!(registry.report(record(1, 1), now));
    let number = registry.number();
    let mut busier = record(1, 1);
    busier.load.in_flight = 9;
    assert!(!registry.report(busier, now));
    assert_eq!(registry.number(), number);
    let mut leaving = record(1, 1);
    leaving.takes_work = false;
    assert!(registry.report(leaving, now));
    assert!(registry.number() > number);
}

#[test]
fn a_node_that_started_again_replaces_its_former_self() {
    let now = Instant::now();
    let mut registry = NodeRegistry::new(1, now);
    registry.report(record(1, 1), now);
    registry.report(record(2, 1), now);
    let records = registry.records();
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].node, 2);
}

#[test]
fn silent_nodes_are_taken_off() {
    let now = Instant::now();
    let mut registry = NodeRegistry::new(1, now);
    registry.report(record(1, 1), now);
    assert!(!registry.expire(now + Duration::from_secs(1)));
    assert!(registry.expire(now + Duration::from_secs(6)));
    assert!(registry.records().is_empty());
}

#[test]
fn lists_of_a_later_leader_have_greater_numbers() {
    let now = Instant::now();
    let mut earlier = NodeRegistry::new(4, now);
    for node in 0..1000 {
        earlier.report(record(node, 1), now);
    }
    assert!(NodeRegistry::new(5, now).number() > earlier.number());
}
