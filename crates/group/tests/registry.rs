//! The leader's registry of nodes, and the replicated set of nodes that it waits for.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arbtest::arbtest;
use fleet::NodeAddresses;
use fleet::NodeRecord;
use group::NodeChanges;
use group::NodeRegistry;
use model::context::ServerLoad;
use model::ids::NodeId;

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

/// A node's copy of the list, kept up to date by changes.
#[derive(Clone, Debug, Default)]
struct ListCopy {
    version: u64,
    records: BTreeMap<NodeId, NodeRecord>,
}

impl ListCopy {
    fn update(&mut self, registry: &NodeRegistry) {
        if let Some(NodeChanges { changed, removed }) = registry.changes_since(self.version) {
            self.records.retain(|node, _| !removed.contains(node));
            for record in changed {
                self.records.insert(record.node, record);
            }
        } else {
            let records = registry.records().into_iter();
            self.records = records.map(|record| (record.node, record)).collect();
        }
        self.version = registry.list_version();
    }

    /// Fails if the copy differs from the list in more than load.
    fn check(&self, registry: &NodeRegistry) {
        let strip = |mut record: NodeRecord| {
            record.load = ServerLoad::default();
            record
        };
        let listed: Vec<NodeRecord> = registry.records().into_iter().map(strip).collect();
        let copied: Vec<NodeRecord> = self.records.values().cloned().map(strip).collect();
        assert_eq!(copied, listed);
    }
}

#[test]
fn changes_bring_every_earlier_copy_of_the_list_up_to_date() {
    arbtest(|choices| {
        let start = Instant::now();
        let mut now = start;
        let mut registry = NodeRegistry::new(3, LEASE, now);
        let mut copies = vec![ListCopy::default(); 3];
        while !choices.is_empty() {
            match choices.int_in_range(0..=5)? {
                0..=2 => {
                    // Several nodes may have had one address, one after the other.
                    let port = choices.int_in_range(1..=5)?;
                    let run = choices.int_in_range(0..=2)?;
                    let mut record = record(u64::from(port) * 10 + run, port);
                    record.slots = choices.int_in_range(1..=2)?;
                    record.load.in_flight = choices.int_in_range(0..=9)?;
                    registry.report(record, now);
                }
                3 => {
                    now += Duration::from_millis(choices.int_in_range(0..=4_000)?);
                    registry.expire(now);
                }
                _ => {
                    let position = choices.choose_index(copies.len())?;
                    copies[position].update(&registry);
                    copies[position].check(&registry);
                }
            }
        }
        Ok(())
    })
    .budget_ms(1_000);
}

#[test]
fn versions_of_another_leader_have_no_changes() {
    let now = Instant::now();
    let mut earlier = NodeRegistry::new(4, LEASE, now);
    let mut later = NodeRegistry::new(5, LEASE, now);
    earlier.report(record(1, 1), now);
    later.report(record(1, 1), now);
    assert_eq!(later.changes_since(earlier.list_version()), None);
    assert_eq!(earlier.changes_since(later.list_version()), None);
    assert_eq!(earlier.changes_since(0), None);
    let unchanged = later.changes_since(later.list_version());
    assert_eq!(unchanged, Some(NodeChanges::default()));
}

#[test]
fn a_copy_that_missed_more_removals_than_are_remembered_gets_the_whole_list() {
    let now = Instant::now();
    let mut registry = NodeRegistry::new(6, LEASE, now);
    let mut copy = ListCopy::default();
    registry.report(record(0, 1), now);
    copy.update(&registry);
    // Each run of the node replaces the one before.
    for run in 1..=5_000 {
        registry.report(record(run, 1), now);
    }
    assert_eq!(registry.changes_since(copy.version), None);
    copy.update(&registry);
    copy.check(&registry);
}

/// Guards against counting nodes that the log does not name, or naming nodes as reported that have
/// not reported to this leader.
#[test]
fn only_named_nodes_that_reported_are_counted() {
    let now = Instant::now();
    let mut registry = NodeRegistry::new(1, LEASE, now);
    registry.report(record(1, 1), now);
    registry.report(record(9, 9), now);
    let named: NodeAddresses = [1, 2, 3].map(|port| record(0, port).address).into();
    assert_eq!(registry.reported_count(&named), 1);
}

/// Guards against a plan that a new leader makes from the reports of a few nodes, and against one
/// that waits for a lost node until its lease ends.
#[test]
fn a_plan_waits_for_the_replicated_nodes_but_not_for_a_whole_lease() {
    let start = Instant::now();
    let mut registry = NodeRegistry::new(1, LEASE, start);
    let replicated: NodeAddresses = [1, 2].map(|port| record(port.into(), port).address).into();
    let wait = Duration::from_millis(1_500);
    registry.report(record(1, 1), start);
    assert!(!registry.has_waited_for(&replicated, wait, start));
    assert!(registry.has_waited_for(&replicated, wait, start + wait));
    assert!(!registry.is_complete(&replicated, start + wait));
    registry.report(record(2, 2), start);
    assert!(registry.has_waited_for(&replicated, wait, start));
}
