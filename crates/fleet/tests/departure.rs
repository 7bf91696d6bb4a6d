//! Backend servers that left: what they cover, and the bounds of what is remembered.

use std::net::SocketAddr;

use fleet::ChangeOutcome;
use fleet::ConfigStore;
use fleet::DepartedServer;
use fleet::DepartureTable;
use fleet::ServerName;
use fleet::StoreEntry;
use replica::StateMachine;

/// More servers than are remembered beside one node, and than beside all of them.
const MANY_SERVERS: u64 = 40;
const MANY_NODES: u64 = 600;

fn departed(number: u64, started_by_ms: u64) -> DepartedServer {
    DepartedServer {
        server: format!("i-{number}").into(),
        started_by_ms,
    }
}

fn node(number: u64) -> SocketAddr {
    format!("10.0.{}.{}:7021", number / 200, number % 200)
        .parse()
        .unwrap()
}

fn covers(table: &DepartureTable, address: SocketAddr, number: u64, started_at_ms: u64) -> bool {
    let name = ServerName::from(format!("i-{number}"));
    table.list(address).covers(&name, started_at_ms)
}

#[test]
fn a_departure_covers_the_starts_up_to_its_own_and_only_at_its_node() {
    let mut table = DepartureTable::default();
    table.insert(node(0), vec![departed(1, 100)], 1);
    assert!(covers(&table, node(0), 1, 99));
    assert!(covers(&table, node(0), 1, 100));
    assert!(!covers(&table, node(0), 1, 101));
    assert!(!covers(&table, node(0), 2, 100));
    assert!(!covers(&table, node(1), 1, 100));
}

#[test]
fn an_earlier_departure_changes_nothing_and_a_later_one_is_added() {
    let mut table = DepartureTable::default();
    table.insert(node(0), vec![departed(1, 100)], 1);
    table.insert(node(0), vec![departed(1, 50)], 2);
    assert_eq!(table.version(node(0)), 1);
    assert!(covers(&table, node(0), 1, 100));
    table.insert(node(0), vec![departed(1, 200)], 3);
    assert_eq!(table.version(node(0)), 3);
    assert!(covers(&table, node(0), 1, 200));
    assert_eq!(table.list(node(0)).servers.len(), 1);
}

#[test]
fn memory_is_bounded_beside_one_node_and_beside_all() {
    let mut table = DepartureTable::default();
    let mut version = 0;
    for address in (0..MANY_NODES).map(node) {
        for number in 0..MANY_SERVERS {
            version += 1;
            table.insert(address, vec![departed(number, 1)], version);
        }
    }
    let last = node(MANY_NODES - 1);
    assert!(covers(&table, last, MANY_SERVERS - 1, 1));
    assert!(!covers(&table, last, 0, 1));
    let known: usize = (0..MANY_NODES)
        .map(|number| table.list(node(number)).servers.len())
        .sum();
    assert!(known <= 8_192, "{known}");
    assert!(known > 8_000, "{known}");
}

#[test]
fn departures_survive_a_snapshot() {
    let mut store = ConfigStore::default();
    let entry = StoreEntry::Departures {
        address: node(0),
        servers: vec![departed(1, 100)],
    };
    let entry = entry.encode().unwrap();
    assert_eq!(store.apply(7, &entry), ChangeOutcome::Stored);
    let mut restored = ConfigStore::default();
    restored.restore(&store.snapshot()).unwrap();
    assert_eq!(restored.departures(), store.departures());
    assert_eq!(restored.departures().version(node(0)), 7);
    assert!(covers(restored.departures(), node(0), 1, 100));
}
